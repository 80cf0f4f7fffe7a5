"""Configuration and endpoints in force within their bounds, though connections went silent."""

import re
from pathlib import Path

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools._part import CONFIGURATION_WATCH, LEADER_LISTING, MISSING_GRACE_S
from burdocklug.pools.election._following import HEARTBEAT_S
from burdocklug.store import StoreUnavailable
from tests.pools.builders import spec, step
from tests.pools.test_partitions import ENDPOINTS, PROCESSES, QUEUE
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time
from tests.scenarios import with_scenarios

SETTINGS = Path(__file__).parents[2] / "deploy" / "settings.yaml"
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
IN_TOUCH_AFTER_S = 3.5  # after silent connections; the bounds hold from here on


@with_scenarios
class SilentWatchTest(TestCase):
    """Watches that wait for a change on connections that went silent.

    Guards against a change that no process learns of for 20 s (review/5).
    """

    scenarios = [
        (f"idle for {idle_s} s, written {after_s} s later", {"idle_s": idle_s, "after_s": after_s})
        for idle_s in (0.0, 2.0)
        for after_s in (IN_TOUCH_AFTER_S, 3.63, 3.71, 5.0, 9.2)
    ]

    def versions_after_a_change(self, *, cut_off=None):
        """Return the version that each process goes by when the bound is over."""

        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS).start(for_s=8.0)
            if cut_off is not None:
                inside = deployment.members_of(cut_off)
                outside = set(deployment.domains).difference(inside)
                deployment.links.cut("in", outside, inside)
                deployment.links.cut("out", inside, outside)
            deployment.store.silence_connections(idle_s=self.idle_s)
            eventlet.sleep(self.after_s)
            deployment.store.put_configuration(2)
            eventlet.sleep(CONFIGURATION_BOUND_S)
            processes = deployment.processes.values()
            return {p.name: p.pool.directory.configuration.version for p in processes}

        return run_in_virtual_time(scenario)

    def test_a_configuration_is_in_force_everywhere_within_its_bound(self):
        self.assertThat(self.versions_after_a_change(), Equals(dict.fromkeys(PROCESSES, 2)))

    def test_in_a_domain_cut_off_from_the_others_but_not_from_the_store_too(self):
        versions = self.versions_after_a_change(cut_off="south")
        self.assertThat(versions, Equals(dict.fromkeys(PROCESSES, 2)))


class PollIntervalsTest(TestCase):
    """The sum of all waits stays below the bound, though one call gets no answer."""

    def timeout_s(self):
        settings = SETTINGS.read_text(encoding="utf-8")
        return float(re.search(r"^  timeout_s: ([0-9.]+)$", settings, re.MULTILINE)[1])

    def test_configurations(self):
        delay_s = CONFIGURATION_WATCH.longest_delay_s(self.timeout_s()) + HEARTBEAT_S
        self.assertThat(delay_s, LessThan(CONFIGURATION_BOUND_S))

    def test_endpoints(self):
        delay_s = LEADER_LISTING.longest_delay_s(self.timeout_s())
        self.assertThat(delay_s, LessThan(DRAIN_BOUND_S))


@with_scenarios
class NewSchedulerViewTest(TestCase):
    """A process becomes the scheduler with an old list of endpoints.

    Guards against new work on endpoints that are leaving (rule DRAIN of the users' record).
    """

    scenarios = [
        (f"{how}, store answers after {answer_s} s", {"answer_s": answer_s, "is_silent": is_silent})
        for how, is_silent in (("idle connections are silent", True), ("all work", False))
        for answer_s in (0.004, 0.3, 0.7)
    ]

    def test_a_leaving_endpoint_gets_no_new_work(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=0.3).start(for_s=8.0)
            store, leader = deployment.store, deployment.scheduler()
            if self.is_silent:
                store.silence_connections(idle_s=1.0)
                eventlet.sleep(IN_TOUCH_AFTER_S)
            store.set_worker_state("north-w", "ready")  # followers pause after each change
            eventlet.sleep(0.3)
            store.set_worker_state("south-w", "draining")
            acked_s = now_s()
            eventlet.sleep(DRAIN_BOUND_S)
            deployment.kill(leader.name)
            store.answer_s = self.answer_s
            names = [name for name in PROCESSES if name != leader.name]
            for number in range(60):
                job = spec(f"j{number}", step(3, cpu=1000, estimate_s=0.3), rule=QUEUE)
                deployment.submit(names[number % 6], job, wait_s=3.0)
                eventlet.sleep(0.05)
            eventlet.sleep(3.0)
            late = [
                (row[0], round(row[2] - acked_s, 2))
                for row in deployment.history
                if row[4] == "south-w" and row[2] > acked_s + DRAIN_BOUND_S
            ]
            return late, len(deployment.history)

        late, starts = run_in_virtual_time(scenario)
        self.assertThat(late, Equals([]))
        self.assertThat(starts, GreaterThan(60))


