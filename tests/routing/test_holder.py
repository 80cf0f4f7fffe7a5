import testtools

from burdocklug.routing import (
    HeldLease,
    LeaseOutcome,
    RouteEndpoint,
    SlotGrant,
    SlotHolder,
    SlotLoad,
    SlotRecall,
    SlotReturn,
)


class TestUnresponsiveAllocator(testtools.TestCase):
    """A holder with two allocators; the local one never responds."""

    def setUp(self):
        super().setUp()
        self.holder = SlotHolder(service="press", failure_domain="north")
        endpoints = [RouteEndpoint("e1", "north", 8), RouteEndpoint("e2", "south", 8)]
        self.holder.update(0.0, endpoints, {"e1": "near", "e2": "far"})

    def requested_from(self, now_s):
        _, out = self.holder.acquire_leases(now_s, 1)
        return [item.to for item in out if getattr(item.message, "waiting", 0)]

    def test_request_goes_to_another_allocator_when_the_first_does_not_respond(self):
        self.assertEqual(["near"], self.requested_from(1.0))
        self.assertEqual([], self.requested_from(1.05))
        self.assertEqual(["far"], self.requested_from(1.5))

    def test_no_request_goes_to_an_allocator_without_capacity(self):
        self.holder.receive_load(0.5, "near", SlotLoad("press", capacity=0, free=0, queued=0))
        self.assertEqual(["far"], self.requested_from(1.0))


class TestStartsWithoutLease(testtools.TestCase):
    """A holder whose only allocator, in another failure domain, stops responding."""

    def setUp(self):
        super().setUp()
        self.holder = SlotHolder(service="loom", failure_domain="weave", weight="messages")
        domains = ["weave", "weave", "dye", "yarn"]
        self.endpoints = [RouteEndpoint(f"e{n}", d, 8) for n, d in enumerate(domains)]
        self.update(0.0)

    def update(self, now_s):
        names = {endpoint.name: "p1" for endpoint in self.endpoints}
        self.holder.update(now_s, self.endpoints, names)

    def start(self, now_s, *, small, waiting=None):
        starts, _ = self.holder.acquire_leases(
            now_s, waiting or small, small=small, small_job_share=0.1
        )
        return [lease.endpoint for lease in starts]

    def test_small_jobs_start_in_own_failure_domain_after_the_answer_timeout(self):
        self.assertEqual([], self.start(1.0, small=1))
        self.assertEqual([], self.start(1.2, small=1))
        self.assertEqual({"e0", "e1"}, set(self.start(1.3, small=5)))

    def test_each_endpoint_gets_one_unleased_start_per_interval(self):
        self.start(1.0, small=1)
        self.assertEqual(2, len(self.start(1.3, small=9)))
        self.assertEqual([], self.start(1.35, small=9))
        self.assertEqual(2, len(self.start(1.41, small=9)))

    def test_large_jobs_get_no_unleased_starts(self):
        self.start(1.0, small=1)
        self.assertEqual([], self.start(1.3, small=0, waiting=50))

    def test_an_empty_grant_prevents_unleased_starts(self):
        self.start(1.0, small=1)
        self.holder.receive_grant(1.1, "p1", SlotGrant("loom", 1, [], 1.0, 10.0))
        self.assertEqual([], self.start(1.3, small=1))

    def test_an_unreachable_allocator_allows_unleased_starts_at_once(self):
        self.holder.set_unreachable(["p1"])
        self.assertEqual(1, len(self.start(1.0, small=1)))

    def test_an_unusable_endpoint_gets_no_unleased_start(self):
        self.endpoints[0] = RouteEndpoint("e0", "weave", 8, usable=False)
        self.update(0.5)
        self.start(1.0, small=1)
        self.assertEqual(["e1"], self.start(1.3, small=5))

    def test_releasing_an_unleased_start_leaves_no_lease(self):
        self.start(1.0, small=1)
        [lease], _ = self.holder.acquire_leases(1.3, 1, small=1)
        self.holder.release(1.5, lease, LeaseOutcome.FINISHED, run_s=0.2)
        self.assertEqual((0, 0), self.holder.lease_counts())


class TestLeasesForSmallJobs(testtools.TestCase):
    """A holder with 32 leases and a queue of large jobs."""

    def setUp(self):
        super().setUp()
        self.holder = SlotHolder(service="press", failure_domain="north")
        self.holder.update(0.0, [RouteEndpoint("e1", "north", 64)], {"e1": "p1"})
        leases = [HeldLease(number, "e1") for number in range(32)]
        self.holder.receive_grant(0.0, "p1", SlotGrant("press", 1, leases, 0.0, 10.0))

    def start(self, now_s, waiting, small, share):
        return self.holder.acquire_leases(now_s, waiting, small=small, small_job_share=share)[0]

    def test_reserve_grows_with_the_share_of_small_tasks(self):
        reserved = 32 - len(self.start(0.1, 100, 0, 0.3))
        self.assertEqual(3, reserved)

    def test_a_low_share_of_small_tasks_reserves_one_lease(self):
        self.assertEqual(31, len(self.start(0.1, 100, 0, 0.05)))

    def test_small_tasks_use_the_reserved_leases(self):
        self.start(0.1, 100, 0, 0.3)
        self.assertEqual(2, len(self.start(0.1, 102, 2, 0.3)))

    def test_a_small_task_uses_one_reserved_lease_and_large_ones_none(self):
        self.assertEqual(29, len(self.start(0.1, 100, 0, 0.3)))
        self.assertEqual(1, len(self.start(0.1, 100, 1, 0.3)))
        self.assertEqual([], self.start(0.1, 99, 0, 0.3))

    def test_a_recall_leaves_leases_for_waiting_small_tasks(self):
        busy = self.start(0.1, 200, 0, 0.3)
        self.start(0.1, 103, 3, 0.3)
        self.start(0.1, 101, 1, 0.3)
        self.holder.receive_recall(0.2, "p1", SlotRecall("press", 8))
        for lease in busy[:5]:
            self.holder.release(0.3, lease, LeaseOutcome.FINISHED)
        starts, out = self.holder.acquire_leases(0.4, 101, small=1, small_job_share=0.3)
        self.assertEqual(1, len(starts))
        returned = [m.message for m in out if isinstance(m.message, SlotReturn)]
        self.assertEqual([1], [len(message.leases) for message in returned])
