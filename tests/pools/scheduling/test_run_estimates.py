"""When runs that are under way end, and which of them tell the speed of their endpoint."""

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools.scheduling import dump_scheduler
from tests.pools.builders import VirtualPool, entry, spec, step


class RunEstimatesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(entry(1))
        self.scheduler = self.pool.scheduler
        self.endpoint = self.scheduler.endpoints["e1"]

    def start(self, name="j1", *, count=1):
        return self.pool.submit(name, step(count, estimate_s=0.2), wait_s=60.0).tasks

    def expected_end_s(self, task):
        now_s = self.pool.now_s
        return round(self.scheduler.expected_end_s(task, self.endpoint, now_s) - now_s, 3)

    def test_without_progress_a_run_ends_after_its_expected_time(self):
        (task,) = self.start()
        self.pool.now_s += 0.05
        self.assertThat(self.expected_end_s(task), Equals(0.15))

    def test_a_run_of_the_tail_ends_when_its_progress_says(self):
        (task,) = self.start()
        self.pool.now_s += 0.35
        self.scheduler.note_progress(task, self.endpoint, 25)
        self.assertThat(self.expected_end_s(task), Equals(1.05))

    def test_a_run_never_ends_before_the_least_remaining_time(self):
        (task,) = self.start()
        self.pool.now_s += 0.5
        self.assertThat(self.expected_end_s(task), Equals(0.03))
        self.scheduler.note_progress(task, self.endpoint, 100)
        self.pool.now_s += 0.5
        self.assertThat(self.expected_end_s(task), Equals(0.03))

    def test_a_run_gives_one_sample_however_often_it_is_reported(self):
        (task,) = self.start()
        seen = []
        for percent in (20, 30, 40):
            self.pool.now_s += 0.5
            self.scheduler.note_progress(task, self.endpoint, percent)
            seen.append(self.endpoint.slowness)
        self.pool.end(task)
        self.assertTrue(seen[0] > 1.0, seen)
        self.assertThat({*seen, self.endpoint.slowness}, Equals({seen[0]}))
        self.assertThat(self.scheduler.counts["runs_slow"], Equals(1))

    def test_a_report_that_is_read_late_gives_no_sample(self):
        (task,) = self.start()
        self.pool.now_s += 0.5
        self.scheduler.note_progress(task, self.endpoint, 40, is_prompt=False)
        self.assertThat(self.scheduler.counts["runs_slow"], Equals(0))
        self.assertThat(self.endpoint.slowness, Equals(1.0))

    def test_an_adopted_run_gives_no_sample_from_its_progress_or_its_end(self):
        job = self.scheduler.submit(
            spec("j1", step(estimate_s=0.2)), received_s=self.pool.now_s, wait_s=60.0
        )
        task = job.tasks[0]
        self.scheduler.adopt(
            task, self.endpoint, attempt=1, started_s=self.pool.now_s - 0.1, percent=50
        )
        self.pool.now_s += 1.0
        self.scheduler.note_progress(task, self.endpoint, 75)
        self.assertThat(self.expected_end_s(task), Equals(1.0))
        self.pool.end(task)
        self.assertThat(self.scheduler.counts["runs_slow"], Equals(0))
        self.assertThat(self.endpoint.slowness, Equals(1.0))

    def test_progress_of_a_run_that_has_ended_is_ignored(self):
        (task,) = self.start()
        self.pool.end(task)
        self.scheduler.note_progress(task, self.endpoint, 50)
        self.assertThat(task.progress.percent, Equals(0))

    def test_a_task_that_starts_again_has_a_new_progress(self):
        (task,) = self.start()
        self.pool.now_s += 0.35
        self.scheduler.note_progress(task, self.endpoint, 25)
        self.scheduler.requeue_lost(task, self.endpoint, reason="test")
        self.scheduler.start_waiting()
        self.assertThat(task.progress.projected_end_s(), Equals(None))
        self.assertTrue(self.expected_end_s(task) < 0.3, self.expected_end_s(task))

    def test_a_new_scheduler_knows_nothing(self):
        for number in range(8):
            (task,) = self.start(f"j{number}")
            self.pool.now_s += 1.0
            self.pool.end(task)
        self.assertTrue(self.endpoint.slowness > 2.0, self.endpoint.slowness)
        (task,) = VirtualPool(entry(1)).submit("j1", step(estimate_s=0.2)).tasks
        self.assertThat(task.job.times.ratio, Equals(1.0))

    def test_the_dump_has_the_speeds_of_endpoints_and_queues(self):
        for number in range(8):
            (task,) = self.start(f"j{number}")
            self.pool.now_s += 0.21
            self.pool.end(task)
        dump = dump_scheduler(self.scheduler, self.pool.now_s)
        self.assertThat(dump["queues"]["checks"]["runs"], Equals(8))
        self.assertTrue(0.9 < dump["queues"]["checks"]["ratio"] < 1.1, dump)
        self.assertTrue(0.9 < dump["endpoints"][0]["slowness"] < 1.1, dump)
