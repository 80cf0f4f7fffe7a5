from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._messages import Follow, ReachQuestion
from tests.pools.virtual_fleet import VirtualFleet

SEVEN = ("north", "north", "north", "south", "south", "east", "east")


class FollowingTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = VirtualFleet(SEVEN)
        self.fleet.run(1.0)

    def test_one_schedules_and_all_follow_it(self):
        self.assertThat(self.fleet.followed(), Equals([0] * 7))

    def test_a_lost_scheduler_is_replaced_within_two_seconds(self):
        self.fleet.alone.add(self.fleet[0])
        self.fleet.run(2.0)
        self.assertThat(self.fleet.followed()[1:], Equals([1] * 6))

    def test_one_whose_address_refuses_connections_is_replaced_sooner_than_a_silent_one(self):
        """Followers without a job there heard of it by its silence only, and held the others up."""
        self.fleet[0].ended = True
        self.fleet.run(0.6)
        self.assertThat(self.fleet.followed()[1:], Equals([1] * 6))

    def test_the_first_to_miss_it_has_the_others_look_at_once(self):
        """Others named a dead scheduler until their own next exchange with it, 0.2 s and more."""
        self.fleet[0].ended = True
        self.fleet[1].following.note_not_reached(self.fleet[0].incarnation)
        self.fleet.run(0.2)
        self.assertThat(self.fleet.followed()[1:], Equals([1] * 6))

    def test_questions_of_many_hasten_the_exchange_by_a_bounded_number_of_messages(self):
        sent = []
        self.fleet[0].following.on_newer_version = None
        handlers = self.fleet[0]._handlers
        answer = handlers[Follow]
        handlers[Follow] = lambda sender, message: (sent.append(sender), answer(sender, message))
        for _ in range(20):
            for number in (2, 3, 4, 5, 6):
                self.fleet[number].call(self.fleet[1].incarnation, ReachQuestion(), timeout_s=0.2)
            self.fleet.run(0.05)
        own = sent.count(self.fleet[1].incarnation)
        self.assertTrue(5 <= own <= 21, own)

    def test_one_that_is_cut_off_alone_and_fenced_claims_nothing(self):
        self.fleet.alone.add(self.fleet[0])
        self.fleet.run(2.0)
        self.fleet[0].following.weigh_claim("fenced")
        self.fleet.run(2.0)
        self.assertThat(self.fleet.schedulers(), Equals([1]))

    def test_a_failure_domain_that_is_cut_off_has_a_scheduler_of_its_own_until_the_end(self):
        self.fleet.cuts.add("south")
        self.fleet.run(2.5)
        self.assertThat(self.fleet.followed(), Equals([0, 0, 0, 3, 3, 0, 0]))
        self.fleet.cuts.clear()
        self.fleet.run(2.0)
        self.assertThat(self.fleet.followed(), Equals([0] * 7))

    def test_the_scheduler_s_own_domain_cut_off_leaves_two_and_ends_with_one(self):
        self.fleet.cuts.add("north")
        self.fleet.run(3.0)
        self.assertThat(self.fleet.followed(), Equals([0, 0, 0, 3, 3, 3, 3]))
        self.fleet.cuts.clear()
        self.fleet.run(2.0)
        self.assertThat(self.fleet.followed(), Equals([3] * 7))

    def test_one_that_has_given_up_is_not_followed_any_more(self):
        """A scheduler gave up in a cut beside a frozen host, and its followers stayed with it."""
        self.fleet[0].following.give_up("paused")
        self.fleet.run(3.0)
        followed = set(self.fleet.followed())
        self.assertThat(len(followed), Equals(1))
        self.assertThat(self.fleet.schedulers(), Equals([followed.pop()]))

    def test_a_cut_beside_a_frozen_host_leaves_a_scheduler_on_each_side(self):
        self.fleet[4].frozen = True
        self.fleet.cuts.add("north")
        self.fleet.run(4.0)
        self.assertIn(0, self.fleet.schedulers())
        self.fleet[4].frozen = False
        self.fleet.cuts.clear()
        self.fleet.run(4.0)
        self.assertThat(len(set(self.fleet.followed())), Equals(1))

    def test_a_sitting_scheduler_with_few_followers_goes_on_unless_it_is_fenced(self):
        for number in (2, 3, 4, 5, 6):
            self.fleet[number].frozen = True
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed()[:2], Equals([0, 0]))

    def test_a_handover_names_one_that_does_not_end_itself(self):
        self.fleet[6].following.draining = True
        self.assertTrue(self.fleet[0].following.hand_over())
        self.fleet.run(0.5)
        self.assertThat(self.fleet.followed(), Equals([5] * 7))

    def test_a_scheduler_on_a_small_host_yields_to_a_strong_one_that_came_later(self):
        for number in (5, 6):
            self.fleet[number].power = 2.0
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed(), Equals([6] * 7))
        changes = [len(node.changes) for node in self.fleet.nodes.values()]
        self.fleet.run(10.0)
        self.assertThat([len(n.changes) for n in self.fleet.nodes.values()], Equals(changes))

    def test_a_choked_host_yields_once_and_does_not_get_it_back(self):
        self.fleet[0].power = 0.0
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed(), Equals([6] * 7))
        self.fleet[0].power = 1.0
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed(), Equals([6] * 7))

    def test_where_all_are_choked_nobody_yields(self):
        for node in self.fleet.nodes.values():
            node.power = 0.0
        self.fleet.run(6.0)
        self.assertThat(self.fleet.followed(), Equals([0] * 7))

    def test_a_lost_scheduler_is_replaced_by_the_oldest_of_the_strong_hosts(self):
        for number in (3, 5):
            self.fleet[number].power = 2.0
        self.fleet.run(4.0)
        self.fleet.alone.add(self.fleet[5])
        self.fleet.run(2.5)
        self.assertThat(self.fleet[0].following.claim.scheduler, Equals(self.fleet[3].incarnation))

    def test_one_that_ends_does_not_keep_the_others_from_claiming(self):
        self.fleet[1].following.draining = True
        self.fleet.alone.add(self.fleet[0])
        self.fleet.run(2.5)
        self.assertThat(self.fleet.followed()[1:], Equals([2] * 6))

    def test_any_order_of_cuts_and_freezes_ends_with_one_scheduler(self):
        import random

        for seed in range(30):
            rng = random.Random(seed)
            fleet = VirtualFleet(SEVEN)
            fleet.run(1.0)
            for _ in range(6):
                node = fleet[rng.randrange(7)]
                action = rng.randrange(5)
                if action == 0:
                    fleet.cuts = {rng.choice(SEVEN)}
                elif action == 1:
                    node.frozen = not node.frozen
                elif action == 2:
                    fleet.alone ^= {node}
                elif action == 3:
                    node.power = rng.choice([0.0, 0.5, 2.0])
                else:
                    node.following.give_up("paused")
                fleet.run(rng.uniform(0.1, 3.0))
            fleet.cuts, fleet.alone = set(), set()
            for node in fleet.nodes.values():
                node.frozen = False
            fleet.run(6.0)
            followed = set(fleet.followed())
            self.assertThat((seed, len(followed)), Equals((seed, 1)))
            self.assertThat((seed, fleet.schedulers()), Equals((seed, list(followed))))
