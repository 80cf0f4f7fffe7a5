import json

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.platform._entries import (
    decode_configuration,
    decode_entry,
    evacuated_domain,
    is_evacuation_value,
)
from burdocklug.platform._jobs import decode_job
from tests.pools.builders import RULE
from tests.scenarios import with_scenarios

MAX_TASKS = 10_000
WORKER = {
    "service": "press",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": 1700000000000,
}
ROUTE = {
    "name": "r1",
    "host": "nony24.example",
    "prefix": "/lohu930/",
    "kind": "unsafe",
    "timeout_ms": 1500,
    "target_duration_ms": 60,
    "priority": 2,
    "service": "press",
    "max_attempts": 3,
    "stretch_factor": 1.6,
}


class EntryTest(TestCase):
    def test_an_entry_is_decoded_to_an_endpoint(self):
        entry = decode_entry("servers/i-7f3a", json.dumps(WORKER).encode())
        self.assertThat((entry.endpoint_id, entry.capacity.accelerators), Equals(("i-7f3a", 1)))
        self.assertThat((entry.draining, entry.started_ms), Equals((False, 1700000000000)))

    def test_the_remaining_cold_time_is_in_seconds_or_not_stated(self):
        cold = {**WORKER, "cold_remaining_ms": 2500}
        silent = {k: v for k, v in WORKER.items() if k != "cold_remaining_ms"}
        entries = [decode_entry("servers/i-7f3a", json.dumps(w).encode()) for w in (cold, silent)]
        self.assertThat([entry.cold_s for entry in entries], Equals([2.5, None]))


@with_scenarios
class BadEntryTest(TestCase):
    """Entries that are not valid, as another program may write them, are ignored."""

    scenarios = [
        ("not_json", {"value": b"\xff\x00{"}),
        ("a_list", {"value": b"[]"}),
        ("no_address", {"value": json.dumps({**WORKER, "address": None}).encode()}),
        ("no_port", {"value": json.dumps({**WORKER, "address": "10.1.0.1"}).encode()}),
        ("unknown_state", {"value": json.dumps({**WORKER, "state": "asleep"}).encode()}),
        ("slots_of_another_type", {"value": json.dumps({**WORKER, "slots": "many"}).encode()}),
        (
            "cold_time_of_another_type",
            {"value": json.dumps({**WORKER, "cold_remaining_ms": "long"}).encode()},
        ),
        ("no_capacity", {"value": json.dumps({**WORKER, "capacity": 5}).encode()}),
    ]

    def test_it_is_decoded_to_none(self):
        self.assertThat(decode_entry("servers/x", self.value), Equals(None))


class ConfigurationTest(TestCase):
    def config(self, **changes):
        limits = {"max_body_bytes": 1000, "idle_timeout_ms": 15000}
        config = {"version": 7, "routes": [ROUTE], "services": [], "limits": limits, **changes}
        return decode_configuration(json.dumps(config).encode())

    def test_times_are_seconds_and_the_longest_prefix_wins(self):
        longer = {**ROUTE, "name": "r2", "prefix": "/lohu930/more/"}
        configuration = self.config(routes=[ROUTE, longer])
        queue = configuration.find_queue("nony24.example", "/lohu930/more/5c")
        self.assertThat((queue.name, queue.target_s, queue.timeout_s), Equals(("r2", 0.06, 1.5)))
        self.assertThat(configuration.find_queue("other.example", "/lohu930/5c"), Equals(None))
        self.assertThat(configuration.max_body_bytes, Equals(1000))

    def test_cold_starts_of_a_service_are_decoded(self):
        service = {"name": "press", "cold_start_s": 4.5, "cold_per_s": 2.0}
        rule = self.config(services=[service]).find_service("press")
        self.assertThat((rule.cold_start_s, rule.cold_starts_per_s), Equals((4.5, 2.0)))
        rule = self.config().find_service("press")
        self.assertThat((rule.cold_start_s, rule.cold_starts_per_s), Equals((0.0, 0.0)))

    def test_an_unreadable_one_is_an_error(self):
        for value in (b"", b"{}", b'{"version": "x"}', b"\xff"):
            self.assertRaises(ValueError, decode_configuration, value)

    def test_a_queue_with_advice_serves_no_job(self):
        queue = self.config(routes=[{**ROUTE, "advice": {"decide_ms": 5}}]).queues[0]
        body = {"spec": "x", "phases": [{"count": 1}], "best_effort": True}
        exc = self.assertRaises(
            BurdocklugError, decode_job, "5c", queue, json.dumps(body).encode(), max_tasks=MAX_TASKS
        )
        self.assertThat(exc.kind, Equals(ErrorKind.FIELD_NOT_SERVED))


class JobTest(TestCase):
    def decode(self, **changes):
        phase = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "affinity": "r1-3"}
        later = {"count": 2, "cpu": 2000, "after": [0], "requirements": "b", "max_per_server": 1}
        job = {"spec": "text", "phases": [phase, later], "best_effort": True, **changes}
        return decode_job("5c0e7a21d94b36f8", RULE, json.dumps(job).encode(), max_tasks=MAX_TASKS)

    def test_fields_are_decoded(self):
        first, second = self.decode().steps
        self.assertThat((first.preferred_rack, first.estimate_s), Equals(("r1-3", 0.9)))
        self.assertThat(second.after, Equals((0,)))
        self.assertThat((second.required_label, second.max_per_endpoint), Equals(("b", 1)))

    def test_a_job_with_more_tasks_than_allowed_is_refused(self):
        """Guards against one request that fills the scheduler's memory."""
        phases = [{"count": MAX_TASKS - 1}, {"count": 1}]
        self.assertThat(len(self.decode(phases=phases).steps), Equals(2))
        for counts in ((MAX_TASKS, 1), (5_000_000,)):
            phases = [{"count": count} for count in counts]
            exc = self.assertRaises(BurdocklugError, self.decode, phases=phases)
            self.assertThat((exc.kind, exc.path), Equals((ErrorKind.BAD_REQUEST, "$.phases")))

    def test_a_step_after_itself_or_a_later_one_is_refused(self):
        for after in ([0], [5], [-1]):
            phases = [{"count": 1, "after": after}]
            exc = self.assertRaises(BurdocklugError, self.decode, phases=phases)
            self.assertThat(
                (exc.kind, exc.path), Equals((ErrorKind.BAD_REQUEST, "$.phases[0].after"))
            )

    def test_a_text_that_is_too_long_is_refused(self):
        exc = self.assertRaises(BurdocklugError, self.decode, spec="x" * 4001)
        self.assertThat(exc.path, Equals("$.spec"))


@with_scenarios
class EvacuationKeyTest(TestCase):
    scenarios = [
        ("a failure domain", {"key": "op/evacuate/perg", "domain": "perg"}),
        ("none", {"key": "op/evacuate/", "domain": ""}),
        ("no prefix", {"key": "op/evacuate", "domain": ""}),
        ("another key", {"key": "op/wave/1", "domain": ""}),
        ("odd characters", {"key": "op/evacuate/a/b c", "domain": "a/b c"}),
    ]

    def test_key_names_the_failure_domain(self):
        self.assertThat(evacuated_domain(self.key), Equals(self.domain))


class EvacuationValueTest(TestCase):
    def test_objects_are_well_formed_whatever_they_contain(self):
        values = [b"{}", b'{"reason": "power"}', b"", b"[]", b"null", b"\xff"]
        self.assertThat(
            [is_evacuation_value(value) for value in values],
            Equals([True, True, False, False, False, False]),
        )