@with_scenarios
class LateLoopTest(TestCase):
    """The scheduler's own loop is late, so that its calls to a sound store time out.

    Guards against a scheduler that takes the store for silent and goes on with an old list: new
    work on endpoints that are leaving (rule DRAIN of the users' record).
    """

    scenarios = [
        (f"late by {lag_s} s for {for_s} s", {"lag_s": lag_s, "for_s": for_s})
        for lag_s in (0.15, 0.5)
        for for_s in (3.0, 6.0)
    ]

    def make_late(self, process):
        """Let the calls of a process time out as a late loop lets them, and its lag show."""
        records, host = process["records"], process.pool.host
        call, until_s = records._call, now_s() + self.for_s

        def time_out(answer, *, wait_s=0.0):
            if now_s() >= until_s:
                return call(answer, wait_s=wait_s)
            eventlet.sleep(1.0)
            raise StoreUnavailable("no response")

        def note_lags():
            while now_s() < until_s:
                host.note_lag(self.lag_s, now_s())
                eventlet.sleep(0.6)

        records._call = time_out
        eventlet.spawn(note_lags)

    def play(self, prepare):
        """Return late starts on a leaving endpoint, and the number of starts after that time."""

        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=0.3).start(for_s=8.0)
            prepare(deployment)
            eventlet.sleep(0.1)
            deployment.store.set_worker_state("south-w", "draining")
            acked_s = now_s()
            for number in range(200):
                job = spec(f"j{number}", step(3, cpu=1000, estimate_s=0.3), rule=QUEUE)
                deployment.submit(list(PROCESSES)[number % 7], job, wait_s=3.0)
                eventlet.sleep(0.05)
            late = [row[4] for row in deployment.history if row[2] > acked_s + DRAIN_BOUND_S]
            return late.count("south-w"), len(late)

        return run_in_virtual_time(scenario)

    def test_a_leaving_endpoint_gets_no_new_work(self):
        late, starts = self.play(lambda deployment: self.make_late(deployment.scheduler()))
        self.assertThat(late, Equals(0))
        self.assertThat(starts, GreaterThan(60))

    def test_a_store_that_is_silent_stops_no_starts_while_the_loop_is_on_time(self):
        def silence(deployment):
            deployment.links.cut("store", set(deployment.domains), {"store"})

        _late, starts = self.play(silence)
        self.assertThat(starts, GreaterThan(200))


@with_scenarios
class OddEntryTest(TestCase):
    """One entry that can't be read stands among those of the workers.

    Guards against processes that stop following the list from then on.
    """

    scenarios = [
        ("nested", {"value": b'{"a":' * 100_000 + b"1" + b"}" * 100_000}),
        ("infinite", {"value": b'{"slots": 1e999}'}),
        ("not text", {"value": b"\xff\x00"}),
    ]

    def test_the_others_are_followed(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS).start()
            deployment.store.put("servers/odd", self.value)
            eventlet.sleep(1.0)
            deployment.store.put_worker("late-w", "north")
            eventlet.sleep(1.0)
            deployment.store.drop_history()
            deployment.store.set_worker_state("south-w", "draining")
            eventlet.sleep(DRAIN_BOUND_S)
            entries = deployment.scheduler().pool.directory.entries
            return sorted((name, e.draining) for name, e in entries.items())

        self.assertThat(
            run_in_virtual_time(scenario),
            Equals([("east-w", False), ("late-w", False), ("north-w", False), ("south-w", True)]),
        )

    def test_an_endpoint_whose_entry_is_overwritten_by_it_is_used_no_more(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS).start()
            deployment.store.put("servers/south-w", self.value)
            eventlet.sleep(DRAIN_BOUND_S + MISSING_GRACE_S)
            return sorted(deployment.scheduler().pool.directory.entries)

        self.assertThat(run_in_virtual_time(scenario), Equals(["east-w", "north-w"]))
