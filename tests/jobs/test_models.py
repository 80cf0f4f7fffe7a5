import sys

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, StartsWith

from burdocklug.jobs._models import decoded_size_bytes, parse_submission, submission_digest
from burdocklug.kernel import BurdocklugError, ErrorKind
from tests.scenarios import with_scenarios

GOOD = {"service": "press-control", "team": "vat", "tasks": [{"payload": {"sheet": 4}}]}


def parse(body):
    return parse_submission(body, max_tasks=1700, max_deadline_s=3600.0)


def body(**changes):
    return msgspec.json.encode({**GOOD, **changes})


@with_scenarios
class DecodedSizeTest(TestCase):
    """The size is no less than what the interpreter says of the objects."""

    scenarios = [
        ("lists", {"value": [[] for _ in range(1000)]}),
        ("mappings", {"value": [{} for _ in range(1000)]}),
        ("nested", {"value": [[[n], [n]] for n in range(1000)]}),
        ("numbers", {"value": [n / 7 for n in range(1000)]}),
        ("texts", {"value": {f"key-{n}": f"value-{n}" for n in range(1000)}}),
    ]

    def size_of(self, value):
        if isinstance(value, dict):
            parts = [*value, *value.values()]
        else:
            parts = value if isinstance(value, list) else []
        return sys.getsizeof(value) + sum(self.size_of(part) for part in parts)

    def test_it_bounds_the_objects(self):
        decoded = msgspec.json.decode(data := msgspec.json.encode(self.value))
        size = decoded_size_bytes(data)
        self.assertTrue(self.size_of(decoded) <= size, (self.size_of(decoded), size))


@with_scenarios
class InvalidSubmissionTest(TestCase):
    scenarios = [
        ("no JSON", {"data": b"{", "path": "$"}),
        ("empty", {"data": b"", "path": "$"}),
        ("bad UTF-8", {"data": b'{"service": "\xff"}', "path": "$"}),
        ("a list", {"data": b"[]", "path": "$"}),
        ("deeply nested", {"data": b"[" * 100_000, "path": "$"}),
        ("unknown field", {"data": body(colour="red"), "path": "$"}),
        ("unknown field of a task", {"data": body(tasks=[{"x": 1}]), "path": "$.tasks[0]"}),
        ("missing field", {"data": b'{"service": "a", "team": "b"}', "path": "$"}),
        ("wrong type", {"data": body(service=3), "path": "$.service"}),
        ("bad name", {"data": body(team="Vat Crew"), "path": "$.team"}),
        ("newline after a name", {"data": body(team="vat\n"), "path": "$.team"}),
        ("no task", {"data": body(tasks=[]), "path": "$.tasks"}),
        ("1,701 tasks", {"data": body(tasks=[{}] * 1701), "path": "$.tasks"}),
        (
            "declared 0 s",
            {"data": body(tasks=[{"declared_s": 0}]), "path": "$.tasks[0].declared_s"},
        ),
        ("negative deadline", {"data": body(deadline_s=-1), "path": "$.deadline_s"}),
        ("endless deadline", {"data": body(deadline_s=1e9), "path": "$.deadline_s"}),
        ("negative mark", {"data": body(acknowledged=-1), "path": "$.acknowledged"}),
    ]

    def test_is_refused_with_the_path_of_the_invalid_value(self):
        exc = self.assertRaises(BurdocklugError, parse, self.data)
        self.assertThat(exc.kind, Equals(ErrorKind.BAD_REQUEST))
        self.assertThat(exc.path, Equals(self.path))


class DigestTest(TestCase):
    def test_it_is_independent_of_json_formatting_and_member_order(self):
        one = parse(b'{"service":"p","team":"t","tasks":[{"payload":{"a":1,"b":2}}]}')
        two = parse(
            b'{ "team":"t","tasks":[{"payload":{"b":2,"a":1}}], "service":"p","wait":false}'
        )
        self.assertThat(submission_digest(one), Equals(submission_digest(two)))

    def test_it_depends_on_the_payload(self):
        digests = {submission_digest(parse(body(tasks=[{"payload": n}]))) for n in range(10)}
        self.assertThat(len(digests), Equals(10))


class FuzzTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300, database=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_parse_or_are_refused(self, data):
        self.check(data)

    json_values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
        max_leaves=8,
    )

    @settings(derandomize=True, deadline=None, max_examples=300, database=None)
    @given(st.sampled_from(["service", "team", "tasks", "deadline_s", "wait", "x"]), json_values)
    def test_any_value_in_any_field_parses_or_is_refused(self, field, value):
        try:
            data = body(**{field: value})
        except (msgspec.MsgspecError, UnicodeEncodeError, OverflowError):
            return
        self.check(data)

    def check(self, data):
        try:
            submission = parse(data)
        except BurdocklugError as exc:
            self.assertThat(exc.kind, Equals(ErrorKind.BAD_REQUEST))
            self.assertThat(exc.path, StartsWith("$"))
        else:
            submission_digest(submission)
