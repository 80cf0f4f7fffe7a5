"""Coarse timers: never early, late by less than two ticks, cheap to cancel."""

import random

import testtools
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from burdocklug.endpoints._coarse_timers import TICK_S, CoarseTimers


class CoarseTimersTest(testtools.TestCase):
    """Coarse timers in virtual time."""

    def setUp(self):
        super().setUp()
        self.now_s = 1000.0
        self.scheduled = []
        self.seen = []
        self.timers = CoarseTimers(now=lambda: self.now_s, schedule=self.schedule)

    def schedule(self, seconds, callback):
        self.scheduled.append((self.now_s + seconds, callback))

    def run_for(self, seconds):
        end_s = self.now_s + seconds
        while self.scheduled and self.scheduled[0][0] <= end_s:
            self.now_s, callback = self.scheduled.pop(0)
            callback()
        self.now_s = end_s

    def note(self, name):
        return lambda: self.seen.append((name, self.now_s))

    def test_never_early_and_late_by_two_ticks_at_most(self):
        rng = random.Random(7)
        for _ in range(500):
            due_s = self.now_s + rng.uniform(0.0, 3.0)
            self.timers.after(due_s - self.now_s, self.note(due_s))
            self.run_for(rng.uniform(0.0, 0.01))
        self.run_for(4.0)
        late_s = [called_s - due_s for due_s, called_s in self.seen]
        self.assertThat(late_s, HasLength(500))
        self.assertThat(min(late_s), GreaterThan(-1e-9))
        self.assertThat(max(late_s), LessThan(2 * TICK_S))

    def test_cancelled_timers_neither_call_nor_stay(self):
        timers = [self.timers.after(30.0, self.note(number)) for number in range(1000)]
        for timer in timers + timers:
            timer.cancel()
        self.assertThat(len(self.timers), Equals(0))
        self.run_for(1.0)
        self.assertThat(self.scheduled, HasLength(0))
        self.run_for(40.0)
        self.assertThat(self.seen, HasLength(0))

    def test_one_timer_of_the_loop_for_all(self):
        for number in range(100):
            self.timers.after(1.0, self.note(number))
        self.assertThat(self.scheduled, HasLength(1))

    def test_a_callback_cancels_one_of_the_same_tick(self):
        timers = []
        for _ in range(2):
            timers.append(
                self.timers.after(0.5, lambda: [t.cancel() for t in timers] and self.note(0)())
            )
        self.run_for(1.0)
        self.assertThat(self.seen, HasLength(1))

    def test_a_failing_callback_stops_no_other(self):
        self.timers.after(0.5, lambda: 1 / 0)
        self.timers.after(0.5, self.note("other"))
        self.timers.after(0.6, self.note("later"))
        self.run_for(1.0)
        self.assertThat([name for name, _ in self.seen], Equals(["other", "later"]))

    def test_a_pause_of_the_process_loses_none(self):
        self.timers.after(0.5, self.note("first"))
        self.timers.after(5.0, self.note("second"))
        self.now_s += 60.0
        self.run_for(0.1)
        self.assertThat([name for name, _ in self.seen], Equals(["first", "second"]))

    def test_a_timer_set_by_a_late_tick_is_called(self):
        self.timers.after(0.5, lambda: self.timers.after(0.0, self.note("second")))
        self.now_s += 60.0
        self.run_for(1.0)
        self.assertThat([name for name, _ in self.seen], Equals(["second"]))
