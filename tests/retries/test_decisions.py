import random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.endpoints import AttemptPhase, AttemptResult, AttemptState
from burdocklug.retries import (
    ACTIONS,
    Action,
    FailedPhase,
    RetryBudget,
    backoff_s,
    phase_of_state,
)

SEED = 20


class ActionsTest(TestCase):
    def test_every_phase_has_an_action(self):
        self.assertThat(set(ACTIONS), Equals(set(FailedPhase)))

    def test_only_attempts_that_certainly_did_not_start_are_retried(self):
        retried = {phase for phase, action in ACTIONS.items() if action is Action.RETRY_ELSEWHERE}
        not_started = {"refused", "full", "leaving", "fenced", "ask_not_started"}
        self.assertThat({phase.value for phase in retried}, Equals(not_started))

    def test_phase_of_state(self):
        done = AttemptResult("a", "t", True, None, 0.1, 1, False)
        failed = AttemptResult("a", "t", False, "broken", 0.1, 1, False)
        table = [
            (AttemptState(AttemptPhase.RUNNING), 1.0, FailedPhase.QUERY_RUNNING),
            (AttemptState(AttemptPhase.FINISHED, done), 1.0, None),
            (AttemptState(AttemptPhase.FINISHED, failed), 1.0, FailedPhase.TASK_FAILED),
            (AttemptState(AttemptPhase.NOT_STARTED, None, 1.0), 1.0, FailedPhase.QUERY_NOT_STARTED),
            (AttemptState(AttemptPhase.NOT_STARTED, None, 0.9), 1.0, FailedPhase.QUERY_FORGOTTEN),
            (AttemptState(AttemptPhase.NOT_STARTED), 1.0, FailedPhase.QUERY_FORGOTTEN),
        ]
        for state, elapsed_s, expected in table:
            self.assertThat(phase_of_state(state, elapsed_s), Equals(expected))


class BackoffTest(TestCase):
    def test_delays_are_uniform_below_their_bound(self):
        rng = random.Random(SEED)
        for attempt, bound_s in [(0, 0.02), (1, 0.04), (3, 0.16), (20, 1.0), (10_000, 1.0)]:
            delays = [backoff_s(attempt, rng) for _ in range(500)]
            self.assertThat(max(delays), LessThan(bound_s + 1e-9))
            self.assertThat(min(delays), LessThan(0.05 * bound_s))
            self.assertThat(abs(sum(delays) / 500 - bound_s / 2), LessThan(0.05 * bound_s))


class RetryBudgetTest(TestCase):
    def test_no_window_before_a_retry_exceeds_its_share(self):
        rng = random.Random(SEED)
        budget = RetryBudget()
        sends, retries, now_s = [], [], 0.0
        for _ in range(20_000):
            now_s += rng.expovariate(400.0 if int(now_s) % 3 else 20.0)
            sends.append(now_s)
            budget.note_first_attempts(now_s)
            while rng.random() < 0.5 and budget.try_retry(now_s):
                retries.append(now_s)
        for at_s in retries:
            recent = sum(at_s - 1.0 < t <= at_s for t in retries)
            first = sum(at_s - 1.0 < t <= at_s for t in sends)
            self.assertThat(recent, LessThan(max(3, 0.1 * first) + 1e-9))
        self.assertThat(budget.refused_retries, GreaterThan(0))
        self.assertThat(len(retries) / len(sends), LessThan(0.1))

    def test_only_the_floor_is_allowed_without_first_sends(self):
        budget = RetryBudget(floor=3)
        granted = sum(budget.try_retry(tick * 0.01) for tick in range(1000))
        self.assertThat(granted, Equals(30))

    def test_nearly_the_whole_share_is_allowed_under_steady_traffic(self):
        budget = RetryBudget()
        granted = 0
        for tick in range(10_000):
            budget.note_first_attempts(tick * 0.001)
            granted += budget.try_retry(tick * 0.001)
        self.assertThat(granted, LessThan(1001))
        self.assertThat(-granted, LessThan(-900))
