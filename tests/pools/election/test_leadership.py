from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._messages import Claim
from burdocklug.pools.election._leadership import (
    ClaimKind,
    allowed_claim_kind,
    choose_successor,
    first_candidate,
    greater_claim,
    next_claim,
)
from tests.scenarios import with_scenarios

FLEET = {"n2": "north", "n3": "north", "s1": "south", "s2": "south", "e1": "east", "e2": "east"}


@with_scenarios
class ClaimKindTest(TestCase):
    """Kinds of claim allowed to a process in the domain north of a fleet of seven."""

    scenarios = [
        ("all_reached", {"reached": set(FLEET), "cut": set(), "kind": ClaimKind.FULL}),
        ("most_reached", {"reached": {"n2", "s1", "s2"}, "cut": set(), "kind": ClaimKind.FULL}),
        (
            "own_domain_cut_off",
            {"reached": {"n2", "n3"}, "cut": {"south", "east"}, "kind": ClaimKind.PARTIAL},
        ),
        (
            "own_domain_cut_off_and_one_restarts",
            {"reached": {"n2"}, "cut": {"south", "east"}, "kind": ClaimKind.PARTIAL},
        ),
        (
            "alone_but_sees_all_endpoints",
            {"reached": set(), "cut": set(), "kind": ClaimKind.NONE},
        ),
        (
            "alone_in_its_domain_and_sees_only_that",
            {"reached": set(), "cut": {"south", "east"}, "kind": ClaimKind.NONE},
        ),
        (
            "half_of_a_split_across_domains",
            {"reached": {"n2", "s1"}, "cut": set(), "kind": ClaimKind.NONE},
        ),
    ]

    def test_allowed_kind(self):
        self.assertThat(
            allowed_claim_kind("north", FLEET, self.reached, unreachable_domains=self.cut),
            Equals(self.kind),
        )


class ClaimTest(TestCase):
    def test_full_claim_takes_precedence_over_every_partial_one(self):
        full, partial = Claim(True, 1, "a"), Claim(False, 9, "b", ("north",))
        self.assertThat(greater_claim(full, partial), Equals(full))

    def test_new_claim_is_greater_than_the_known_one(self):
        known = Claim(True, 4, "z")
        self.assertTrue(next_claim(ClaimKind.FULL, "a", known, ["north"]) > known)

    def test_partial_claim_covers_reached_domains_only(self):
        claim = next_claim(ClaimKind.PARTIAL, "a", None, {"north", "east"})
        self.assertThat([claim.serves(d) for d in ("north", "south")], Equals([True, False]))

    def test_oldest_process_is_the_first_candidate(self):
        fleet = [f"10.0.0.{n}:7000~{n:016x}0123abcd" for n in (5, 3, 8)]
        self.assertThat(first_candidate(dict.fromkeys(fleet, 1.0)), Equals(fleet[1]))

    def test_small_hosts_are_not_candidates_beside_larger_ones(self):
        """Hosts of 0.5 and 2.1 cores, as in an installation that was extended over time."""
        fleet = [f"10.0.0.{n}:7000~{n:016x}0123abcd" for n in (1, 2, 3, 4)]
        cores = dict(zip(fleet, (0.516, 2.151, 2.151, 0.516), strict=True))
        self.assertThat(first_candidate(cores), Equals(fleet[1]))
        self.assertThat(choose_successor(cores), Equals(fleet[2]))

    def test_oldest_process_is_the_first_candidate_when_all_hosts_are_overloaded(self):
        fleet = [f"10.0.0.{n}:7000~{n:016x}0123abcd" for n in (1, 2, 3)]
        self.assertThat(first_candidate(dict.fromkeys(fleet, 0.0)), Equals(fleet[0]))
