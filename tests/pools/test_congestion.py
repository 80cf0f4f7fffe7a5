import heapq
import itertools
from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools._congestion import Congestion

SLOW_LATE_S = 0.02
FOLLOW_S = 0.2
JOB_COST_S, FOLLOW_COST_S = 0.005, 0.0003  # at a scheduler whose host runs six times slower
STALE_S = 0.7
WAY_S = 0.01  # of a message and its answer
URGENT, USUAL = 1, 0


class CongestionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 50.0
        self.congestion = Congestion(lambda: self.now_s)
        self.answer(WAY_S, late_s=0.001)

    def answer(self, delay_s, *, late_s=SLOW_LATE_S, jobs=0):
        """Send jobs and a question, and have it answered after a delay."""
        for _ in range(jobs):
            self.congestion.admits(USUAL)
        self.congestion.note_sent(1)
        self.now_s += delay_s
        self.congestion.note_answered(1, late_s)

    def admitted(self, number, urgency=USUAL):
        return sum(self.congestion.admits(urgency) for _ in range(number))

    def test_any_number_is_sent_while_answers_come_soon(self):
        self.answer(0.05, jobs=10)
        self.assertThat(self.admitted(100), Equals(100))

    def test_a_slow_link_to_a_scheduler_with_time_left_is_no_congestion(self):
        self.answer(0.4, late_s=0.001, jobs=10)
        self.assertThat(self.admitted(100), Equals(100))

    def test_a_busy_scheduler_in_another_region_is_no_congestion_by_its_distance(self):
        self.congestion.reset()
        for _ in range(20):
            self.answer(0.2, jobs=10)
        self.assertThat(self.admitted(100), Equals(100))

    def test_a_scheduler_that_does_not_answer_is_not_taken_for_busy(self):
        self.congestion.note_sent(1)
        self.now_s += 0.7
        self.assertThat(self.admitted(100), Equals(100))

    def test_a_busy_one_is_sent_no_more_than_it_reads(self):
        self.answer(0.4, jobs=10)
        self.now_s += 1.0
        self.assertThat(self.admitted(100), LessThan(10 / 0.4))

    def test_another_scheduler_starts_without_the_limit_of_the_one_before(self):
        self.answer(0.4, jobs=10)
        self.congestion.reset()
        self.assertThat(self.admitted(100), Equals(100))

    def test_urgent_jobs_go_while_less_urgent_ones_are_refused(self):
        self.answer(0.4, jobs=10)
        self.assertThat(self.admitted(100), Equals(0))
        self.assertThat(self.admitted(100, URGENT), GreaterThan(0))

    def test_the_limit_is_lifted_once_answers_come_soon_again(self):
        self.answer(0.4, jobs=10)
        for _ in range(20):
            self.answer(0.05, late_s=0.001)
        self.assertThat(self.admitted(100), Equals(100))


class Overload:
    """A scheduler that reads one message after the other, and followers that send it jobs.

    A message that is older than `STALE_S` when it is read costs its time and is of no use.
    """

    def __init__(self, *, followers, jobs_per_s, admission):
        self.now_s = 0.0
        self.read_until_s = 0.0
        self.done, self.refused, self.stale_s = Counter(), Counter(), []
        self.delays_s = []
        self.events = []
        self._order = itertools.count()
        self._admission = admission
        self._views = [Congestion(lambda: self.now_s) for _ in range(followers)]
        for view in self._views:
            view.note_sent(0)
            view.note_answered(0, 0.001)
        period_s = followers / jobs_per_s
        for number in range(followers):
            self._at(number * FOLLOW_S / followers, self._follow, number, 1)
            self._at(number * period_s / followers, self._job, number, 0, period_s)

    def _at(self, at_s, action, *arguments):
        heapq.heappush(self.events, (at_s, next(self._order), action, arguments))

    def run(self, seconds):
        while self.events[0][0] < seconds:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def _read(self, cost_s):
        """Return when the scheduler has read a message that is sent now."""
        self.read_until_s = max(self.read_until_s, self.now_s) + cost_s
        return self.read_until_s

    def _follow(self, number, sequence):
        self._views[number].note_sent(sequence)
        late_s = SLOW_LATE_S if self.read_until_s > self.now_s else 0.001
        self._at(self._read(FOLLOW_COST_S), self._views[number].note_answered, sequence, late_s)
        self._at(self.now_s + FOLLOW_S, self._follow, number, sequence + 1)

    def _job(self, number, count, period_s):
        self._at(self.now_s + period_s, self._job, number, count + 1, period_s)
        steps = URGENT if count % 4 == 0 else USUAL
        if self._admission and not self._views[number].admits(steps):
            self.refused[steps] += 1
            return
        delay_s = self._read(JOB_COST_S) - self.now_s
        if delay_s > STALE_S:
            self.stale_s.append(self.now_s)
        else:
            self.done[steps] += 1
            self.delays_s.append(delay_s)


class OverloadTest(TestCase):
    """Three times the load that the scheduler carries, from 36 processes, for 8 s."""

    CARRIED = 8 * (1 - 36 / FOLLOW_S * FOLLOW_COST_S) / JOB_COST_S

    def play(self, *, jobs_per_s=600, admission=True):
        overload = Overload(followers=36, jobs_per_s=jobs_per_s, admission=admission)
        overload.run(8.0)
        return overload

    def test_without_refusals_hardly_anything_is_done_in_time(self):
        self.assertThat(self.play(admission=False).done.total(), LessThan(0.2 * self.CARRIED))

    def test_what_the_scheduler_carries_is_done_and_the_rest_refused_at_once(self):
        overload = self.play()
        self.assertThat(overload.done.total(), GreaterThan(0.8 * self.CARRIED))
        self.assertThat(max(overload.stale_s), LessThan(1.5))

    def test_the_urgent_fare_better(self):
        overload = self.play()
        shares = {s: overload.done[s] / (overload.done[s] + overload.refused[s]) for s in (0, 1)}
        self.assertThat(shares[URGENT], GreaterThan(2 * shares[USUAL]))

    def test_nothing_is_refused_at_the_load_it_carries(self):
        self.assertThat(self.play(jobs_per_s=170).refused.total(), Equals(0))
