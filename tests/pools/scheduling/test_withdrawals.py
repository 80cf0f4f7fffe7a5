"""Jobs that a process withdraws, as their callers have left or the process shuts down."""

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._models import JobOutcome, RunEndKind
from tests.pools.builders import VirtualPool, entry, step


class WithdrawnJobTest(TestCase):
    """Guards against runs of a job that nobody waits for (review/6)."""

    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(entry(1))
        self.scheduler = self.pool.scheduler

    def submit(self, *steps, sender="north-1", **options):
        job = self.pool.submit("j1", *steps, wait_s=30.0, **options)
        job.callers[sender] += 1
        return job

    def withdraw(self, job, *, sender="north-1", only_waiting=False):
        self.scheduler.withdraw(job, sender, only_waiting=only_waiting)

    def test_its_runs_are_stopped(self):
        job = self.submit(step(2))
        self.withdraw(job)
        self.assertThat((len(self.pool.orders.stopped), job.suspended), Equals((2, True)))

    def test_a_caller_at_another_process_keeps_its_runs(self):
        job = self.submit(step(2))
        self.submit(sender="south-1")
        self.withdraw(job)
        self.assertThat(self.pool.orders.stopped, Equals([]))
        self.pool.end_all(job)
        self.assertThat(job.outcome, Equals(JobOutcome.COMPLETED))

    def test_its_runs_are_stopped_when_the_callers_at_all_processes_have_left(self):
        job = self.submit(step(2))
        self.submit(sender="south-1")
        self.withdraw(job)
        self.withdraw(job, sender="south-1")
        self.assertThat((len(self.pool.orders.stopped), job.suspended), Equals((2, True)))

    def test_a_process_whose_callers_still_wait_counts_beside_others(self):
        job = self.submit(step(2))
        self.submit(sender="south-1")
        self.withdraw(job, only_waiting=True)
        self.withdraw(job, sender="south-1")
        self.assertFalse(job.suspended)

    def test_it_is_not_cancelled_and_runs_when_it_is_submitted_again(self):
        job = self.submit(step(2))
        self.withdraw(job)
        for task in list(job.tasks):
            self.pool.end(task, RunEndKind.STOPPED)
        self.assertThat(len(self.pool.orders.started), Equals(2))
        again = self.submit(step(2), sender="south-1")
        self.assertThat((again, len(self.pool.orders.started)), Equals((job, 4)))
        self.pool.end_all(again)
        self.assertThat(again.outcome, Equals(JobOutcome.COMPLETED))

    def test_a_queued_one_is_dropped_and_never_starts(self):
        running = self.pool.submit("j0", step(2, cpu=8000), wait_s=30.0)
        queued = self.submit(step(1, cpu=8000))
        self.assertFalse(queued.started)
        self.withdraw(queued)
        self.pool.end_all(running)
        self.assertThat(len(self.pool.orders.started), Equals(2))
        self.assertNotIn("j1", self.scheduler.jobs)

    def test_one_whose_runs_another_scheduler_may_have_is_kept_without_a_start(self):
        job = self.submit(step(1), since_heard_s=1.1)
        self.withdraw(job)
        self.pool.now_s += 5.0
        self.scheduler.start_waiting()
        self.assertTrue(job.suspended)
        self.assertThat(self.pool.orders.started, Equals([]))

    def test_an_ended_one_stays_as_it_is(self):
        job = self.submit(step(1))
        self.pool.end_all(job)
        self.withdraw(job)
        self.assertThat((job.outcome, job.suspended), Equals((JobOutcome.COMPLETED, False)))
