"""Endpoints that are slow for a time after their start."""

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools.scheduling import dump_scheduler, scheduler_load
from tests.pools.builders import RULE, VirtualPool, entry, step


class ColdEndpointTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(entry(1), entry(2))
        self.cold = self.pool.scheduler.endpoints["e1"]
        self.warm = self.pool.scheduler.endpoints["e2"]
        self.cold.cold_pace.rate_per_s = 2.0
        self.cold.warm_up(self.pool.now_s, for_s=5.0)

    def submit(self, name, **changes):
        return self.pool.submit(name, step(estimate_s=0.2, **changes), wait_s=60.0)

    def test_an_endpoint_that_is_not_cold_is_preferred(self):
        jobs = [self.submit(f"j{number}") for number in range(2)]
        self.assertThat([job.tasks[0].endpoint_id for job in jobs], Equals(["e2", "e2"]))

    def test_a_cold_endpoint_gets_starts_at_its_configured_rate(self):
        self.warm.usable = False
        for number in range(40):
            self.submit(f"j{number}")
            for task in list(self.cold.runs.values()):
                self.pool.end(task)
            self.pool.now_s += 0.1
        started = [task for task, _endpoint in self.pool.orders.started]
        self.assertTrue(8 <= len(started) <= 9, len(started))
        self.assertThat(self.pool.scheduler.counts["starts_cold"], Equals(len(started)))

    def test_two_starts_of_one_pass_count_both(self):
        """Guards against counting all free slots of an endpoint that may get one start."""
        self.warm.usable = False
        job = self.pool.submit("j1", step(2), wait_s=60.0)
        self.assertThat([len(job.waiting), len(self.cold.runs)], Equals([1, 1]))

    def test_it_gets_all_starts_again_when_it_is_warm(self):
        self.warm.usable = False
        self.pool.now_s += 5.0
        self.pool.submit("j1", step(2), wait_s=60.0)
        self.assertThat(len(self.cold.runs), Equals(2))

    def test_the_expected_run_time_is_longer_by_what_is_lost_while_cold(self):
        self.warm.usable = False
        task = self.submit("j1", cpu=1000).tasks[0]
        self.assertThat(self.pool.scheduler.expected_run_s(task, self.cold), Equals(0.4))
        self.pool.now_s += 4.9
        other = self.submit("j2", cpu=1000).tasks[0]
        expected_s = self.pool.scheduler.expected_run_s(other, self.cold)
        self.assertThat(round(expected_s, 6), Equals(0.25))
        self.assertThat(self.pool.scheduler.expected_run_s(task, self.cold), Equals(0.4))

    def test_a_run_that_began_cold_gives_no_sample_of_the_speed(self):
        self.warm.usable = False
        for _ in range(3):
            job = self.submit(f"j{self.pool.now_s}")
            self.pool.now_s += 1.2
            self.pool.scheduler.note_progress(job.tasks[0], self.cold, 40)
            self.pool.end_all(job)
        self.assertThat(self.cold.slowness, Equals(1.0))

    def test_a_longer_cold_time_is_not_shortened(self):
        self.cold.warm_up(self.pool.now_s, for_s=1.0)
        self.assertThat(self.cold.cold_until_s, Equals(105.0))

    def test_a_cold_time_that_is_extended_gives_no_new_starts(self):
        self.warm.usable = False
        self.submit("j1", cpu=1000)
        self.cold.warm_up(self.pool.now_s, for_s=9.0)
        self.assertThat(self.cold.is_available(self.pool.now_s), Equals(False))

    def test_the_dump_tells_the_remaining_cold_time(self):
        rows = dump_scheduler(self.pool.scheduler, 101.0)["endpoints"]
        self.assertThat([row["cold_s"] for row in rows], Equals([4.0, 0.0]))
        self.assertThat(scheduler_load(self.pool.scheduler, 101.0)["cold_endpoints"], Equals(1))

    def test_a_job_waits_rather_than_being_refused_while_only_cold_endpoints_are_left(self):
        self.warm.usable = False
        first, second = (self.pool.submit(n, step(), rule=RULE) for n in ("j1", "j2"))
        self.assertThat([first.started, second.started], Equals([True, False]))
        self.assertThat("j2" in self.pool.scheduler.jobs, Equals(True))
