from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._leadership import (
    ClaimKind,
    claim_kind,
    first_to_claim,
    greater_claim,
    next_claim,
    successor_of,
)
from burdocklug.pools._messages import Claim
from tests.scenarios import with_scenarios

FLEET = {"n2": "north", "n3": "north", "s1": "south", "s2": "south", "e1": "east", "e2": "east"}


@with_scenarios
class ClaimKindTest(TestCase):
    """What a process of the north with six others may claim."""

    scenarios = [
        ("all_reached", {"reached": set(FLEET), "cut": set(), "kind": ClaimKind.WHOLE}),
        ("most_reached", {"reached": {"n2", "s1", "s2"}, "cut": set(), "kind": ClaimKind.WHOLE}),
        (
            "own_domain_cut_off",
            {"reached": {"n2", "n3"}, "cut": {"south", "east"}, "kind": ClaimKind.PART},
        ),
        (
            "own_domain_cut_off_and_one_restarts",
            {"reached": {"n2"}, "cut": {"south", "east"}, "kind": ClaimKind.PART},
        ),
        (
            "alone_but_sees_all_endpoints",
            {"reached": set(), "cut": set(), "kind": ClaimKind.NOTHING},
        ),
        (
            "alone_in_its_domain_and_sees_only_that",
            {"reached": set(), "cut": {"south", "east"}, "kind": ClaimKind.NOTHING},
        ),
        (
            "half_of_a_split_across_domains",
            {"reached": {"n2", "s1"}, "cut": set(), "kind": ClaimKind.NOTHING},
        ),
    ]

    def test_kind(self):
        self.assertThat(
            claim_kind("north", FLEET, self.reached, cut_domains=self.cut), Equals(self.kind)
        )


class ClaimTest(TestCase):
    def test_a_whole_claim_goes_before_every_part(self):
        whole, part = Claim(True, 1, "a"), Claim(False, 9, "b", ("north",))
        self.assertThat(greater_claim(whole, part), Equals(whole))

    def test_a_new_claim_is_greater_than_the_one_known(self):
        known = Claim(True, 4, "z")
        self.assertTrue(next_claim(ClaimKind.WHOLE, "a", known, ["north"]) > known)

    def test_a_part_serves_what_is_reached_only(self):
        claim = next_claim(ClaimKind.PART, "a", None, {"north", "east"})
        self.assertThat([claim.serves(d) for d in ("north", "south")], Equals([True, False]))

    def test_one_process_of_those_that_reach_each_other_goes_first(self):
        fleet = [f"10.0.0.{n}:7000~{n:016x}0123abcd" for n in (5, 3, 8)]
        self.assertThat(first_to_claim(dict.fromkeys(fleet, 1.0)), Equals(fleet[1]))

    def test_small_hosts_leave_scheduling_to_strong_ones(self):
        """Hosts of 0.5 and of 2.1 cores, as on a grown installation."""
        fleet = [f"10.0.0.{n}:7000~{n:016x}0123abcd" for n in (1, 2, 3, 4)]
        powers = dict(zip(fleet, (0.516, 2.151, 2.151, 0.516), strict=True))
        self.assertThat(first_to_claim(powers), Equals(fleet[1]))
        self.assertThat(successor_of(powers), Equals(fleet[2]))

    def test_where_all_hosts_are_choked_the_oldest_goes_first(self):
        fleet = [f"10.0.0.{n}:7000~{n:016x}0123abcd" for n in (1, 2, 3)]
        self.assertThat(first_to_claim(dict.fromkeys(fleet, 0.0)), Equals(fleet[0]))
