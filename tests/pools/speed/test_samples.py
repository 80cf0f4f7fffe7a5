"""Speeds of endpoints that are found from runs with errors of estimates and a tail."""

import random
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools.speed import EndpointSpeed, QueueTimes, RunSamples
from tests.pools.speed.drawn_runs import SPEEDS, draw_normal_ratio, draw_ratio
from tests.scenarios import with_scenarios

ENDPOINTS = 60
RUNS = 120  # on each endpoint
MAX_FALSE_ALARMS = 0.01
ESTIMATE_S = 0.2


@dataclass
class Endpoint:
    """What samples need of an endpoint; `true` is its real slowness."""

    true: float
    slowness: float = 1.0
    speed: EndpointSpeed = field(default_factory=EndpointSpeed)
    runs: dict = field(default_factory=dict)
    entry: object = field(default_factory=lambda: SimpleNamespace(endpoint_id="e1"))


class Pool:
    def __init__(self, seed, draw):
        self.rng, self.draw = random.Random(seed), draw
        self.samples = RunSamples(Counter())
        self.times = self.samples.queue("plans")
        self.endpoints = [Endpoint(SPEEDS[n % len(SPEEDS)]) for n in range(ENDPOINTS)]

    def run(self, endpoint, *, factor=1.0):
        run_s = ESTIMATE_S * endpoint.true * factor * self.draw(self.rng)
        self.samples.add(endpoint, self.times, run_s, ESTIMATE_S)

    def run_all(self, runs):
        """Run tasks on all endpoints; return the share of looks that found one slow."""
        slow = 0
        for _ in range(runs):
            for endpoint in self.endpoints:
                self.run(endpoint)
            self.samples.update_median(self.endpoints)
            slow += sum(self.samples.is_slow(endpoint) for endpoint in self.endpoints)
        return slow / (runs * len(self.endpoints))

    def runs_until_slow(self, endpoint, *, factor):
        for number in range(1, 20):
            self.run(endpoint, factor=factor)
            if self.samples.is_slow(endpoint):
                return number
        return 20


@with_scenarios
class DrawnRunsTest(TestCase):
    scenarios = [
        (f"{name}_{seed}", {"draw": draw, "seed": seed, "max_wrong": max_wrong})
        for name, draw, max_wrong in (
            ("bounded", draw_ratio, 0.01),
            ("normal", draw_normal_ratio, 0.06),  # a third of these errors exceed 40 %
        )
        for seed in (1, 2, 3)
    ]

    def test_a_sound_endpoint_is_hardly_ever_judged_slow(self):
        share = Pool(self.seed, self.draw).run_all(RUNS)
        self.assertTrue(share < MAX_FALSE_ALARMS, share)

    def test_endpoints_are_in_the_order_of_their_speed_after_20_runs(self):
        pool = Pool(self.seed, self.draw)
        pool.run_all(20)
        pairs = wrong = 0
        for number, one in enumerate(pool.endpoints):
            for other in pool.endpoints[:number]:
                if one.true != other.true:
                    pairs += 1
                    wrong += (one.true < other.true) != (one.slowness < other.slowness)
        self.assertTrue(wrong < self.max_wrong * pairs, (wrong, pairs))

    def test_the_tail_of_a_queue_is_learnt(self):
        pool = Pool(self.seed, self.draw)
        pool.run_all(20)
        self.assertTrue(0.01 < pool.times.tail_share() < 0.06, pool.times.tail_share())


@with_scenarios
class SlowEndpointTest(TestCase):
    """Endpoints become 5 times slower after many runs at their usual speed, or from the first."""

    scenarios = [
        ("after_many_runs", {"runs": 30}),
        ("on_a_new_endpoint", {"runs": 0}),
    ]

    def test_an_endpoint_5_times_slower_is_found_within_3_of_its_runs(self):
        found = Counter()
        for seed in range(4):
            pool = Pool(seed, draw_ratio)
            pool.run_all(30)
            for endpoint in pool.endpoints:
                if not self.runs:
                    endpoint = Endpoint(endpoint.true)
                found[pool.runs_until_slow(endpoint, factor=5.0)] += 1
        in_time = sum(count for runs, count in found.items() if runs <= 3)
        self.assertTrue(in_time >= 0.95 * sum(found.values()), sorted(found.items()))


class RunSamplesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.counts = Counter()
        self.samples = RunSamples(self.counts)
        self.times = self.samples.queue("plans")
        self.endpoint = Endpoint(1.0)

    def add(self, *ratios):
        for ratio in ratios:
            self.samples.add(self.endpoint, self.times, ratio * ESTIMATE_S, ESTIMATE_S)

    def test_nothing_is_assumed_before_the_first_run(self):
        self.endpoint.speed.forget()
        self.assertThat(
            (self.times.ratio, EndpointSpeed().slowness, self.endpoint.speed.slowness),
            Equals((1.0, 1.0, 1.0)),
        )

    def test_one_run_of_the_tail_is_no_evidence_against_an_endpoint(self):
        for _ in range(20):
            self.add(1.0, 1.2, 0.8)
        self.add(7.0)
        self.assertThat(self.samples.is_slow(self.endpoint), Equals(False))
        self.assertThat(self.counts["runs_slow"], Equals(1))

    def test_the_same_runs_tell_more_where_the_queue_has_no_tail(self):
        slowness = []
        for tail in (7.0, 1.0):
            self.begin()
            for number in range(300):
                self.times.add(tail if number % 10 == 0 else 1.0)
            self.add(1.0, 1.0, 1.0, 7.0, 7.0)
            slowness.append(self.endpoint.slowness)
        self.assertTrue(slowness[0] < 1.5 < 4.0 < slowness[1], slowness)

    def test_a_queue_whose_estimates_are_low_makes_no_endpoint_slow(self):
        endpoints = [Endpoint(1.0) for _ in range(20)]
        for _ in range(60):
            for endpoint in endpoints:
                self.samples.add(endpoint, self.times, 2.0 * ESTIMATE_S, ESTIMATE_S)
            self.samples.update_median(endpoints)
        expected = self.times.ratio * endpoints[0].slowness
        self.assertTrue(1.9 < expected < 2.1, expected)
        self.assertThat(any(self.samples.is_slow(e) for e in endpoints), Equals(False))
        self.assertTrue(self.times.ratio > 1.5, self.times.ratio)

    def test_an_idle_slow_endpoint_gets_work_again_within_seconds(self):
        others = [Endpoint(1.0) for _ in range(3)]
        self.add(5.0, 5.0, 5.0)
        self.assertThat(self.samples.is_slow(self.endpoint), Equals(True))
        seconds = 0
        while self.samples.is_slow(self.endpoint):
            self.samples.update_median([self.endpoint, *others])
            seconds += 1
        self.assertTrue(3 <= seconds <= 8, seconds)
        self.add(5.0)
        self.assertThat(self.samples.is_slow(self.endpoint), Equals(True))

    def test_samples_out_of_all_ranges_are_taken(self):
        self.add(1e-9, 1e9, 0.0, 1e300)
        self.samples.add(self.endpoint, self.times, 1.0, 0.0)  # no estimate
        self.assertTrue(0.2 < self.endpoint.slowness < 20.0)
        held = len(self.endpoint.speed.held)  # the last run may be of the queue's tail
        self.assertThat(self.samples.dump()["plans"]["runs"] + held, Equals(4))

    def test_endpoints_whose_runs_all_end_at_once_are_alike(self):
        endpoints = [Endpoint(1.0) for _ in range(10)]
        for ratio in (0.001, 0.02, 0.07):
            for number in range(200):
                self.samples.add(endpoints[number % 10], self.times, ratio * ESTIMATE_S, ESTIMATE_S)
            values = [endpoint.slowness for endpoint in endpoints]
            self.assertTrue(max(values) < 1.5 * min(values), values)
            self.assertThat(self.samples.is_slow(endpoints[0]), Equals(False))

    def test_weights_stay_finite_over_many_runs(self):
        for _ in range(30_000):
            self.times.add(1.3)
        self.assertTrue(1.25 < self.times.ratio < 1.4, self.times.ratio)


class QueueTimesTest(TestCase):
    def test_quantiles_are_those_of_the_runs(self):
        times, rng = QueueTimes(), random.Random(1)
        for _ in range(2000):
            times.add(rng.uniform(1.0, 3.0))
        for share, ratio in ((0.1, 1.2), (0.5, 2.0), (0.9, 2.8)):
            self.assertTrue(0.88 < times.quantile(share) / ratio < 1.12, times.quantile(share))
