"""Team quotas while two failure domains are partitioned for 5 minutes and 1 hour, simulated."""

import random

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.limits import QuotaHandover, QuotaShares, base_share
from tests.scenarios import with_scenarios

DOMAINS = {"north-1": "north", "north-2": "north", "south-1": "south", "south-2": "south"}
QUOTA = 10
LONGEST_TASK_S = 3.0
STEP_S = 0.05  # period of the limits part's tick
COARSE_STEP_S = 1.0  # step during the long, unchanging part of the partition
CONVERGENCE_S = 9.0  # maximum time until shares have moved to the demand


class SimulatedFleet:
    """Simulation of one team's shares in four processes of two failure domains."""

    def __init__(self):
        self.rng = random.Random(5)
        self.now_s = 0.0
        self.is_partitioned = False
        self.demanding = set(DOMAINS)
        self.running = {name: [] for name in DOMAINS}  # end times of running tasks
        self.max_running = 0
        self.shares = {
            name: QuotaShares(
                process=name,
                fleet=list(DOMAINS),
                started_s=0.0,
                longest_task_s=LONGEST_TASK_S,
                handover=QuotaHandover(),
            )
            for name in DOMAINS
        }
        for shares in self.shares.values():
            shares.set_quota(0.0, "a", QUOTA)

    def reaches(self, one, other):
        return not self.is_partitioned or DOMAINS[one] == DOMAINS[other]

    def deliver(self, sender, outgoing):
        for item in outgoing:
            if self.reaches(sender, item.to):
                answers = self.shares[item.to].receive(self.now_s, sender, item.message)
                self.deliver(item.to, answers)

    def run(self, seconds, step_s=STEP_S):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += step_s
            for name, shares in self.shares.items():
                self.step(name, shares)
            self.max_running = max(self.max_running, sum(map(len, self.running.values())))

    def step(self, name, shares):
        ended = [at for at in self.running[name] if at <= self.now_s]
        for at in ended:
            self.running[name].remove(at)
            shares.note_ended(self.now_s, "a")
        while name in self.demanding and shares.may_start(self.now_s, "a"):
            shares.note_started(self.now_s, "a")
            self.running[name].append(self.now_s + self.rng.uniform(0.5, LONGEST_TASK_S))
        peers = {other: other for other in DOMAINS if other != name and self.reaches(name, other)}
        waiting = {"a": QUOTA} if name in self.demanding else {}
        self.deliver(name, shares.tick(self.now_s, waiting, peers))

    def max_share(self, name, seconds):
        """Return the largest share in the next `seconds`; it varies as loans are renewed."""
        largest, end_s = 0, self.now_s + seconds
        while self.now_s < end_s:
            self.run(STEP_S)
            largest = max(largest, self.shares[name].share(self.now_s, "a"))
        return largest


@with_scenarios
class LongPartitionTest(TestCase):
    scenarios = [("5 min", {"seconds": 300.0}), ("1 h", {"seconds": 3600.0})]

    def test_quota_is_kept_and_shares_recover_after_the_partition(self):
        fleet = SimulatedFleet()
        fleet.demanding = {"north-1"}
        self.assertThat(fleet.max_share("north-1", CONVERGENCE_S), Equals(QUOTA))
        fleet.is_partitioned = True
        fleet.demanding = set(DOMAINS)
        fleet.run(self.seconds, COARSE_STEP_S)
        fleet.demanding = {"south-2"}
        south = sum(base_share("a", QUOTA, n, list(DOMAINS)) for n in DOMAINS if "south" in n)
        self.assertThat(fleet.max_share("south-2", 2 * CONVERGENCE_S), Equals(south))
        fleet.is_partitioned = False
        self.assertThat(fleet.max_share("south-2", CONVERGENCE_S), Equals(QUOTA))
        self.assertThat(fleet.max_running, Equals(QUOTA))
