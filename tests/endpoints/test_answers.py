import json

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from burdocklug.endpoints import (
    Attempt,
    AttemptPhase,
    EndpointUnresponsive,
    MaybeStarted,
    NotStarted,
)
from burdocklug.endpoints._answers import (
    read_ask_response,
    read_start_response,
    read_status_response,
)

ADDRESS = "127.0.0.1:1"
ATTEMPT = Attempt("a1", "job/0", "loom", None, 5.0)
WHOLE = {
    "attempt_id": "a1",
    "task_id": "job/0",
    "ok": True,
    "value": [1],
    "run_s": 0.2,
    "free_slots": 3,
    "leaving": False,
}
REFUSED = {"started": False, "reason": "full", "free_slots": 0, "leaving": False}

# name, status, body, outcome: "result", or an exception with the expected reason or cause
START_RESPONSES = [
    ("whole", 200, WHOLE, "result"),
    ("more fields", 200, dict(WHOLE, more=1), "result"),
    ("other attempt", 200, dict(WHOLE, attempt_id="a2"), MaybeStarted("crossed", "")),
    ("other task", 200, dict(WHOLE, task_id="job/1"), MaybeStarted("crossed", "")),
    ("missing field", 200, {"attempt_id": "a1", "task_id": "job/0"}, MaybeStarted("garbage", "")),
    ("wrong type", 200, dict(WHOLE, ok="yes"), MaybeStarted("garbage", "")),
    ("negative time", 200, dict(WHOLE, run_s=-1), MaybeStarted("garbage", "")),
    ("refusal as 200", 200, REFUSED, MaybeStarted("garbage", "")),
    ("half", 200, json.dumps(WHOLE)[:40], MaybeStarted("garbage", "")),
    ("empty", 200, "", MaybeStarted("garbage", "")),
    ("deep", 200, "[" * 100_000, MaybeStarted("garbage", "")),
    ("bad utf-8", 200, b'{"attempt_id": "\xff"}', MaybeStarted("garbage", "")),
    ("full", 429, REFUSED, NotStarted("full", "")),
    ("leaving", 503, {"started": False, "reason": "leaving"}, NotStarted("leaving", "")),
    ("fenced", 409, {"started": False, "reason": "fenced"}, NotStarted("fenced", "")),
    ("started after all", 429, dict(REFUSED, started=True), MaybeStarted("status", "")),
    ("balancer's 503", 503, "<html>busy</html>", MaybeStarted("status", "")),
    ("other reason", 503, REFUSED, MaybeStarted("status", "")),
    ("whole under 201", 201, WHOLE, MaybeStarted("status", "")),
    ("redirect", 307, {}, MaybeStarted("status", "")),
    ("refusal under 500", 500, REFUSED, MaybeStarted("status", "")),
    ("not found", 404, {"started": False, "reason": "full"}, MaybeStarted("status", "")),
]

ASK_RESPONSES = [
    ("running", 200, {"state": "running"}, AttemptPhase.RUNNING),
    ("not started", 200, {"state": "not_started", "memory_s": 9}, AttemptPhase.NOT_STARTED),
    ("finished", 200, dict(WHOLE, state="finished"), AttemptPhase.FINISHED),
    ("finished, other", 200, dict(WHOLE, state="finished", attempt_id="a2"), "crossed"),
    ("finished, no result", 200, {"state": "finished"}, "garbage"),
    ("unknown state", 200, {"state": "paused"}, "garbage"),
    ("not started under 404", 404, {"state": "not_started"}, "garbage"),
    ("garbage", 200, "not json", "garbage"),
]


def as_bytes(body):
    if isinstance(body, bytes):
        return body
    return (body if isinstance(body, str) else json.dumps(body)).encode()


def outcome_of(call, *args):
    try:
        return call(*args)
    except (NotStarted, MaybeStarted, EndpointUnresponsive) as exc:
        return exc


class StartAnswerTest(TestCase):
    def test_table(self):
        for name, status, body, expected in START_RESPONSES:
            got = outcome_of(read_start_response, ADDRESS, ATTEMPT, status, as_bytes(body))
            if expected == "result":
                self.assertThat((name, got.value), Equals((name, [1])))
                continue
            self.assertThat(got, IsInstance(type(expected)), name)
            kind = "reason" if isinstance(expected, NotStarted) else "cause"
            self.assertThat(getattr(got, kind), Equals(getattr(expected, kind)), name)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(status=st.sampled_from([200, 409, 429, 503, 500]), body=st.binary(max_size=200))
    def test_arbitrary_bytes_prove_nothing(self, status, body):
        got = outcome_of(read_start_response, ADDRESS, ATTEMPT, status, body)
        self.assertThat(got, IsInstance(MaybeStarted))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(cut=st.integers(0, len(json.dumps(WHOLE)) - 1))
    def test_no_prefix_of_an_answer_is_an_answer(self, cut):
        body = json.dumps(WHOLE).encode()[:cut]
        got = outcome_of(read_start_response, ADDRESS, ATTEMPT, 200, body)
        self.assertThat(got, IsInstance(MaybeStarted))


class QueryResponseTest(TestCase):
    def test_table(self):
        for name, status, body, expected in ASK_RESPONSES:
            got = outcome_of(read_ask_response, ADDRESS, "a1", status, as_bytes(body))
            seen = got.cause if isinstance(got, EndpointUnresponsive) else got.phase
            self.assertThat((name, seen), Equals((name, expected)))

    def test_memory_is_zero_where_the_endpoint_does_not_tell_it(self):
        state = read_ask_response(ADDRESS, "a1", 200, b'{"state": "not_started"}')
        self.assertThat(state.history_s, Equals(0.0))


class StatusResponseTest(TestCase):
    def test_bad_status_answers_are_silence(self):
        for status, body in [(200, b"{}"), (200, b"x"), (500, b'{"slots": 8}')]:
            got = outcome_of(read_status_response, ADDRESS, status, body)
            self.assertThat(got, IsInstance(EndpointUnresponsive))
