from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools.speed import ColdPace

TOLERATED_FACTOR = 1.5  # smallest bounds that operators state: factor on the rate, and starts
TOLERATED_STARTS = 5
STEP_S = 0.01


def start_times(pace, *, seconds, begins_s=100.0):
    """Return when starts happen if there is always work."""
    pace.begin(begins_s)
    times = []
    for number in range(round(seconds / STEP_S)):
        now_s = begins_s + number * STEP_S
        while pace.starts(now_s):
            pace.take(now_s)
            times.append(now_s)
    return times


class ColdPaceTest(TestCase):
    def test_in_any_span_there_are_fewer_starts_than_operators_tolerate(self):
        for rate in (0.5, 2.0, 10.0, 80.0):
            times = start_times(ColdPace(rate_per_s=rate), seconds=8.0)
            self.assertTrue(len(times) >= 0.9 * rate * 8.0, (rate, len(times)))
            for first, since_s in enumerate(times):
                for last in range(first, len(times)):
                    count, span_s = last - first + 1, times[last] - since_s
                    self.assertTrue(count <= rate * span_s + 4, (rate, count, span_s))
                    self.assertTrue(count < TOLERATED_FACTOR * rate * span_s + TOLERATED_STARTS)

    def test_passes_that_are_rare_still_reach_the_rate(self):
        pace = ColdPace(rate_per_s=20.0)
        pace.begin(100.0)
        starts = 0
        for number in range(1, 51):
            now_s = 100.0 + 0.1 * number
            while pace.starts(now_s):
                pace.take(now_s)
                starts += 1
        self.assertTrue(95 <= starts <= 101, starts)

    def test_without_a_configured_rate_starts_ramp_up(self):
        times = start_times(ColdPace(), seconds=4.0)
        seconds = [sum(100.0 + n <= time_s < 101.0 + n for time_s in times) for n in range(4)]
        self.assertTrue(4 <= seconds[0] <= 8, seconds)
        seconds[0] -= 1  # the start that is available at once
        for before, after in zip(seconds, seconds[1:], strict=False):
            self.assertTrue(1.7 * before < after < 2.5 * before, seconds)

    def test_an_idle_cold_endpoint_saves_up_few_starts(self):
        pace = ColdPace(rate_per_s=50.0)
        pace.begin(100.0)
        self.assertThat(pace.starts(160.0), Equals(3))
        self.assertThat(ColdPace(rate_per_s=0.5).starts(160.0), Equals(1))
