import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.store._breaker import (
    FAILURES_TO_OPEN,
    Breaker,
    BreakerState,
    allows_call,
    backoff_s,
    begin_call,
    end_call,
)
from burdocklug.store._budget import Bucket, Priority, drain_tokens, take_token

fixed = settings(derandomize=True, deadline=None)
STEPS = st.lists(st.tuples(st.floats(0, 3), st.sampled_from(Priority)), max_size=200)


def full_bucket(rate_per_s=10.0, burst=10.0):
    return Bucket(rate_per_s, burst, tokens=burst, updated_at_s=0.0)


def take_all(bucket, priority, now_s):
    taken = 0
    while True:
        bucket, wait_s = take_token(bucket, priority, now_s)
        if wait_s:
            return bucket, taken, wait_s
        taken += 1


class BucketTest(TestCase):
    def test_background_leaves_half_and_urgent_borrows_a_burst(self):
        bucket = full_bucket()
        for priority, taken in (
            (Priority.BACKGROUND, 5),
            (Priority.NORMAL, 5),
            (Priority.URGENT, 10),
        ):
            bucket, count, _ = take_all(bucket, priority, 0.0)
            self.assertThat(count, Equals(taken), priority)

    def test_wait_is_long_enough_and_not_too_long(self):
        for priority in Priority:
            bucket, _, wait_s = take_all(full_bucket(), priority, 0.0)
            self.assertThat(take_token(bucket, priority, wait_s + 1e-6)[1], Equals(0.0))
            self.assertThat(take_token(bucket, priority, wait_s * 0.9)[1], GreaterThan(0.0))

    def test_smallest_budget_serves_each_priority(self):
        for priority in Priority:
            self.assertThat(take_all(full_bucket(0.1, 1.0), priority, 0.0)[1], GreaterThan(0))

    def test_drained_bucket_has_no_burst(self):
        bucket = drain_tokens(full_bucket(), 5.0)
        self.assertThat(take_all(bucket, Priority.NORMAL, 5.0)[1], Equals(0))
        self.assertThat(take_all(bucket, Priority.NORMAL, 6.0)[1], Equals(10))

    @fixed
    @given(STEPS)
    def test_never_more_than_two_bursts_and_the_rate(self, steps):
        bucket, now_s, taken = full_bucket(), 0.0, 0
        for step_s, priority in steps:
            now_s += step_s
            bucket, count, _ = take_all(bucket, priority, now_s)
            taken += count
            self.assertThat(taken, LessThan(2 * 10.0 + 10.0 * now_s + 1e-6 + 1))

    def test_clock_that_stands_or_goes_back_gives_no_tokens(self):
        bucket, _, _ = take_all(full_bucket(), Priority.NORMAL, 10.0)
        self.assertThat(take_all(bucket, Priority.NORMAL, 9.0)[1], Equals(0))


def fail(breaker, now_s, *, is_probe=False, jitter=0.5):
    return end_call(breaker, is_probe=is_probe, answered=False, now_s=now_s, jitter=jitter)


def succeed(breaker, now_s, *, is_probe=False):
    return end_call(breaker, is_probe=is_probe, answered=True, now_s=now_s, jitter=0.5)


def open_breaker():
    breaker = Breaker()
    for _ in range(FAILURES_TO_OPEN):
        breaker = fail(breaker, 0.0)
    return breaker


class BreakerTest(TestCase):
    def test_opens_at_consecutive_failures_only(self):
        breaker = Breaker()
        for _ in range(10):
            breaker = succeed(fail(fail(breaker, 0.0), 0.0), 0.0)
        self.assertThat(breaker.state, Equals(BreakerState.CLOSED))
        self.assertThat(open_breaker().state, Equals(BreakerState.OPEN))

    def test_one_trial_at_a_time(self):
        breaker = open_breaker()
        self.assertThat(allows_call(breaker, breaker.retry_at_s - 0.01), Equals(False))
        self.assertThat(allows_call(breaker, breaker.retry_at_s), Equals(True))
        breaker, is_probe = begin_call(breaker)
        self.assertThat(is_probe, Equals(True))
        self.assertThat(allows_call(breaker, 1e9), Equals(False))
        self.assertThat(succeed(breaker, 1.0, is_probe=True), Equals(Breaker()))

    def test_failed_trials_double_the_wait_up_to_a_bound(self):
        breaker, now_s, waits = open_breaker(), 0.0, []
        for _ in range(8):
            waits.append(breaker.retry_at_s - now_s)
            now_s = breaker.retry_at_s
            breaker = fail(begin_call(breaker)[0], now_s, is_probe=True)
        self.assertThat(waits, Equals([0.25, 0.5, 1.0, 2.0, 4.0, 4.0, 4.0, 4.0]))

    def test_late_ends_of_earlier_calls_change_nothing(self):
        for late in (fail, succeed):
            for breaker in (open_breaker(), begin_call(open_breaker())[0]):
                self.assertThat(late(breaker, 5.0), Equals(breaker))

    @fixed
    @given(st.integers(1, 100_000), st.floats(0, 1))
    def test_backoff_leaves_time_to_recover_within_nine_seconds(self, count, jitter):
        self.assertThat(backoff_s(count, jitter), LessThan(6.001))
        self.assertThat(backoff_s(count, jitter), GreaterThan(0.1))

    def test_breakers_that_open_together_do_not_try_together(self):
        rng = random.Random(3)
        probes = Counter()
        for _ in range(50):
            breaker = open_breaker()
            while breaker.retry_at_s < 60:
                now_s = breaker.retry_at_s
                probes[int(now_s * 10)] += 1
                breaker = fail(begin_call(breaker)[0], now_s, is_probe=True, jitter=rng.random())
        # 50 breakers that probe every 4 s make 1.25 probes per tenth of a second on average.
        late = [probes[tenth] for tenth in range(100, 600)]
        self.assertThat(max(late), LessThan(12))
