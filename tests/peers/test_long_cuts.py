"""Failure domains cut off from each other for minutes and for an hour, in virtual time."""

from testtools import TestCase
from testtools.matchers import Equals

from tests.peers.virtual import VirtualFleet
from tests.scenarios import with_scenarios

CONVERGED_S = 9.0
LAYOUTS = {
    "two alone": {"north": 1, "south": 1},
    "two regions of three": {"north": 3, "south": 3},
    "7 in 3 failure domains": {"north": 3, "south": 2, "east": 2},
}


def pairs(fleet):
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
        fleet.cut = pairs(fleet)
        fleet.run(self.seconds)
        for (one, other), states in fleet.states().items():
            allowed = {"alive"} if one == other else {"suspect", "unknown"}
            self.assertThat(set(states) - allowed, Equals(set()), f"{one} of {other}")
        fleet.cut = set()
        fleet.run(CONVERGED_S)
        seen = {state for states in fleet.states().values() for state in states}
        self.assertThat(seen, Equals({"alive"}))
        told = {p.service.declared_dead_by for p in fleet.processes.values()}
        self.assertThat(told, Equals({None}))
