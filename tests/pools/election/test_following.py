from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._evacuations import EvacuationView
from burdocklug.pools._messages import FollowerHeartbeat, ReachRequest
from tests.pools.virtual_fleet import VirtualFleet

SEVEN = ("north", "north", "north", "south", "south", "east", "east")


class SchedulerElectionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = VirtualFleet(SEVEN)
        self.fleet.run(1.0)

    def test_one_node_becomes_scheduler_and_all_follow_it(self):
        self.assertThat(self.fleet.followed(), Equals([0] * 7))

    def test_isolated_scheduler_is_replaced_within_two_seconds(self):
        self.fleet.isolated.add(self.fleet[0])
        self.fleet.run(2.0)
        self.assertThat(self.fleet.followed()[1:], Equals([1] * 6))

    def test_scheduler_that_refuses_connections_is_replaced_sooner_than_a_silent_one(self):
        """Guards against followers without a job there noticing the loss only by a timeout.

        They delayed the others.
        """
        self.fleet[0].ended = True
        self.fleet.run(0.6)
        self.assertThat(self.fleet.followed()[1:], Equals([1] * 6))

    def test_first_follower_to_miss_the_scheduler_makes_the_others_check_it_at_once(self):
        """Guards against followers that report a dead scheduler until their next heartbeat to it.

        That took 0.2 s or more.
        """
        self.fleet[0].ended = True
        self.fleet[1].election.note_not_reached(self.fleet[0].incarnation)
        self.fleet.run(0.2)
        self.assertThat(self.fleet.followed()[1:], Equals([1] * 6))

    def test_a_follower_is_told_who_knows_of_a_newer_change_of_the_evacuations(self):
        told = []
        self.fleet[0].election.evacuations = lambda: EvacuationView(7, {"north": 6})
        for node in self.fleet[1], self.fleet[2]:
            node.election.on_newer_version = told.append
        self.fleet[2].election.evacuations = lambda: EvacuationView(9, {"north": 6})
        self.fleet.run(1.0)
        self.assertThat(set(told), Equals({self.fleet[0].incarnation}))

    def test_a_scheduler_is_told_by_its_followers_too(self):
        told = []
        self.fleet[0].election.on_newer_version = told.append
        self.fleet[3].election.evacuations = lambda: EvacuationView(7, {"north": 6})
        self.fleet.run(1.0)
        self.assertThat(set(told), Equals({self.fleet[3].incarnation}))

    def test_an_older_view_or_an_equal_one_is_not_asked_for(self):
        told = []
        for node in self.fleet.nodes.values():
            node.election.on_newer_version = told.append
            node.election.evacuations = lambda: EvacuationView(9, {"north": 6})
        self.fleet[3].election.evacuations = lambda: EvacuationView(5, {"south": 4})
        self.fleet[3].election.on_newer_version = None
        self.fleet[4].election.evacuations = lambda: EvacuationView(12, {"north": 6})
        self.fleet.run(1.0)
        self.assertThat(told, Equals([]))

    def test_many_reach_requests_add_a_bounded_number_of_heartbeats(self):
        sent = []
        self.fleet[0].election.on_newer_version = None
        handlers = self.fleet[0]._handlers
        answer = handlers[FollowerHeartbeat]
        handlers[FollowerHeartbeat] = lambda sender, message: (
            sent.append(sender),
            answer(sender, message),
        )
        for _ in range(20):
            for number in (2, 3, 4, 5, 6):
                self.fleet[number].call(self.fleet[1].incarnation, ReachRequest(), timeout_s=0.2)
            self.fleet.run(0.05)
        count = sent.count(self.fleet[1].incarnation)
        self.assertTrue(5 <= count <= 21, count)

    def test_isolated_and_fenced_scheduler_drops_its_claim(self):
        self.fleet.isolated.add(self.fleet[0])
        self.fleet.run(2.0)
        self.fleet[0].election.recheck_claim("fenced")
        self.fleet.run(2.0)
        self.assertThat(self.fleet.schedulers(), Equals([1]))

    def test_failure_domain_that_is_cut_off_has_its_own_scheduler_until_the_partition_heals(self):
        self.fleet.cut_off_domains.add("south")
        self.fleet.run(2.5)
        self.assertThat(self.fleet.followed(), Equals([0, 0, 0, 3, 3, 0, 0]))
        self.fleet.cut_off_domains.clear()
        self.fleet.run(2.0)
        self.assertThat(self.fleet.followed(), Equals([0] * 7))

    def heal_partition_without_the_link_between_the_schedulers(self):
        """Heal a partition of "east", and return both schedulers and a follower of the smaller."""
        self.fleet.cut_off_domains.add("east")
        self.fleet.run(3.0)
        whole, part = (self.fleet[number] for number in self.fleet.schedulers())
        follower = next(n for n in (self.fleet[5], self.fleet[6]) if n is not part)
        self.fleet.cut_pairs.append({whole, part})
        self.fleet.cut_off_domains.clear()
        while follower.election.claim.scheduler == part.incarnation:
            self.fleet.run(0.05)
        return part, follower

    def test_scheduler_of_a_part_yields_as_soon_as_one_of_its_followers_has_left_it(self):
        """Both scheduled for 0.5 s after a partition, and a task ran twice at once."""
        part, _follower = self.heal_partition_without_the_link_between_the_schedulers()
        self.fleet.run(0.05)
        self.assertFalse(part.election.is_scheduler)

    def test_scheduler_that_was_left_for_another_may_have_acted_until_then(self):
        part, follower = self.heal_partition_without_the_link_between_the_schedulers()
        left_s = follower.election.former_reply_s[part.incarnation]
        self.assertTrue(self.fleet.now_s - left_s < 0.05, self.fleet.now_s - left_s)

    def test_partition_around_the_scheduler_s_domain_gives_two_schedulers_and_then_one(self):
        self.fleet.cut_off_domains.add("north")
        self.fleet.run(3.0)
        self.assertThat(self.fleet.followed(), Equals([0, 0, 0, 3, 3, 3, 3]))
        self.fleet.cut_off_domains.clear()
        self.fleet.run(2.0)
        self.assertThat(self.fleet.followed(), Equals([3] * 7))

    def test_scheduler_that_stepped_down_is_no_longer_followed(self):
        """A scheduler stepped down in a partition with a frozen host; its followers kept it."""
        self.fleet[0].election.step_down("paused")
        self.fleet.run(3.0)
        followed = set(self.fleet.followed())
        self.assertThat(len(followed), Equals(1))
        self.assertThat(self.fleet.schedulers(), Equals([followed.pop()]))

    def test_partition_with_a_frozen_host_leaves_a_scheduler_on_each_side(self):
        self.fleet[4].frozen = True
        self.fleet.cut_off_domains.add("north")
        self.fleet.run(4.0)
        self.assertIn(0, self.fleet.schedulers())
        self.fleet[4].frozen = False
        self.fleet.cut_off_domains.clear()
        self.fleet.run(4.0)
        self.assertThat(len(set(self.fleet.followed())), Equals(1))

    def test_scheduler_with_few_followers_stays_unless_it_is_fenced(self):
        for number in (2, 3, 4, 5, 6):
            self.fleet[number].frozen = True
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed()[:2], Equals([0, 0]))

    def test_handover_appoints_a_node_that_is_not_draining(self):
        self.fleet[6].election.draining = True
        self.assertTrue(self.fleet[0].election.hand_over())
        self.fleet.run(0.5)
        self.assertThat(self.fleet.followed(), Equals([5] * 7))

    def test_scheduler_on_a_small_host_yields_once_to_a_larger_host(self):
        for number in (5, 6):
            self.fleet[number].usable_cores = 2.0
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed(), Equals([6] * 7))
        changes = [len(node.changes) for node in self.fleet.nodes.values()]
        self.fleet.run(10.0)
        self.assertThat([len(n.changes) for n in self.fleet.nodes.values()], Equals(changes))

    def test_overloaded_scheduler_yields_and_is_not_reappointed_after_recovery(self):
        self.fleet[0].usable_cores = 0.0
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed(), Equals([6] * 7))
        self.fleet[0].usable_cores = 1.0
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed(), Equals([6] * 7))

    def test_malformed_member_does_not_keep_the_claim_from_the_others(self):
        self.fleet.malformed_members["nonsense"] = "north"
        self.fleet[0].frozen = True
        self.fleet.run(2.5)
        announced = self.fleet[1].election._announced_s
        self.fleet.run(1.2)
        self.assertThat(self.fleet.followed()[1:], Equals([1] * 6))
        self.assertTrue(self.fleet[1].election._announced_s > announced)
        self.fleet[2].election._set_claim(None, "test")
        self.fleet[1].election._announce(self.fleet[1].election.claim)
        self.assertThat(self.fleet.followed()[2], Equals(1))

    def test_role_that_overloads_each_host_of_equal_size_moves_once_in_half_a_minute(self):
        """Occurs where the load exceeds one host: each move drops jobs and helps nobody."""
        movements = []
        for _ in range(600):
            self.fleet.run(0.1)
            for number, node in enumerate(self.fleet.nodes.values()):
                if node.election.is_scheduler and movements[-1:] != [number]:
                    movements.append(number)
                # Overloaded by the role, and for 10 s after it has been handed over.
                if node.election.is_scheduler:
                    node.overloaded_until_s = self.fleet.now_s + 10.0
                node.usable_cores = float(self.fleet.now_s >= node.overloaded_until_s)
        self.assertTrue(len(movements) <= 3, movements)  # in one minute, the first holder included

    def test_overloaded_scheduler_yields_to_a_much_larger_host_although_another_is_overloaded(self):
        self.fleet[1].usable_cores = self.fleet[0].usable_cores = 0.0
        self.fleet[3].usable_cores = 2.0
        self.fleet.run(4.0)
        self.assertThat(self.fleet.followed(), Equals([3] * 7))

    def test_scheduler_stays_while_all_hosts_are_overloaded(self):
        for node in self.fleet.nodes.values():
            node.usable_cores = 0.0
        self.fleet.run(6.0)
        self.assertThat(self.fleet.followed(), Equals([0] * 7))

    def test_isolated_scheduler_is_replaced_by_the_oldest_of_the_larger_hosts(self):
        for number in (3, 5):
            self.fleet[number].usable_cores = 2.0
        self.fleet.run(4.0)
        self.fleet.isolated.add(self.fleet[5])
        self.fleet.run(2.5)
        self.assertThat(self.fleet[0].election.claim.scheduler, Equals(self.fleet[3].incarnation))

    def test_draining_node_does_not_keep_the_others_from_claiming(self):
        self.fleet[1].election.draining = True
        self.fleet.isolated.add(self.fleet[0])
        self.fleet.run(2.5)
        self.assertThat(self.fleet.followed()[1:], Equals([2] * 6))

    def test_node_that_cannot_read_the_registry_does_not_keep_the_others_from_claiming(self):
        self.fleet[1].election.ready = False  # the oldest after the scheduler
        self.fleet[0].ended = True
        self.fleet.run(1.0)
        self.assertThat(self.fleet.followed()[1:], Equals([2] * 6))

    def test_any_sequence_of_partitions_and_freezes_ends_with_one_scheduler(self):
        import random

        for seed in range(30):
            rng = random.Random(seed)
            fleet = VirtualFleet(SEVEN)
            fleet.run(1.0)
            for _ in range(6):
                node = fleet[rng.randrange(7)]
                action = rng.randrange(5)
                if action == 0:
                    fleet.cut_off_domains = {rng.choice(SEVEN)}
                elif action == 1:
                    node.frozen = not node.frozen
                elif action == 2:
                    fleet.isolated ^= {node}
                elif action == 3:
                    node.usable_cores = rng.choice([0.0, 0.5, 2.0])
                else:
                    node.election.step_down("paused")
                fleet.run(rng.uniform(0.1, 3.0))
            fleet.cut_off_domains, fleet.isolated = set(), set()
            for node in fleet.nodes.values():
                node.frozen = False
            fleet.run(6.0)
            followed = set(fleet.followed())
            self.assertThat((seed, len(followed)), Equals((seed, 1)))
            self.assertThat((seed, fleet.schedulers()), Equals((seed, list(followed))))
