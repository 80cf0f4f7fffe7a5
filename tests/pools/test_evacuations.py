"""Evacuations as known to a process: merging of views, and the endpoints that they concern."""

import random

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Is

from burdocklug.kernel import decode_json
from burdocklug.pools._directory import Directory
from burdocklug.pools._evacuations import RETURN_S, EvacuationView, mark_evacuated
from burdocklug.pools._models import JobOutcome
from burdocklug.pools.scheduling import find_placement_obstacle
from burdocklug.pools.scheduling._capacity import SlotCounts
from burdocklug.pools.scheduling._placement import PoolEndpoint
from tests.pools.builders import VirtualPool, entry, spec, step
from tests.scenarios import with_scenarios

DOMAINS = ("north", "south", "east")


@with_scenarios
class MergeTest(TestCase):
    """Views of one store that were read at different revisions, in any order."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(20)]

    def test_the_newest_read_counts_in_any_order(self):
        rng = random.Random(self.seed)
        requests, views = {}, []
        for revision in range(1, 40):
            domain = rng.choice(DOMAINS)
            if requests.pop(domain, None) is None:
                requests[domain] = revision
            views.append(EvacuationView(revision, dict(requests)))
        merged = EvacuationView()
        for view in rng.sample(views, len(views)):
            merged = merged.merge(view)
        self.assertThat(merged, Equals(views[-1]))
        self.assertThat(views[-1].merge(views[0]), Equals(views[0].merge(views[-1])))

    def test_replayed_changes_change_nothing(self):
        rng = random.Random(self.seed)
        view, changes = EvacuationView(), []
        for revision in range(1, 40):
            domain = rng.choice(DOMAINS)
            is_request = domain not in view.requests
            changes.append((domain, revision, is_request))
            view = self.apply(view, changes[-1])
        view = view.read_up_to(39)
        for change in changes[rng.randrange(39) :]:
            self.assertThat(self.apply(view, change), Equals(view))

    @staticmethod
    def apply(view, change):
        domain, revision, is_request = change
        if is_request:
            return view.with_request(domain, revision)
        return view.without_request(domain, revision)


class ViewTest(TestCase):
    def test_a_request_that_was_removed_later_does_not_come_back(self):
        view = EvacuationView(10, {}).with_request("north", 9)
        self.assertThat(view.requests, Equals({}))

    def test_an_older_removal_does_not_remove_a_newer_request(self):
        view = EvacuationView(10, {"north": 9}).without_request("north", 8)
        self.assertThat(view.requests, Equals({"north": 9}))

    def test_removal_of_what_is_not_known_changes_nothing(self):
        self.assertThat(EvacuationView().without_request("north", 8), Equals(EvacuationView()))

    def test_digests_differ_with_the_requests_alone(self):
        views = EvacuationView(3, {"north": 2}), EvacuationView(9, {"north": 2})
        self.assertThat(views[0].digest, Equals(views[1].digest))
        self.assertNotEqual(views[0].digest, EvacuationView(3, {"north": 3}).digest)
        self.assertNotEqual(views[0].digest, EvacuationView(3, {}).digest)


class DirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.notified = []
        self.directory.subscribe(lambda: self.notified.append(dict(self.directory.evacuations)))

    def take(self, view):
        return self.directory.take_evacuations(view, source="test", age_s=None)

    def test_subscribers_hear_of_each_change_and_of_nothing_else(self):
        self.assertTrue(self.take(EvacuationView(5, {"north": 4})))
        self.assertFalse(self.take(EvacuationView(9, {"north": 4})))
        self.assertTrue(self.take(EvacuationView(12, {"north": 11})))
        self.assertTrue(self.take(EvacuationView(14, {})))
        self.assertThat(self.notified, Equals([{"north": 4}, {"north": 11}, {}]))

    def test_the_dump_has_the_requests(self):
        self.take(EvacuationView(9, {"south": 8, "north": 4}))
        evacuations = self.directory.dump()["evacuations"]
        self.assertThat(list(evacuations.items()), Equals([("north", 4), ("south", 8)]))


class MarkTest(TestCase):
    def setUp(self):
        super().setUp()
        self.endpoints = [
            PoolEndpoint(entry(1, domain="north"), usable=True),
            PoolEndpoint(entry(2, domain="south"), usable=True),
        ]

    def test_endpoints_there_are_not_available(self):
        self.assertTrue(mark_evacuated(self.endpoints, {"north": 3}, 50.0))
        self.assertThat([e.is_available(50.0) for e in self.endpoints], Equals([False, True]))
        self.assertFalse(mark_evacuated(self.endpoints, {"north": 3}, 51.0))

    def test_once_taken_back_they_warm_up(self):
        mark_evacuated(self.endpoints, {"north": 3}, 50.0)
        self.assertTrue(mark_evacuated(self.endpoints, {}, 60.0))
        self.assertThat([e.evacuated for e in self.endpoints], Equals([False, False]))
        self.assertThat([e.cold_until_s for e in self.endpoints], Equals([60.0 + RETURN_S, 0.0]))

    def test_a_longer_warm_up_is_not_cut_short(self):
        endpoint = self.endpoints[0]
        endpoint.warm_up(50.0, for_s=9.0)
        endpoint.warm_up(51.0, for_s=1.0)
        self.assertThat(endpoint.cold_until_s, Equals(59.0))

    def test_an_unknown_failure_domain_concerns_none(self):
        self.assertFalse(mark_evacuated(self.endpoints, {"west": 3}, 50.0))


class CapacityTest(TestCase):
    def setUp(self):
        super().setUp()
        self.endpoints = {
            n: PoolEndpoint(entry(n, domain=d)) for n, d in enumerate(("north", "south"), 1)
        }

    def test_slots_of_evacuated_endpoints_do_not_count(self):
        counts = SlotCounts(self.endpoints, now=lambda: 5.0)
        job = spec("j1", step(cpu=8000))
        self.assertThat(counts.max_concurrent_tasks(job), Equals(4))
        mark_evacuated(self.endpoints.values(), {"north": 3}, 5.0)
        counts.invalidate()
        self.assertThat(counts.max_concurrent_tasks(job), Equals(2))

    def test_a_job_that_only_evacuated_endpoints_hold_is_said_so(self):
        mark_evacuated(self.endpoints.values(), {"north": 3, "south": 4}, 5.0)
        obstacle = find_placement_obstacle(spec("j1", step()), self.endpoints.values())
        self.assertThat(obstacle, Contains("only an evacuated endpoint"))
        others = find_placement_obstacle(
            spec("j1", step()), self.endpoints.values(), has_others=True
        )
        self.assertThat(others, Is(None))
        too_large = spec("j2", step(cpu=17000))
        obstacle = find_placement_obstacle(too_large, self.endpoints.values())
        self.assertThat(obstacle, Contains("no endpoint of"))


class SchedulerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(entry(1, domain="north"), entry(2, domain="south"))
        self.scheduler = self.pool.scheduler

    def evacuate(self, *domains):
        endpoints = self.scheduler.endpoints.values()
        mark_evacuated(endpoints, dict.fromkeys(domains, 3), self.pool.now_s)
        self.scheduler.refuse_unplaceable(lambda job: find_placement_obstacle(job, endpoints))

    def test_nothing_starts_there_and_runs_go_on(self):
        job = self.pool.submit("j1", step(4, cpu=8000))
        self.evacuate("north")
        self.assertThat(self.pool.orders.stopped, Equals([]))
        self.pool.end_all(job)
        self.assertThat(job.outcome, Is(JobOutcome.COMPLETED))
        other = self.pool.submit("j2", step(2, cpu=8000))
        self.assertThat({task.endpoint_id for task in other.tasks}, Equals({"e2"}))

    def test_slots_there_are_no_part_of_the_forecast(self):
        self.pool.submit("j1", step(4, cpu=8000, estimate_s=0.2))
        now_s = self.pool.now_s
        all_of_them = self.scheduler._forecast(now_s).start_s(4)
        self.evacuate("north")
        self.assertThat(self.scheduler._forecast(now_s).start_s(4), GreaterThan(all_of_them))

    def test_waiting_jobs_without_an_endpoint_are_refused_and_others_wait(self):
        self.pool.submit("filler", step(4, cpu=8000, estimate_s=0.2))
        woken = []
        waits = self.pool.submit("j1", step(1, cpu=16000, estimate_s=0.1))
        waits.waiters.append(woken.append)
        self.evacuate("north")
        self.assertThat(woken, Equals([]))
        self.evacuate("north", "south")
        self.assertThat(woken, Equals([waits]))
        self.assertThat(waits.obstacle, Contains("only an evacuated endpoint"))
        self.assertThat([j.job_id for j in self.scheduler.jobs.values()], Equals(["filler"]))

    def test_a_job_that_has_started_is_not_refused(self):
        job = self.pool.submit("j1", step(), step(1, after=(0,)))
        self.evacuate("north", "south")
        self.pool.end(job.tasks[0])
        self.assertThat(job.waiting, HasLength(1))
        self.assertThat((job.outcome, job.obstacle), Equals((None, None)))


class WireTest(TestCase):
    def test_a_view_without_fields_is_empty(self):
        self.assertThat(decode_json(b"[]", EvacuationView), Equals(EvacuationView()))
