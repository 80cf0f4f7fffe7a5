from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._models import JobOutcome, RunEndKind
from burdocklug.pools.contention import find_hopeless_reason
from tests.pools.builders import VirtualPool, entry, step
from tests.pools.contention.jobs import NOW_S, waiting_job


class UnstartedJobTest(TestCase):
    def test_a_job_that_may_be_in_time_is_not_hopeless(self):
        self.assertThat(find_hopeless_reason(waiting_job("j1"), NOW_S + 0.3), Equals(""))

    def test_a_job_whose_answer_would_be_useless_is_hopeless(self):
        self.assertThat(find_hopeless_reason(waiting_job("j1"), NOW_S + 1.1), Equals("too_late"))

    def test_the_waves_that_a_job_is_planned_in_do_not_make_it_hopeless(self):
        job = waiting_job("j1", tasks=8, wave=2)
        self.assertThat(find_hopeless_reason(job, NOW_S + 0.9), Equals(""))

    def test_a_job_whose_caller_waits_for_less_than_its_estimate_is_not_judged(self):
        job = waiting_job("j1", estimate_s=30.0, wait_s=9.0)
        self.assertThat(find_hopeless_reason(job, NOW_S + 3.0), Equals(""))

    def test_a_job_that_waits_for_runs_of_another_scheduler_is_not_judged(self):
        pool = VirtualPool(entry(1))
        job = pool.submit("j1", since_heard_s=0.1)
        self.assertThat(find_hopeless_reason(job, pool.now_s + 1.4), Equals(""))


class StartedJobTest(TestCase):
    """One of two tasks failed and waits again, or runs on an endpoint that has become slow."""

    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(entry(1))
        self.job = self.pool.submit("j1", step(2, estimate_s=0.6))

    def fail_one_on_a_full_pool(self):
        self.pool.scheduler.endpoints["e1"].usable = False
        self.pool.end(self.job.tasks[0], RunEndKind.FAILED)

    def report_progress(self, percent):
        endpoint = self.pool.scheduler.endpoints["e1"]
        self.pool.scheduler.note_progress(self.job.tasks[0], endpoint, percent)

    def expire(self, after_s):
        self.pool.now_s += after_s
        self.pool.scheduler.expire_overdue()

    def test_a_job_ends_when_its_waiting_task_can_not_be_done_before_its_caller_leaves(self):
        self.fail_one_on_a_full_pool()
        self.expire(1.1)
        self.assertThat(self.job.outcome, Equals(None))
        self.expire(0.15)
        self.assertThat(self.job.outcome, Equals(JobOutcome.EXPIRED))
        self.assertThat([t.name for t, _ in self.pool.orders.stopped], Equals(["j1.0.0.1"]))

    def test_a_late_answer_is_still_delivered(self):
        self.expire(1.4)
        self.pool.end_all(self.job)
        self.assertThat(self.job.outcome, Equals(JobOutcome.COMPLETED))

    def test_a_job_ends_when_the_progress_of_a_run_shows_that_it_ends_too_late(self):
        self.pool.now_s += 0.5
        self.report_progress(17)
        self.expire(0.0)
        self.assertThat(self.job.outcome, Equals(JobOutcome.EXPIRED))

    def test_the_progress_of_an_earlier_run_says_nothing_of_the_next(self):
        self.pool.now_s += 0.5
        self.report_progress(17)
        self.pool.end(self.job.tasks[0], RunEndKind.LAPSED)
        self.expire(0.1)
        self.assertThat(self.job.outcome, Equals(None))

    def test_given_up_jobs_count_as_refused(self):
        self.fail_one_on_a_full_pool()
        self.expire(1.25)
        counts = self.pool.scheduler.counts
        self.assertThat(counts["unanswered_ends_after_caller_leaves"], Equals(1))
        row = self.pool.scheduler.contention.dump(self.pool.now_s)["recent_refusals"][-1]
        self.assertThat((row["job"], row["reason"]), Equals(("j1", "ends_after_caller_leaves")))


class UnusableViewTest(TestCase):
    def test_a_waiting_job_is_refused_when_too_late_though_no_pass_is_made(self):
        pool = VirtualPool(entry(1))
        pool.scheduler.endpoints["e1"].usable = False
        job = pool.submit("j1")
        woken = []
        job.waiters.append(woken.append)
        pool.now_s += 1.05
        pool.scheduler.expire_overdue()
        self.assertThat((woken, job.outcome, job.started), Equals(([job], None, False)))
