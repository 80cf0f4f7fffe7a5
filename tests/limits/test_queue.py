import testtools

from burdocklug.limits import FairQueue, QueueFull
from burdocklug.limits._queue_lines import SMALL_JOB_CREDIT_S


def fill(queue, team, job, count, cost_s=0.1):
    for index in range(count):
        queue.push((job, index), team=team, job=job, cost_s=cost_s)


class TestFairQueue(testtools.TestCase):
    def test_one_flooding_team_among_75_does_not_delay_the_others(self):
        queue = FairQueue(max_tasks=20_000)
        fill(queue, "flood", "big", 10_000)
        for number in range(74):
            fill(queue, f"team-{number}", f"job-{number}", 2)
        popped = [queue.pop().team for _ in range(150)]
        self.assertEqual(2, popped.count("flood"))

    def test_weights_share_slot_time(self):
        queue = FairQueue(max_tasks=1000)
        queue.set_weight("heavy", 3)
        fill(queue, "heavy", "h", 300)
        fill(queue, "light", "l", 300)
        popped = [queue.pop().team for _ in range(200)]
        self.assertEqual(150, popped.count("heavy"))

    def test_long_tasks_cost_their_team_more_turns(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "long", "l", 100, cost_s=1.0)
        fill(queue, "short", "s", 100, cost_s=0.1)
        popped = [queue.pop().team for _ in range(55)]
        self.assertEqual(5, popped.count("long"))

    def test_jobs_of_a_team_take_turns(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "big", 100)
        fill(queue, "a", "single", 1)
        self.assertIn("single", [queue.pop().job for _ in range(2)])

    def test_large_jobs_of_a_team_take_turns(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "first", 50)
        fill(queue, "a", "second", 50)
        popped = [queue.pop().job for _ in range(60)]
        self.assertEqual(["first", "second"] * 30, popped)

    def test_a_team_gains_no_credit_while_idle(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "j", 100)
        for _ in range(50):
            queue.pop()
        fill(queue, "b", "k", 50)
        popped = [queue.pop().team for _ in range(20)]
        self.assertEqual(10, popped.count("b"))

    def test_teams_over_quota_keep_their_turn(self):
        queue = FairQueue(max_tasks=10)
        fill(queue, "a", "j", 1)
        fill(queue, "b", "k", 1)
        self.assertEqual("b", queue.pop(lambda team: team != "a").team)
        self.assertIsNone(queue.pop(lambda team: team != "a"))
        self.assertEqual("a", queue.pop().team)

    def test_push_beyond_the_bound_is_refused_and_queues_nothing(self):
        queue = FairQueue(max_tasks=2)
        fill(queue, "a", "j", 2)
        self.assertRaises(QueueFull, fill, queue, "b", "k", 1)
        self.assertEqual(2, len(queue))
        self.assertEqual(0, queue.cancel_job("k"))

    def test_cancelled_tasks_are_never_popped(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "gone", 100)
        queue.pop()
        fill(queue, "a", "kept", 2)
        self.assertEqual(99, queue.cancel_job("gone"))
        self.assertEqual(2, len(queue))
        fill(queue, "a", "gone", 1)
        self.assertEqual(["kept", "gone", "kept"], [queue.pop().job for _ in range(3)])
        self.assertIsNone(queue.pop())

    def test_expected_wait_counts_other_teams_up_to_their_share(self):
        queue = FairQueue(max_tasks=10_000)
        fill(queue, "flood", "big", 5000)
        wait_s = queue.expected_wait_s(team="b", slots=10, job_cost_s=1.0)
        self.assertAlmostEqual(0.2, wait_s)
        self.assertAlmostEqual(50.0, queue.expected_wait_s(team="flood", slots=10))

    def test_small_tasks_are_the_last_few_of_each_job(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "big", 6)
        fill(queue, "b", "single", 1)
        fill(queue, "b", "gone", 3)
        self.assertEqual(4, queue.small_job_tasks())
        queue.cancel_job("gone")
        counts = []
        while queue.pop() is not None:
            counts.append(queue.small_job_tasks())
        self.assertEqual([0, 0, 4, 3, 2, 1, 0], counts)

    def test_a_single_request_does_not_wait_for_what_its_team_used(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "big", 50, cost_s=0.3)
        fill(queue, "b", "other", 50, cost_s=0.1)
        for _ in range(40):
            queue.pop()
        fill(queue, "a", "long", 1, cost_s=5.0)
        self.assertEqual("long", queue.pop().job)
        fill(queue, "a", "single", 1)
        self.assertEqual("single", queue.pop().job)

    def test_single_requests_precede_other_teams_by_the_credit_only(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "b", "big", 500)
        for number in range(500):
            fill(queue, "a", f"single-{number}", 1)
        popped = [queue.pop().team for _ in range(400)]
        ahead_s = 0.1 * (popped.count("a") - popped.count("b"))
        self.assertAlmostEqual(SMALL_JOB_CREDIT_S, ahead_s, delta=0.3)

    def test_single_requests_do_not_starve_a_large_job_of_their_team(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "big", 100, cost_s=0.5)
        for number in range(500):
            fill(queue, "a", f"single-{number}", 1, cost_s=0.5)
        turns = [n for n in range(100) if queue.pop().job == "big"]
        self.assertEqual([20, 41, 62, 83], turns)

    def test_a_team_is_not_charged_for_the_credit_of_others(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "big", 100)
        fill(queue, "b", "single", 1, cost_s=9.0)
        queue.pop()
        fill(queue, "c", "late", 100)
        popped = [queue.pop().team for _ in range(40)]
        self.assertEqual(20, popped.count("c"))

    def test_the_share_of_small_jobs_follows_the_starts(self):
        queue = FairQueue(max_tasks=2000)
        fill(queue, "a", "big", 1000)
        for number in range(300):
            fill(queue, "b", f"single-{number}", 1)
            for _ in range(3):
                queue.pop()
        self.assertAlmostEqual(1 / 3, queue.small_job_share(), delta=0.03)
