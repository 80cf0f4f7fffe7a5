"""Any bytes at the border give a value in range or the one kind of error that is expected.

Guards against processes that end, or stop following a list, because of one odd entry in it.
"""

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.platform._entries import decode_configuration, decode_entry
from burdocklug.platform._jobs import decode_job
from burdocklug.platform._orders import decode_answer
from burdocklug.platform._store import decode_items
from burdocklug.pools.agents._orders import OrderUnanswered
from burdocklug.pools.election._fleet import decode_member
from burdocklug.store import StoreUncertain
from tests.platform.test_decoding import ROUTE, WORKER
from tests.pools.builders import RULE
from tests.scenarios import with_scenarios

DEPTH = 100_000
HUGE = 10**400
VALUES = [
    ("nested objects", b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    ("nested lists", b"[" * DEPTH + b"]" * DEPTH),
    ("list without an end", b"[" * DEPTH),
    ("not UTF-8", b'{"service": "\xff"}'),
    ("nothing", b""),
    ("null", b"null"),
    ("infinite number", b'{"clock_ms": 1e999}'),
    ("number of 5000 digits", b'{"clock_ms": ' + b"9" * 5000 + b"}"),
]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


@with_scenarios
class OddBytesTest(TestCase):
    scenarios = [(name, {"value": value}) for name, value in VALUES]

    def test_an_entry(self):
        self.assertThat(decode_entry("servers/x", self.value), Is(None))

    def test_a_configuration(self):
        self.assertRaises(ValueError, decode_configuration, self.value)

    def test_a_job(self):
        exc = self.assertRaises(BurdocklugError, decode_job, "5c", RULE, self.value, max_tasks=5)
        self.assertThat(exc.kind, Equals(ErrorKind.BAD_REQUEST))

    def test_an_answer_of_a_worker(self):
        self.assertRaises(OrderUnanswered, decode_answer, 200, self.value)

    def test_an_answer_of_the_store(self):
        self.assertRaises(StoreUncertain, decode_items, self.value)

    def test_a_record_of_a_member(self):
        self.assertRaises(ValueError, decode_member, self.value)


@with_scenarios
class OddEntryTest(TestCase):
    """Entries with a field out of range name no endpoint."""

    scenarios = [
        (f"{name} {str(value)[:20]!a}", {"name": name, "value": value})
        for name, values in {
            "address": ("10.1.0.1:\u00b2", "10.1.0.1:\uff11\uff12", "10.1.0.1:0", "10.1.0.1:65536")
            + ("10.1.0.1:99999", "10.1.0.1:" + "9" * 5000, "worker:80", "10.1.0.1\r\n:80", ":80")
            + ("10.1.0.1.1:80", "300.1.0.1:80", "10.1.0.1:+80", "10.1.0.1: 80"),
            "slots": (-1, HUGE, 2**40, 1.5),
            "capacity": ({"cpu": -1}, {"cpu": HUGE}, {"mem_mb": 2**60}, {"gpu": -3}),
            "born": (-1, HUGE, 2**64, 1.5),
            "service": ("", 5),
            "state": ("", "READY"),
            "labels": ([5], "a"),
        }.items()
        for value in values
    ]

    def test_it_is_decoded_to_none(self):
        value = json.dumps({**WORKER, self.name: self.value}).encode()
        self.assertThat(decode_entry("servers/x", value), Is(None))


class OddKeyTest(TestCase):
    def test_a_key_that_cannot_be_a_header_names_no_endpoint(self):
        for key in ("servers/", "servers/a b", "servers/a\r\nX-Other: 1", "servers/\u00e9"):
            self.assertThat(decode_entry(key, json.dumps(WORKER).encode()), Is(None))


@with_scenarios
class OddConfigurationTest(TestCase):
    scenarios = [
        (f"{name} {str(value)[:12]}", {"name": name, "value": value})
        for name in ("timeout_ms", "target_duration_ms", "priority", "max_attempts")
        for value in (HUGE, -1)
    ]

    def test_a_route_out_of_range_is_an_error(self):
        config = {"version": 7, "routes": [{**ROUTE, self.name: self.value}]}
        self.assertRaises(ValueError, decode_configuration, json.dumps(config).encode())


class FuzzTest(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(JSON, st.sampled_from(sorted(WORKER)))
    def test_an_entry_with_any_field(self, value, name):
        entry = decode_entry("servers/x", json.dumps({**WORKER, name: value}).encode())
        if entry is not None:
            port = int(entry.address.rpartition(":")[2])
            self.assertTrue(0 < port < 65536 and entry.slots >= 0 and entry.capacity.cpu >= 0)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(JSON, st.sampled_from(sorted(ROUTE)))
    def test_a_configuration_with_any_field_of_a_route(self, value, name):
        config = {"version": 7, "routes": [{**ROUTE, name: value}]}
        try:
            decode_configuration(json.dumps(config).encode())
        except ValueError:
            return

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=60) | JSON.map(lambda value: json.dumps(value).encode()))
    def test_any_bytes(self, raw):
        decode_entry("servers/x", raw)
        for decode, error in (
            (decode_configuration, ValueError),
            (decode_member, ValueError),
            (decode_items, StoreUncertain),
            (lambda raw: decode_job("5c", RULE, raw, max_tasks=5), BurdocklugError),
            (lambda raw: decode_answer(200, raw), OrderUnanswered),
        ):
            try:
                decode(raw)
            except error:
                continue
