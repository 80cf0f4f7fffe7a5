"""Team quotas while failure domains are cut off for minutes and for an hour, in virtual time."""

import random

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.limits import QuotaHandover, QuotaShares, base_share
from tests.scenarios import with_scenarios

DOMAINS = {"north-1": "north", "north-2": "north", "south-1": "south", "south-2": "south"}
QUOTA = 10
LONGEST_S = 3.0
STEP_S = 0.05  # of the limits part
COARSE_S = 1.0  # while nothing changes for long
CONVERGED_S = 9.0


class VirtualQuotas:
    """Four processes in two failure domains with one team."""

    def __init__(self):
        self.rng = random.Random(5)
        self.now_s = 0.0
        self.is_cut = False
        self.wanting = set(DOMAINS)
        self.running = {name: [] for name in DOMAINS}  # ends
        self.most = 0
        self.shares = {
            name: QuotaShares(
                process=name,
                fleet=list(DOMAINS),
                started_s=0.0,
                longest_task_s=LONGEST_S,
                handover=QuotaHandover(),
            )
            for name in DOMAINS
        }
        for shares in self.shares.values():
            shares.set_quota(0.0, "a", QUOTA)

    def reaches(self, one, other):
        return not self.is_cut or DOMAINS[one] == DOMAINS[other]

    def carry(self, sender, outgoing):
        for item in outgoing:
            if self.reaches(sender, item.to):
                answers = self.shares[item.to].receive(self.now_s, sender, item.message)
                self.carry(item.to, answers)

    def run(self, seconds, step_s=STEP_S):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += step_s
            for name, shares in self.shares.items():
                self.step(name, shares)
            self.most = max(self.most, sum(map(len, self.running.values())))

    def step(self, name, shares):
        ended = [at for at in self.running[name] if at <= self.now_s]
        for at in ended:
            self.running[name].remove(at)
            shares.ended(self.now_s, "a")
        while name in self.wanting and shares.may_start(self.now_s, "a"):
            shares.started(self.now_s, "a")
            self.running[name].append(self.now_s + self.rng.uniform(0.5, LONGEST_S))
        peers = {other: other for other in DOMAINS if other != name and self.reaches(name, other)}
        waiting = {"a": QUOTA} if name in self.wanting else {}
        self.carry(name, shares.tick(self.now_s, waiting, peers))

    def best_share(self, name, seconds):
        """Return the largest share in a time; loans are renewed, so that it comes and goes."""
        best, end_s = 0, self.now_s + seconds
        while self.now_s < end_s:
            self.run(STEP_S)
            best = max(best, self.shares[name].share(self.now_s, "a"))
        return best


@with_scenarios
class LongCutTest(TestCase):
    scenarios = [("5 min", {"seconds": 300.0}), ("1 h", {"seconds": 3600.0})]

    def test_the_quota_holds_and_is_whole_again_in_time(self):
        fleet = VirtualQuotas()
        fleet.wanting = {"north-1"}
        self.assertThat(fleet.best_share("north-1", CONVERGED_S), Equals(QUOTA))
        fleet.is_cut = True
        fleet.wanting = set(DOMAINS)
        fleet.run(self.seconds, COARSE_S)
        fleet.wanting = {"south-2"}
        south = sum(base_share("a", QUOTA, n, list(DOMAINS)) for n in DOMAINS if "south" in n)
        self.assertThat(fleet.best_share("south-2", 2 * CONVERGED_S), Equals(south))
        fleet.is_cut = False
        self.assertThat(fleet.best_share("south-2", CONVERGED_S), Equals(QUOTA))
        self.assertThat(fleet.most, Equals(QUOTA))
