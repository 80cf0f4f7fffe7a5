"""Endpoint health under simulated faults in virtual time, and how many tasks each may fail."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.endpoints import EndpointHealth, HealthState, Outcome, OutcomeKind

SEEDS = (1, 2, 3)
SLOTS = 8
RUN_S = 0.125
DURATION_S = 20.0
LONG_DURATION_S = 60.0
SILENCE_S = 1.0
ADDRESSES = {f"10.0.{d}.{i}:1": f"domain-{d}" for d in range(3) for i in range(8)}
FIRST = next(iter(ADDRESSES))


def domain_of(number):
    return [a for a, d in ADDRESSES.items() if d == f"domain-{number}"]


@dataclass
class Run:
    """What one simulated run recorded."""

    health: EndpointHealth
    sent: Counter = field(default_factory=Counter)
    unsuccessful: list = field(default_factory=list)  # (end time, address) of unsuccessful attempts
    dropped: int = 0  # arrivals without an endpoint to send them to
    max_ejected: Counter = field(default_factory=Counter)

    def worst_second(self):
        """Return the largest number of unsuccessful attempts within one second."""
        times = sorted(t for t, _ in self.unsuccessful)
        return max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)


def simulate(behave, *, seed, load=0.6, addresses=ADDRESSES, duration_s=DURATION_S, job_tasks=None):
    """Send Poisson arrivals to `addresses`.

    `behave(address, now_s, rng)` returns the kind of outcome and the run time in seconds.
    """
    rng = random.Random(seed)
    run = Run(EndpointHealth(addresses, rng=random.Random(seed)))
    busy, ends, now_s, tasks = Counter(), [], 0.0, 0
    rate = load * len(addresses) * SLOTS / RUN_S
    while now_s < duration_s:
        now_s += rng.expovariate(rate)
        while ends and ends[0][0] <= now_s:
            end_s, address, kind, run_s, job = heapq.heappop(ends)
            busy[address] -= 1
            run.health.record_outcome(address, Outcome(kind, run_s, RUN_S, job), end_s)
            if kind is not OutcomeKind.SUCCEEDED:
                run.unsuccessful.append((end_s, address))
            track_ejections(run)
        address = choose(run.health, busy, now_s, rng, addresses)
        if address is None:
            run.dropped += 1
            continue
        busy[address] += 1
        run.sent[address] += 1
        kind, run_s = behave(address, now_s, rng)
        tasks += 1
        job = f"job-{tasks // job_tasks}" if job_tasks else ""
        heapq.heappush(ends, (now_s + run_s, address, kind, run_s, job))
    return run


def track_ejections(run):
    for domain in (None, "domain-0", "domain-1", "domain-2"):
        run.max_ejected[domain] = max(run.max_ejected[domain], run.health.ejected(domain))


def choose(health, busy, now_s, rng, addresses):
    """Return an address due for a probe, else the better of two random ones with a free slot."""
    for address in addresses:
        if busy[address] < SLOTS and health.try_acquire_probe(address, now_s):
            return address
    free = [a for a in addresses if busy[a] < SLOTS and health.usable(a, now_s)]
    if not free:
        return None
    pair = rng.sample(free, min(2, len(free)))
    return max(pair, key=lambda a: health.weight(a, now_s) * (SLOTS - busy[a]))


def normal(rng, factor=1.0):
    return OutcomeKind.SUCCEEDED, factor * RUN_S * rng.uniform(0.5, 1.5)


def faulty(addresses, kind, run_s, *, until_s=LONG_DURATION_S, bad_ratio=0.0):
    """Return a behaviour in which `addresses` end every task as `kind` until `until_s`.

    Tasks of other endpoints fail at the rate `bad_ratio`.
    """

    def behave(address, now_s, rng):
        if address in addresses and now_s < until_s:
            return kind, run_s
        if rng.random() < bad_ratio:
            return OutcomeKind.FAILED, RUN_S
        return normal(rng)

    return behave


class BlackHoleTest(TestCase):
    def test_fails_at_most_its_slots_per_second(self):
        for seed in SEEDS:
            run = simulate(faulty({FIRST}, OutcomeKind.FAILED, 0.001), seed=seed)
            self.assertThat(run.worst_second(), LessThan(SLOTS + 1))
            self.assertThat(len(run.unsuccessful), LessThan(SLOTS + 10))

    def test_fails_no_more_tasks_if_they_belong_to_few_jobs(self):
        for seed in SEEDS:
            for job_tasks in (20, 1700):
                behave = faulty({FIRST}, OutcomeKind.FAILED, 0.001)
                run = simulate(behave, seed=seed, job_tasks=job_tasks)
                self.assertThat(run.worst_second(), LessThan(SLOTS + 1))
                self.assertThat(len(run.unsuccessful), LessThan(SLOTS + 10))

    def test_full_load_attracts_no_more(self):
        for seed in SEEDS:
            run = simulate(faulty({FIRST}, OutcomeKind.FAILED, 0.001), seed=seed, load=1.1)
            self.assertThat(run.worst_second(), LessThan(SLOTS + 1))

    def test_bad_tasks_everywhere_eject_few_and_the_black_hole(self):
        for seed in SEEDS:
            behave = faulty({FIRST}, OutcomeKind.FAILED, 0.001, bad_ratio=0.1)
            run = simulate(behave, seed=seed)
            hole = [t for t, address in run.unsuccessful if address == FIRST]
            self.assertThat(len(hole), LessThan(2 * SLOTS + 10))
            self.assertThat(run.dropped, Equals(0))

    def test_recovers_by_a_single_trial(self):
        for seed in SEEDS:
            run = simulate(faulty({FIRST}, OutcomeKind.FAILED, 0.001, until_s=5.0), seed=seed)
            self.assertThat(run.health.standing(FIRST), Equals(HealthState.ACTIVE))
            self.assertThat(run.sent[FIRST], GreaterThan(100))

    def test_whole_service_fails_is_no_reason_to_eject_beyond_the_bound(self):
        for seed in SEEDS:
            run = simulate(faulty(set(ADDRESSES), OutcomeKind.FAILED, 0.001), seed=seed)
            self.assertThat(run.max_ejected[None], LessThan(9))
            self.assertThat(run.max_ejected["domain-0"], LessThan(5))


class SharedBlackHoleTest(TestCase):
    """Seven processes, each with its own health state, share the slots of a failing endpoint."""

    def test_first_second_costs_the_slots_and_later_ones_a_trial_per_process(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            views = [EndpointHealth(ADDRESSES, rng=random.Random(seed + n)) for n in range(7)]
            unsuccessful = Counter()
            in_flight = [(0.001, rng.choice(views)) for _ in range(SLOTS)]
            for end_s, view in in_flight:
                view.record_outcome(FIRST, Outcome(OutcomeKind.FAILED), end_s)
                unsuccessful[0] += 1
            for tick in range(2, 60_000):
                now_s = tick * 0.001
                for view in views:
                    if view.try_acquire_probe(FIRST, now_s):
                        view.record_outcome(FIRST, Outcome(OutcomeKind.FAILED), now_s + 0.001)
                        unsuccessful[int(now_s)] += 1
            self.assertThat(unsuccessful[0], Equals(SLOTS))
            self.assertThat(max(unsuccessful[second] for second in range(1, 60)), LessThan(SLOTS))
            self.assertThat(sum(unsuccessful.values()), LessThan(SLOTS + 7 * 7))


class SlowTest(TestCase):
    def test_ten_times_slow_gets_a_tenth(self):
        def behave(address, _now_s, rng):
            return normal(rng, 10.0 if address == FIRST else 1.0)

        for seed in SEEDS:
            run = simulate(behave, seed=seed)
            self.assertThat(run.health.weight(FIRST, DURATION_S), LessThan(0.2))
            fair = sum(run.sent.values()) / len(ADDRESSES)
            self.assertThat(run.sent[FIRST] / fair, LessThan(0.15))
            self.assertThat(run.sent[FIRST], GreaterThan(0))

    def test_wrong_expected_run_times_for_all_reduce_no_weight(self):
        run = simulate(lambda _a, _t, rng: normal(rng, 5.0), seed=1, load=0.1)
        weights = [run.health.weight(address, DURATION_S) for address in ADDRESSES]
        self.assertThat(min(weights), GreaterThan(0.6))


class UnreachableTest(TestCase):
    def test_one_that_never_answers_costs_its_slots_once(self):
        for seed in SEEDS:
            run = simulate(faulty({FIRST}, OutcomeKind.SILENT, SILENCE_S), seed=seed)
            self.assertThat(run.worst_second(), LessThan(SLOTS + 1))
            self.assertThat(len(run.unsuccessful), LessThan(SLOTS + 10))

    def test_half_a_rack_dead(self):
        dead = set(domain_of(0)[:4])
        for seed in SEEDS:
            run = simulate(faulty(dead, OutcomeKind.SILENT, SILENCE_S), seed=seed)
            self.assertThat(run.max_ejected[None], Equals(4))
            self.assertThat(len(run.unsuccessful), LessThan(4 * (SLOTS + 10)))
            self.assertThat(run.dropped, Equals(0))

    def test_a_dead_domain_is_ejected_whole(self):
        dead = set(domain_of(0))
        for seed in SEEDS:
            run = simulate(faulty(dead, OutcomeKind.REFUSED, 0.001), seed=seed, load=0.5)
            self.assertThat(run.max_ejected["domain-0"], Equals(8))
            self.assertThat(run.max_ejected["domain-1"], Equals(0))
            self.assertThat(len(run.unsuccessful), LessThan(8 * 10))

    def test_two_of_three_domains_cut_off_then_back(self):
        dead = set(domain_of(0)) | set(domain_of(1))
        for seed in SEEDS:
            behave = faulty(dead, OutcomeKind.SILENT, SILENCE_S, until_s=20.0)
            run = simulate(behave, seed=seed, load=0.3, duration_s=LONG_DURATION_S)
            self.assertThat(run.max_ejected[None], Equals(12))
            lost = Counter(int(t) for t, _ in run.unsuccessful)
            self.assertThat(max(lost[s] for s in range(5, 19)), LessThan(16 + 1))
            standings = {run.health.standing(address) for address in ADDRESSES}
            self.assertThat(standings, Equals({HealthState.ACTIVE}))


class FlappingTest(TestCase):
    def test_intervals_grow_while_it_flaps(self):
        def behave(address, now_s, rng):
            if address == FIRST and int(now_s / 2.0) % 2:
                return OutcomeKind.FAILED, 0.001
            return normal(rng)

        for seed in SEEDS:
            run = simulate(behave, seed=seed, duration_s=LONG_DURATION_S, load=0.3)
            self.assertThat(run.worst_second(), LessThan(SLOTS + 1))
            self.assertThat(run.health.counts["ejected"], LessThan(LONG_DURATION_S / 2.0))

    def test_half_failing_endpoint_is_ejected_by_its_ratio(self):
        def behave(address, _now_s, rng):
            if address == FIRST and rng.random() < 0.5:
                return OutcomeKind.FAILED, RUN_S
            return normal(rng)

        for seed in SEEDS:
            run = simulate(behave, seed=seed)
            fair = sum(run.sent.values()) / len(ADDRESSES)
            self.assertThat(run.sent[FIRST] / fair, LessThan(0.2))


class MembershipTest(TestCase):
    def test_removed_endpoint_is_forgotten_and_unknown_one_unusable(self):
        health = EndpointHealth(ADDRESSES)
        health.set_endpoints({a: d for a, d in ADDRESSES.items() if a != FIRST})
        health.record_outcome(FIRST, Outcome(OutcomeKind.FAILED), 0.0)
        self.assertThat(health.usable(FIRST, 0.0), Equals(False))
        self.assertThat(health.weight(FIRST, 0.0), Equals(0.0))

    def test_only_endpoint_is_never_ejected_but_paced_when_unreachable(self):
        health = EndpointHealth({FIRST: "domain-0"})
        health.record_outcome(FIRST, Outcome(OutcomeKind.FAILED), 0.0)
        self.assertThat(health.usable(FIRST, 0.0), Equals(True))
        health.record_outcome(FIRST, Outcome(OutcomeKind.REFUSED), 0.0)
        self.assertThat(health.standing(FIRST), Equals(HealthState.PACED))
        self.assertThat(health.try_acquire_probe(FIRST, 1.3), Equals(True))
