"""Races between the answer to a start and the answers to status queries, scripted."""

import random
import time
from collections import Counter

import eventlet
from eventlet.event import Event
from testtools import TestCase
from testtools.matchers import Equals, Is

from burdocklug.endpoints import (
    Attempt,
    AttemptPhase,
    AttemptResult,
    AttemptState,
    EndpointProtocol,
    EndpointUnresponsive,
    MaybeStarted,
    NotStarted,
    OutcomeKind,
)
from burdocklug.retries import Finished, NotRun, Unknown, health_outcome, run_attempt

ATTEMPT = Attempt("a1", "job/0", "loom", None, 5.0)
RESULT = AttemptResult("a1", "job/0", True, "sheet", 0.1, 3, False)
OTHER = AttemptResult("a2", "job/1", True, "sheet", 0.1, 3, False)
LATE = AttemptResult("a1", "job/0", True, "late", 0.1, 3, False)
NOT_STARTED = AttemptState(AttemptPhase.NOT_STARTED, None, 100.0)
RUNNING = AttemptState(AttemptPhase.RUNNING)
DONE = AttemptState(AttemptPhase.FINISHED, RESULT)
CROSSED = AttemptState(AttemptPhase.FINISHED, OTHER)
SILENT = EndpointUnresponsive("timeout", "no answer")
HANG = None


class Script(EndpointProtocol):
    """Protocol with scripted answers.

    The start is answered by `start`, or by `with_ask` at the time of the first status query. The
    last of `asks` is repeated.
    """

    def __init__(self, start=HANG, asks=(), with_ask=None):
        self.answer = Event()
        self.starts = 0
        self.asks = list(asks)
        self.with_ask = with_ask
        self.retired = 0
        if start is not HANG:
            self.answer.send(start)

    def start(self, address, attempt, *, timeout_s):
        self.starts += 1
        answer = self.answer.wait()
        if isinstance(answer, Exception):
            raise answer
        return answer

    def query_attempt(self, address, attempt_id, *, timeout_s, wait_s=0.0):
        if self.with_ask is not None:
            self.answer.send(self.with_ask)
            self.with_ask = None
        answer = self.asks.pop(0) if len(self.asks) > 1 else self.asks[0]
        eventlet.sleep(0.01 if self.with_ask is HANG and len(self.asks) <= 1 else 0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def retire(self, address):
        self.retired += 1


REFUSED = NotStarted("refused", "")
BROKEN = MaybeStarted("closed", "")

# name, script, expected outcome, number of retired connections
CASES = [
    ("answer", Script(RESULT), Finished(RESULT), 0),
    ("refused", Script(REFUSED), NotRun("refused"), 0),
    ("broken, never came", Script(BROKEN, [NOT_STARTED]), NotRun("ask_not_started"), 0),
    ("broken, ran", Script(BROKEN, [SILENT, RUNNING, DONE]), Finished(RESULT), 0),
    ("broken, unresolved", Script(BROKEN, [SILENT]), Unknown("deadline", "ask_silent"), 0),
    ("broken, straggler", Script(BROKEN, [RUNNING]), Unknown("deadline", "ask_running"), 0),
    ("crossed, ran", Script(OTHER, [DONE]), Finished(RESULT), 0),
    ("crossed twice", Script(OTHER, [CROSSED, DONE]), Finished(RESULT), 0),
    ("silent, ran", Script(HANG, [DONE]), Finished(RESULT), 1),
    ("silent, never came", Script(HANG, [NOT_STARTED]), NotRun("ask_not_started"), 1),
    ("silent for good", Script(HANG, [SILENT]), Unknown("deadline", "ask_silent"), 0),
    ("answer with the ask's", Script(HANG, [DONE], with_ask=LATE), Finished(LATE), 0),
    ("refusal with the ask's", Script(HANG, [RUNNING], with_ask=REFUSED), NotRun("refused"), 0),
    ("broken with the ask's", Script(HANG, [RUNNING, DONE], with_ask=BROKEN), Finished(RESULT), 0),
    ("answer despite fence", Script(HANG, [NOT_STARTED], with_ask=LATE), Finished(LATE), 0),
]


class RunAttemptTest(TestCase):
    def test_outcome_for_each_script(self):
        for name, script, expected, retired in CASES:
            counts = Counter()
            deadline = time.monotonic() + 0.4
            outcome = run_attempt(
                script, "a:1", ATTEMPT, deadline, 0.03, counts=counts, rng=random.Random(3)
            )
            self.assertThat((name, outcome), Equals((name, expected)))
            self.assertThat((name, script.starts), Equals((name, 1)))
            self.assertThat((name, script.retired), Equals((name, retired)))

    def test_attempt_past_its_deadline_is_not_sent(self):
        script = Script(RESULT)
        outcome = run_attempt(script, "a:1", ATTEMPT, time.monotonic(), 1.0, counts=Counter())
        self.assertThat((outcome, script.starts), Equals((NotRun("deadline"), 0)))

    def test_killing_the_caller_stops_its_status_queries(self):
        script = Script(HANG, [RUNNING])
        counts = Counter()
        deadline = time.monotonic() + 5.0
        caller = eventlet.spawn(run_attempt, script, "a:1", ATTEMPT, deadline, 0.02, counts=counts)
        eventlet.sleep(0.1)
        caller.kill()
        asks_before = counts["asks"]
        eventlet.sleep(0.1)
        self.assertThat(counts["asks"], Equals(asks_before))

    def test_health_outcome_for_each_attempt_outcome(self):
        failed = AttemptResult("a1", "job/0", False, "broken", 0.1, 3, False)
        table = [
            (Finished(RESULT), OutcomeKind.SUCCEEDED),
            (Finished(failed), OutcomeKind.FAILED),
            (NotRun("refused"), OutcomeKind.REFUSED),
            (Unknown("deadline", "ask_silent"), OutcomeKind.SILENT),
        ]
        for outcome, kind in table:
            self.assertThat(health_outcome(outcome, 0.1).kind, Equals(kind))
        for outcome in (NotRun("full"), NotRun("leaving"), Unknown("deadline", "ask_running")):
            self.assertThat(health_outcome(outcome, 0.1), Is(None))
