import random

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.pools.election import _following, _search
from burdocklug.pools.election._leadership import first_candidate
from burdocklug.pools.election._search import (
    MAX_ASKED,
    is_possible_candidate,
    search_period_s,
    search_sample,
)
from tests.pools.virtual_fleet import VirtualFleet


def incarnation(number):
    return f"10.0.0.{number}:7000~{number:016x}0123abcd"


MEMBERS = [incarnation(number) for number in range(1, 300)]


class SampleTest(TestCase):
    def test_a_small_pool_asks_all(self):
        self.assertThat(search_sample(MEMBERS[0], MEMBERS[1:9]), Equals(MEMBERS[1:9]))

    def test_a_large_pool_asks_as_many_whatever_its_size(self):
        sizes = {len(search_sample(MEMBERS[0], MEMBERS[1:n])) for n in (MAX_ASKED + 3, 200, 298)}
        self.assertThat(sizes, Equals({40}))

    def test_the_first_candidate_is_a_possible_one_in_every_sample(self):
        rng = random.Random(1)
        for _ in range(50):
            cores = {member: rng.choice((0.5, 0.5, 0.5, 2.1)) for member in MEMBERS}
            for rank in range(6):
                first = first_candidate(cores, rank)
                asked = [m for m in search_sample(first, MEMBERS, rng=rng) if m != first]
                seen = {m: cores[m] for m in [first, *asked]}
                self.assertTrue(is_possible_candidate(first, seen, rank))

    def test_few_processes_of_a_large_pool_take_themselves_for_candidates(self):
        rng = random.Random(2)
        cores = {member: rng.choice((0.5, 0.5, 0.5, 0.5, 2.1)) for member in MEMBERS}
        possible = 0
        for member in MEMBERS:
            asked = [m for m in search_sample(member, MEMBERS, rng=rng) if m != member]
            seen = {m: cores[m] for m in [member, *asked]}
            possible += is_possible_candidate(member, seen, 0)
        self.assertThat(possible, LessThan(5))

    def test_requests_a_second_do_not_grow_with_the_square_of_the_processes(self):
        def requests_per_s(count):
            members = MEMBERS[:count]
            periods = [search_period_s(m, members, least_s=0.1) for m in members]
            return sum(40 / period for period in periods)

        self.assertThat(requests_per_s(298), LessThan(2 * requests_per_s(120)))


class LargeFleetTest(TestCase):
    def setUp(self):
        super().setUp()
        for module in (_search, _following):
            self.patch(module, "MAX_ASKED", 6)
        self.patch(_search, "OLDEST_ASKED", 3)
        self.patch(_search, "OTHERS_ASKED", 2)

    def test_it_elects_one_scheduler_and_another_after_a_loss(self):
        fleet = VirtualFleet(["north", "south", "west"] * 4)
        fleet.run(2.0)
        self.assertThat(fleet.schedulers(), Equals([0]))
        self.assertThat(set(fleet.followed()), Equals({0}))
        fleet[0].ended = True
        fleet.run(3.0)
        self.assertThat(set(fleet.followed()[1:]), Equals({1}))
