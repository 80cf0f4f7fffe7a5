import random

import testtools

from burdocklug.kernel import ErrorKind
from burdocklug.limits import (
    AdmissionLimits,
    EndpointSize,
    FairQueue,
    JobDemand,
    QueueFull,
    RunTimes,
    TaskImpossible,
    WouldMissDeadline,
    admit,
)

LIMITS = AdmissionLimits(
    max_tasks=100,
    endpoints=(EndpointSize(8), EndpointSize(2, accelerators=1)),
    slots=10,
    team_slots=10,
    team_quota=10,
)


class TestAdmission(testtools.TestCase):
    def refusal(self, error, job, queue=None, limits=LIMITS):
        queue = FairQueue(max_tasks=1000) if queue is None else queue
        return self.assertRaises(error, admit, job, queue=queue, limits=limits)

    def test_impossible_jobs_are_refused_with_the_exceeded_limit(self):
        cases = [
            (JobDemand("a", (0.1,) * 101, 60.0), "job has 101 tasks, max_tasks is 100"),
            (JobDemand("a", (0.1,), 60.0, accelerators=2), "task needs 2 accelerators"),
            (JobDemand("a", (0.1,), 60.0, slots=9), "task needs 9 slots"),
            (JobDemand("a", (0.1,), 60.0, slots=4, accelerators=1), "both 4 slots and 1"),
        ]
        for job, expected in cases:
            exc = self.refusal(TaskImpossible, job)
            self.assertIn(expected, exc.message)
            self.assertEqual(ErrorKind.TASK_IMPOSSIBLE, exc.kind)

    def test_a_job_that_does_not_fit_the_queue_leaves_it_unchanged(self):
        queue = FairQueue(max_tasks=5)
        self.refusal(QueueFull, JobDemand("a", (0.1,) * 6, 60.0), queue)
        self.assertEqual(0, len(queue))

    def test_a_job_that_would_miss_its_deadline_is_refused_with_retry_after(self):
        queue = FairQueue(max_tasks=1000)
        for number in range(500):
            queue.push(number, team="a", job="j", cost_s=1.0)
        exc = self.refusal(WouldMissDeadline, JobDemand("a", (1.0,) * 5, 11.0), queue)
        self.assertAlmostEqual(40.4, exc.retry_after_s)

    def test_a_single_request_is_admitted_beside_a_large_job_of_its_team(self):
        queue = FairQueue(max_tasks=1000)
        for number in range(500):
            queue.push(number, team="a", job="j", cost_s=1.0)
        self.assertEqual(1.0, admit(JobDemand("a", (1.0,), 2.0), queue=queue, limits=LIMITS))

    def test_single_requests_wait_for_each_other(self):
        queue = FairQueue(max_tasks=1000)
        for number in range(500):
            queue.push(number, team="a", job=f"j{number}", cost_s=1.0)
        exc = self.refusal(WouldMissDeadline, JobDemand("a", (1.0,), 11.0), queue)
        self.assertAlmostEqual(40.0, exc.retry_after_s)

    def test_wait_of_a_large_job_includes_later_arrivals_of_other_teams(self):
        job = JobDemand("a", (1.0,) * 61, 10.0)
        queue = FairQueue(max_tasks=1000)
        self.assertAlmostEqual(7.0, admit(job, queue=queue, limits=LIMITS))
        queue.push("other", team="b", job="j", cost_s=1.0)
        exc = self.refusal(WouldMissDeadline, job, queue)
        self.assertAlmostEqual(1.0 + 4 * 6.1 - 10.0, exc.retry_after_s)

    def test_another_team_is_admitted_while_one_team_floods_the_queue(self):
        queue = FairQueue(max_tasks=1000)
        for number in range(500):
            queue.push(number, team="flood", job="j", cost_s=1.0)
        answer_s = admit(JobDemand("b", (1.0,), 2.0), queue=queue, limits=LIMITS)
        self.assertLess(answer_s, 2.0)

    def test_a_small_quota_lengthens_the_wait(self):
        limits = AdmissionLimits(100, LIMITS.endpoints, 10, team_slots=1, team_quota=1)
        self.refusal(WouldMissDeadline, JobDemand("a", (1.0,) * 5, 4.0), limits=limits)


class TestRunTimes(testtools.TestCase):
    def observe_tasks(self, error):
        rng = random.Random(4)
        times = RunTimes()
        for _ in range(2000):
            run_s = 0.05 * 20 ** rng.random()
            times.observe("a", declared_s=run_s * error(rng), run_s=run_s)
        return times

    def test_a_constant_error_of_ten_times_is_corrected(self):
        for factor in (0.1, 10.0):
            times = self.observe_tasks(lambda rng, factor=factor: factor)
            self.assertAlmostEqual(
                0.4, times.expected_run_s("a", declared_s=0.4 * factor), places=2
            )

    def test_declared_times_that_err_by_ten_times_are_corrected_towards_the_mean(self):
        times = self.observe_tasks(lambda rng: 10 ** rng.uniform(-1, 1))
        for declared_s in (0.005, 10.0):  # extreme declared times of tasks of 0.05 s and 1 s
            self.assertTrue(0.03 < times.expected_run_s("a", declared_s=declared_s) < 1.8)
        self.assertTrue(0.25 < times.expected_run_s("a", declared_s=None) < 0.4)

    def test_exact_times_are_kept(self):
        times = self.observe_tasks(lambda rng: 1.0)
        self.assertAlmostEqual(0.7, times.expected_run_s("a", declared_s=0.7), places=3)
