"""Orders of losses, cuts and freezes among few schedulers and endpoints, in virtual time."""

import itertools
import random

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.kernel import Ran
from burdocklug.pools._models import JobOutcome
from tests.pools.builders import spec, step
from tests.pools.test_partitions import QUEUE
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time
from tests.scenarios import with_scenarios

DOMAINS = ("north", "south", "east")
CALL_PERIOD_S = 0.07
WAIT_S = 3.0
HEALED_S = 8.0  # by then one claim is followed, and the callers are answered
# Changes of an endpoint's holder, at the beginning of a fault and again at its end: to a probe or a
# new scheduler, back to the one before, and to the one that stays.
TAKEOVERS_PER_FAULT = 6
KINDS = (
    "split",  # half of the processes from the other half; all reach the endpoints
    "alone",  # the scheduler from the other processes; it reaches the endpoints
    "alone out",  # the same, its messages only
    "alone in",  # the same, messages to it only
    "other_alone",  # another process from the others; it reaches the endpoints
    "domain",
    "domain out",
    "endpoints",  # the scheduler from half of the endpoints
    "freeze",
    "kill",
    "power",
    "store",
    "slow_store",
)


class Faults:
    """Carries out faults that end by themselves."""

    def __init__(self, deployment, rng):
        self._deployment = deployment
        self._rng = rng
        self._count = 0

    def _alive(self):
        return [name for name, p in self._deployment.processes.items() if p.is_alive]

    def _leader(self):
        leaders = [n for n in self._alive() if self._process(n).pool.election.is_scheduler]
        return leaders[0] if leaders else self._alive()[0]

    def _process(self, name):
        return self._deployment.processes[name]

    def _cut(self, senders, receivers, *, for_s, how="both"):
        self._count += 1
        links, key = self._deployment.links, ("fault", self._count)
        if how in ("both", "out"):
            links.cut((key, "out"), senders, receivers)
            eventlet.spawn_after(for_s, links.heal, (key, "out"))
        if how in ("both", "in"):
            links.cut((key, "in"), receivers, senders)
            eventlet.spawn_after(for_s, links.heal, (key, "in"))

    def carry_out(self, kind, for_s):
        """Carry out one fault for a time."""
        what, _, how = kind.partition(" ")
        if what in ("kill", "power"):
            self._end_half(silently=what == "power")
        elif what == "freeze":
            self._freeze(self._leader(), for_s)
        elif what == "domain":
            domain = self._process(self._leader()).failure_domain
            self._deployment.cut_off(domain, how=how or "both", for_s=for_s)
        elif what == "slow_store":
            store = self._deployment.store
            store.answer_s = 0.36
            eventlet.spawn_after(for_s, setattr, store, "answer_s", 0.004)
        else:
            self._cut(*self._sides(what), for_s=for_s, how=how or "both")

    def _sides(self, kind):
        """Return which processes, endpoints or store do not reach which others."""
        alive, leader = self._alive(), self._leader()
        if kind == "split":
            return set(alive[::2]), set(alive[1::2])
        if kind == "alone":
            return {leader}, set(alive) - {leader}
        if kind == "other_alone":
            one = self._rng.choice([n for n in alive if n != leader] or alive)
            return {one}, set(alive) - {one}
        if kind == "endpoints":
            return {leader}, set(sorted(self._deployment.endpoints)[::2])
        return {"store"}, set(self._deployment.domains)

    def _end_half(self, *, silently):
        alive, leader = self._alive(), self._leader()
        others = [name for name in alive if name != leader]
        end = self._deployment.lose_power if silently else self._deployment.kill
        if others:
            for name in [leader, *others[1 : len(alive) // 2]]:
                end(name)

    def _freeze(self, name, for_s):
        """Freeze a process: nothing passes, and it finds after it wakes that it was paused."""
        pauses = self._process(name).pool._pauses
        self._cut({name}, set(self._deployment.domains) - {name} | {"store"}, for_s=for_s)
        eventlet.spawn_after(for_s, lambda: setattr(pauses, "_checked_s", now_s() - for_s))


def play(faults, *, processes, endpoints, seed):
    """Play faults, given as rows of time, kind and duration, while jobs arrive.

    Returns
    -------
    tuple
        Double runs, jobs that got no answer or a false one, the schedulers followed in the end,
        and the largest number of takeovers of an endpoint.
    """
    rng = random.Random(seed)

    def scenario():
        names = {f"p{n}": DOMAINS[n % 3] for n in range(processes)}
        workers = {f"w{n}": DOMAINS[n % 3] for n in range(endpoints)}
        deployment = VirtualDeployment(names, workers, run_s=0.4).start(for_s=2.0)
        carrier, began_s = Faults(deployment, rng), now_s()
        for at_s, kind, for_s in faults:
            eventlet.spawn_after(at_s, carrier.carry_out, kind, for_s)
        until_s = began_s + max(at_s + for_s for at_s, _kind, for_s in faults) + 1.0
        calls, number = [], 0
        while now_s() < until_s:
            alive = [name for name, p in deployment.processes.items() if p.is_alive]
            name = rng.choice(alive)
            job = spec(f"j{number}", step(2, cpu=1000, estimate_s=0.4), rule=QUEUE)
            calls.append((name, job.job_id, deployment.submit(name, job, wait_s=WAIT_S)))
            number += 1
            eventlet.sleep(CALL_PERIOD_S)
        eventlet.sleep(HEALED_S)
        started = {row[0].partition(".")[0] for row in deployment.history}
        untrue = [
            job
            for name, job, got in calls
            if deployment.processes[name].is_alive
            and (len(got) != 1 or (job in started and getattr(got[0], "ran", None) is Ran.NO))
        ]
        claims = [p.pool.election.claim for p in deployment.processes.values() if p.is_alive]
        followed = {claim and claim.scheduler for claim in claims}
        taken = max(len(holders) for holders in deployment.holders.values())
        return deployment.overlaps(), untrue, len(followed) == 1 and None not in followed, taken

    return run_in_virtual_time(scenario, seed=seed)


def seeded_faults(seed):
    """Return faults, processes and endpoints that follow from a seed."""
    rng = random.Random(seed)
    faults = [
        (rng.uniform(0.0, 6.0), rng.choice(KINDS), rng.uniform(0.1, 6.0))
        for _ in range(rng.randint(1, 4))
    ]
    return {"faults": faults, "processes": rng.randint(2, 4), "endpoints": rng.randint(3, 6)}


class AuthorityTest(TestCase):
    def check(self, *, faults, **options):
        overlaps, untrue, is_one_followed, taken = play(faults, **options)
        self.assertThat(overlaps, Equals([]))
        self.assertThat(untrue, Equals([]))
        self.assertTrue(is_one_followed)
        self.assertThat(taken, LessThan(2 + TAKEOVERS_PER_FAULT * len(faults)))


@with_scenarios
class EachFaultTest(AuthorityTest):
    """Each fault for several times, among 2 to 4 processes and as many endpoints or more."""

    scenarios = [
        (
            f"{kind} for {for_s} s, {processes} processes",
            {"kind": kind, "for_s": for_s, "processes": processes},
        )
        for kind in KINDS
        for processes, for_s in ((2, 1.3), (3, 0.4), (3, 2.2), (4, 0.9), (4, 5.0))
    ]

    def test_one_run_at_a_time_one_holder_and_an_answer_for_each_caller(self):
        self.check(
            faults=[(1.03, self.kind, self.for_s)],
            processes=self.processes,
            endpoints=self.processes + 2,
            seed=1,
        )


@with_scenarios
class PairsOfFaultsTest(AuthorityTest):
    """Every order of two faults of those that take a scheduler away or hide it."""

    scenarios = [
        (f"{first}, then {second}", {"first": first, "second": second})
        for first, second in itertools.product(
            ("split", "alone", "alone in", "domain", "freeze", "power"), repeat=2
        )
    ]

    def test_one_run_at_a_time_one_holder_and_an_answer_for_each_caller(self):
        self.check(
            faults=[(1.03, self.first, 2.5), (2.4, self.second, 2.5)],
            processes=4,
            endpoints=5,
            seed=1,
        )


@with_scenarios
class SeededFaultsTest(AuthorityTest):
    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(40)]

    def test_one_run_at_a_time_one_holder_and_an_answer_for_each_caller(self):
        self.check(**seeded_faults(self.seed), seed=self.seed)


@with_scenarios
class CutOffProcessesTest(TestCase):
    """Processes that the others do not reach see the same endpoints as the live scheduler."""

    scenarios = [(f"{count} of 6", {"count": count}) for count in (1, 2)]

    def test_the_scheduler_keeps_its_role_and_its_runs(self):
        def scenario():
            names = {f"p{n}": DOMAINS[n % 3] for n in range(6)}
            workers = {f"w{n}": DOMAINS[n % 3] for n in range(12)}
            deployment = VirtualDeployment(names, workers, run_s=0.4).start()
            leader = deployment.scheduler()
            cut_off = {n for n in names if n != leader.name}
            cut_off = set(sorted(cut_off)[-self.count :])
            deployment.links.cut("out", cut_off, set(names) - cut_off)
            deployment.links.cut("in", set(names) - cut_off, cut_off)
            others, answers = sorted(set(names) - cut_off), []
            for number in range(160):
                job = spec(f"j{number}", step(2, cpu=1000, estimate_s=0.4), rule=QUEUE)
                name = others[number % len(others)]
                answers.append(deployment.submit(name, job, wait_s=WAIT_S))
                eventlet.sleep(0.05)
                leaders = [p for p in deployment.processes.values() if p.pool.election.is_scheduler]
                self.assertThat([p.name for p in leaders], Equals([leader.name]))
            eventlet.sleep(WAIT_S)
            scheduler = leader.pool.leader.scheduler
            completed = sum(got == [JobOutcome.COMPLETED] for got in answers)
            changes = max(len(holders) for holders in deployment.holders.values())
            return completed, scheduler.counts["ends_lapsed"], changes

        completed, lapsed, changes = run_in_virtual_time(scenario)
        self.assertThat((completed, lapsed), Equals((160, 0)))
        self.assertThat(changes, LessThan(6))  # one probe in 4 s, and the return after each
