import testtools

from burdocklug.routing import (
    WEIGHT_POLICIES,
    HeldLease,
    LeaseOutcome,
    ReturnedLease,
    RouteEndpoint,
    RouteMember,
    ServiceRouter,
    SlotAllocator,
    SlotReport,
    SlotRequest,
    SlotReturn,
    choose_allocators,
)


class RouterFleet:
    """Routers of several processes; messages arrive at once unless a process is in `cut`."""

    def __init__(self, count, endpoints, weight="latency"):
        self.endpoints = endpoints
        self.routers = {
            f"p{n}": ServiceRouter(
                service="press", incarnation=f"p{n}", failure_domain="north", weight=weight
            )
            for n in range(count)
        }
        self.members = [RouteMember(name, "north") for name in self.routers]
        self.sent = []
        self.cut = set()
        self.update(0.0)

    def update(self, now_s):
        for name, router in self.routers.items():
            self.deliver(now_s, name, router.update(now_s, self.endpoints, self.members))

    def deliver(self, now_s, sender, outgoing):
        for item in outgoing:
            self.sent.append((sender, item.to, item.message))
            if not self.cut & {sender, item.to} and item.to in self.routers:
                self.deliver(
                    now_s, item.to, self.routers[item.to].receive(now_s, sender, item.message)
                )

    def acquire_leases(self, now_s, name, waiting):
        """Run all routers for four rounds, with tasks for `name` only, and return its leases."""
        starts = []
        for step in range(4):
            for other, router in self.routers.items():
                want = waiting - len(starts) if other == name else 0
                more, out = router.acquire_leases(now_s + step * 0.051, want)
                starts += more
                self.deliver(now_s + step * 0.051, other, out)
        return starts


