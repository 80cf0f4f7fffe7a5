"""A failure domain cut off from peers, store or both for 5 minutes or an hour, in virtual time."""

from testtools import TestCase
from testtools.matchers import Equals

from tests.scenarios import with_scenarios
from tests.tickets import test_faults
from tests.tickets.test_faults import ticket

CUTS = {
    "from the platform": (False, True),
    "from the others": (True, False),
    "from both": (True, True),
}


@with_scenarios
class LongCutTest(TestCase):
    scenarios = [
        (f"{name}, {seconds} s", {"peers": peers, "store": store, "seconds": seconds})
        for name, (peers, store) in CUTS.items()
        for seconds in (300, 3600)
    ]

    fleet = test_faults.FaultTest.fleet
    accept = test_faults.FaultTest.accept
    assert_in_force = test_faults.FaultTest.assert_in_force
    assert_numbers = test_faults.FaultTest.assert_numbers

    def test_nothing_reverts_and_every_ticket_is_in_force_in_time(self):
        fleet = self.fleet(1)
        isolated = fleet.in_domain("perg")
        others = [p for p in fleet.processes if p not in isolated]
        self.accept(fleet, isolated[0], ticket(1, "a", "b"))
        if self.peers:
            fleet.partition("perg")
        if self.store:
            fleet.store.unreachable_from = {p.name for p in isolated}
        fleet.sim.run(self.seconds / 3)
        self.accept(fleet, others[0], ticket(2, "b", "c"))
        fleet.sim.run(self.seconds / 3)
        self.accept(fleet, others[1], ticket(3, "c"))
        fleet.sim.run(self.seconds / 3)
        was_reached = not (self.peers and self.store)
        for process in isolated:
            expected = {"team/a": 1, "team/b": 2, "team/c": 3}
            before = {"team/a": 1, "team/b": 1}
            self.assertThat(process.numbers(), Equals(expected if was_reached else before))
        fleet.heal()
        fleet.store.unreachable_from = set()
        healed_s = fleet.sim.now_s
        self.assert_in_force(fleet, 1, since_s=healed_s)
        self.assert_in_force(fleet, 2, 3, since_s=healed_s)
        self.assert_numbers(fleet, a=1, b=2, c=3)
