"""Partitions between all failure domains for 5 minutes and for an hour, in virtual time.

Guards against members that are declared dead for being unreachable, and against processes that
don't find each other again within `CONVERGENCE_LIMIT_S` after the partition.
"""

from testtools import TestCase
from testtools.matchers import Equals

from tests.peers.virtual import VirtualFleet
from tests.scenarios import with_scenarios

CONVERGENCE_LIMIT_S = 9.0
LAYOUTS = {
    "two alone": {"north": 1, "south": 1},
    "two regions of three": {"north": 3, "south": 3},
    "7 in 3 failure domains": {"north": 3, "south": 2, "east": 2},
}


def domain_pairs(fleet):
    domains = sorted({p.domain for p in fleet.processes.values()})
    return {frozenset((a, b)) for a in domains for b in domains if a != b}


@with_scenarios
class LongCutTest(TestCase):
    scenarios = [
        (f"{name}, {seconds} s", {"layout": layout, "seconds": seconds})
        for name, layout in LAYOUTS.items()
        for seconds in (300, 3600)
    ]

    def test_nobody_is_called_dead_and_all_are_back_in_time(self):
        fleet = VirtualFleet(self.layout)
        fleet.run(10)
        fleet.cut_pairs = domain_pairs(fleet)
        fleet.run(self.seconds)
        for (one, other), states in fleet.states().items():
            allowed = {"alive"} if one == other else {"suspect", "unknown"}
            self.assertThat(set(states) - allowed, Equals(set()), f"{one} of {other}")
        fleet.cut_pairs = set()
        fleet.run(CONVERGENCE_LIMIT_S)
        found = {state for states in fleet.states().values() for state in states}
        self.assertThat(found, Equals({"alive"}))
        declared_dead_by = {p.service.declared_dead_by for p in fleet.processes.values()}
        self.assertThat(declared_dead_by, Equals({None}))