class TestLeases(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = RouterFleet(3, [RouteEndpoint(f"e{n}", "north", 4) for n in range(3)])

    def test_no_slot_is_leased_twice(self):
        starts = [lease for n in range(3) for lease in self.fleet.acquire_leases(1.0, f"p{n}", 10)]
        self.assertEqual(12, len(starts))
        for n in range(3):
            self.assertEqual(4, sum(lease.endpoint == f"e{n}" for lease in starts))

    def test_a_lease_is_reused_without_messages(self):
        [lease] = self.fleet.acquire_leases(1.0, "p0", 1)
        self.fleet.sent.clear()
        for step in range(20):
            now_s = 1.1 + step * 0.1
            self.fleet.routers["p0"].release(now_s, lease, LeaseOutcome.FINISHED, run_s=0.1)
            [lease], out = self.fleet.routers["p0"].acquire_leases(now_s, 1)
            self.fleet.deliver(now_s, "p0", out)
        self.assertEqual([], [m for _, _, m in self.fleet.sent if isinstance(m, SlotRequest)])

    def test_idle_leases_are_returned_after_the_maximum_idle_time(self):
        self.fleet = RouterFleet(2, [RouteEndpoint("e0", "north", 4)], weight="messages")
        for lease in self.fleet.acquire_leases(1.0, "p0", 4):
            self.fleet.routers["p0"].release(1.1, lease, LeaseOutcome.FINISHED)
        self.fleet.acquire_leases(4.2, "p0", 0)
        self.fleet.acquire_leases(4.3, "p0", 0)
        kept = WEIGHT_POLICIES["messages"].spare  # idle leases that p0 keeps for tasks to come
        self.assertEqual(4 - kept, len(self.fleet.acquire_leases(4.4, "p1", 4)))

    def test_a_holder_below_its_fair_share_gets_recalled_slots(self):
        busy = self.fleet.acquire_leases(1.0, "p0", 12)
        self.assertEqual(12, len(busy))
        self.assertEqual([], self.fleet.acquire_leases(1.1, "p1", 2))
        for lease in busy:
            self.fleet.routers["p0"].release(1.3, lease, LeaseOutcome.FINISHED, run_s=0.3)
        self.fleet.acquire_leases(1.3, "p0", 12)
        self.fleet.acquire_leases(1.31, "p0", 12)
        self.assertEqual(2, len(self.fleet.acquire_leases(1.32, "p1", 2)))

    def test_leases_of_a_dead_holder_are_granted_again(self):
        self.assertEqual(12, len(self.fleet.acquire_leases(1.0, "p0", 12)))
        self.fleet.members = self.fleet.members[1:]
        del self.fleet.routers["p0"]
        self.fleet.update(2.0)
        self.assertEqual(12, len(self.fleet.acquire_leases(3.0, "p1", 12)))

    def test_a_new_allocator_adopts_the_leases_that_holders_report(self):
        held = self.fleet.acquire_leases(1.0, "p0", 5)
        self.fleet.members = self.fleet.members[:2]
        del self.fleet.routers["p2"]
        self.fleet.update(2.0)
        starts = (
            held
            + self.fleet.acquire_leases(3.0, "p0", 12)
            + self.fleet.acquire_leases(3.0, "p1", 12)
        )
        for n in range(3):
            self.assertEqual(4, sum(lease.endpoint == f"e{n}" for lease in starts))

    def test_a_holder_that_is_cut_off_stops_before_its_lease_is_granted_again(self):
        remote = self.fleet.acquire_leases(1.0, "p0", 12)
        for lease in remote:
            self.fleet.routers["p0"].release(1.1, lease, LeaseOutcome.FINISHED)
        self.fleet.cut = {"p0"}
        own = self.fleet.routers["p0"].allocator._endpoints
        starts, _ = self.fleet.routers["p0"].acquire_leases(12.0, 12)
        self.assertEqual(set(own), {lease.endpoint for lease in starts})

    def test_an_unusable_endpoint_gets_no_start(self):
        leases = self.fleet.acquire_leases(1.0, "p0", 12)
        self.fleet.endpoints[1] = RouteEndpoint("e1", "north", 4, usable=False)
        self.fleet.update(1.1)
        for lease in leases:
            self.fleet.routers["p0"].release(1.2, lease, LeaseOutcome.FINISHED)
        starts = self.fleet.acquire_leases(1.3, "p0", 12)
        self.assertEqual({"e0", "e2"}, {lease.endpoint for lease in starts})

    def test_a_slot_is_withheld_after_a_refused_start(self):
        leases = self.fleet.acquire_leases(1.0, "p0", 12)
        full = [lease for lease in leases if lease.endpoint == "e1"]
        for lease in full:
            self.fleet.routers["p0"].release(1.1, lease, LeaseOutcome.REFUSED)
        self.assertEqual([], self.fleet.acquire_leases(1.11, "p0", 4))
        self.assertEqual(4, len(self.fleet.acquire_leases(1.5, "p0", 4)))


class TestChooseAllocators(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.endpoints = [RouteEndpoint(f"e{n}", f"d{n % 4}", 8) for n in range(24)]
        self.members = [RouteMember(f"p{n}", f"d{n % 4}") for n in range(7)]

    def test_an_allocator_is_in_the_failure_domain_of_its_endpoints(self):
        chosen = choose_allocators(self.endpoints, self.members)
        domains = {member.incarnation: member.failure_domain for member in self.members}
        for endpoint in self.endpoints:
            self.assertEqual(endpoint.failure_domain, domains[chosen[endpoint.name]])

    def test_small_failure_domains_share_one_allocator_when_domains_are_pooled(self):
        chosen = choose_allocators(self.endpoints, self.members, across_domains=True)
        self.assertEqual(1, len(set(chosen.values())))
        self.assertEqual(24, len(chosen))

    def test_a_shared_allocator_that_left_is_replaced_by_a_live_process(self):
        [first] = set(choose_allocators(self.endpoints, self.members, across_domains=True).values())
        rest = [member for member in self.members if member.incarnation != first]
        chosen = choose_allocators(self.endpoints, rest, across_domains=True)
        self.assertIn(set(chosen.values()).pop(), {member.incarnation for member in rest})


class TestSlotAllocator(testtools.TestCase):
    """The allocator, including lost and duplicated messages."""

    def setUp(self):
        super().setUp()
        self.allocator = SlotAllocator(service="press", incarnation="p1")
        self.allocator.update(0.0, [RouteEndpoint("e1", "north", 2)], live={"p1", "p2", "p3"})

    def request(self, now_s, holder, sequence, waiting):
        out = self.allocator.receive_request(now_s, holder, SlotRequest("press", sequence, waiting))
        return [lease for item in out for lease in getattr(item.message, "leases", ())]

    def test_some_free_slots_are_left_for_small_jobs(self):
        self.allocator.update(0.2, [RouteEndpoint("e2", "north", 80)], live={"p1", "p2", "p3"})
        self.assertEqual(78, len(self.request(1.0, "p2", 1, 200)))
        self.assertEqual([], self.request(1.1, "p3", 1, 3))
        out = self.allocator.receive_request(1.2, "p3", SlotRequest("press", 2, 3, small=1))
        self.assertEqual([1], [len(item.message.leases) for item in out])

    def test_a_request_for_a_small_job_gets_an_empty_grant_when_no_slot_is_free(self):
        self.request(1.0, "p2", 1, 2)
        out = self.allocator.receive_request(1.1, "p3", SlotRequest("press", 1, 1, small=1))
        [grant] = [item.message for item in out if item.to == "p3"]
        self.assertEqual(([], 1), (grant.leases, grant.queued))

    def test_a_duplicate_request_is_ignored(self):
        self.assertEqual(1, len(self.request(1.0, "p2", 1, 1)))
        self.assertEqual([], self.request(1.1, "p2", 1, 1))

    def test_a_later_request_replaces_the_earlier_one(self):
        self.request(1.0, "p2", 1, 5)
        self.request(1.1, "p2", 2, 1)
        self.assertEqual(1, self.allocator.load(1.1).queued)

    def test_a_duplicate_return_frees_one_slot(self):
        leases = self.request(1.0, "p2", 1, 2)
        message = SlotReturn("press", [ReturnedLease(leases[0].lease_id, "e1")])
        self.allocator.receive_return(1.1, "p2", message)
        self.allocator.receive_return(1.1, "p2", message)
        self.assertEqual(1, self.allocator.load(1.1).free)

    def test_a_report_without_the_leases_of_a_lost_grant_frees_their_slots(self):
        self.request(1.0, "p2", 1, 2)
        self.allocator.receive_report(3.0, "p2", SlotReport("press", 2.9, []))
        self.assertEqual(2, self.allocator.load(3.0).free)

    def test_a_report_adopts_no_more_leases_than_slots(self):
        held = [HeldLease(number, "e1") for number in range(5)]
        [renewal] = self.allocator.receive_report(0.1, "p2", SlotReport("press", 0.0, held))
        self.assertEqual([0, 1], renewal.message.lease_ids)

    def test_leases_expire_without_renewal(self):
        self.request(1.0, "p2", 1, 2)
        self.allocator.tick(10.9)
        self.assertEqual(0, self.allocator.load(10.9).free)
        self.allocator.tick(11.0)
        self.assertEqual(2, self.allocator.load(11.0).free)

    def test_load_is_reported_while_no_allocated_endpoint_is_usable(self):
        router = ServiceRouter(service="press", incarnation="p1", failure_domain="north")
        endpoints = [RouteEndpoint("e1", "north", 2, usable=False)]
        router.update(0.0, endpoints, [RouteMember("p1", "north")])
        self.assertEqual(0, router.load(1.0).capacity)
