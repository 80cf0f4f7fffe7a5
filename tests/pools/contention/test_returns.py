from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools.contention import Returns
from burdocklug.pools.contention._returns import (
    INTERVAL_S,
    KEPT_S,
    MAX_PROMISES,
    MAX_SPREAD_S,
    RETURNS_SHARE,
)

NOW_S = 100.0
ENDS_PER_S = 200


class ReturnsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.returns = Returns()
        for number in range(3 * ENDS_PER_S):
            self.returns.note_end(NOW_S - 3.0 + number / ENDS_PER_S)

    def book(self, job_id, tasks=2, now_s=NOW_S):
        return self.returns.book(job_id, tasks, now_s, earliest_s=1.0)

    def test_callers_who_are_refused_together_do_not_return_together(self):
        delays = [self.book(f"j{n}") for n in range(100)]
        tasks = Counter()
        for delay_s in delays:
            tasks[delay_s] += 2
        room = 1.1 * ENDS_PER_S * INTERVAL_S * RETURNS_SHARE
        self.assertThat(max(tasks.values()), LessThan(room))
        self.assertThat(min(delays), Equals(1.0))

    def test_delays_are_bounded_and_even_beyond_the_room(self):
        delays = Counter(self.book(f"j{n}") for n in range(1000))
        self.assertThat(max(delays), LessThan(1.0 + MAX_SPREAD_S + INTERVAL_S))
        self.assertThat(max(delays.values()) - min(delays.values()), LessThan(16))

    def test_a_job_wider_than_an_interval_gets_one_of_its_own(self):
        self.assertThat(self.book("wide", tasks=500), Equals(1.0))
        self.assertThat(self.book("next"), GreaterThan(1.0))

    def test_a_job_that_returns_at_its_time_is_recognized_once(self):
        delay_s = self.book("j1")
        self.assertFalse(self.returns.take_returned("j1", NOW_S + 0.3))
        self.assertTrue(self.returns.take_returned("j1", NOW_S + delay_s))
        self.assertFalse(self.returns.take_returned("j1", NOW_S + delay_s))

    def test_a_promise_ends_seconds_after_its_time(self):
        delay_s = self.book("j1")
        self.assertFalse(self.returns.take_returned("j1", NOW_S + delay_s + KEPT_S + 0.1))

    def test_memory_is_bounded(self):
        for number in range(2 * MAX_PROMISES):
            self.book(f"j{number}", now_s=NOW_S + number / 1000)
        self.assertThat(len(self.returns._promises), LessThan(MAX_PROMISES + 1))
        self.assertThat(len(self.returns._booked), LessThan(30))

    def test_past_bookings_are_forgotten(self):
        self.book("j1")
        self.book("j2", now_s=NOW_S + 20.0)
        self.assertThat(self.returns.dump(NOW_S + 20.0)["expected"], Equals(1))
