import testtools

from burdocklug.limits import FairQueue, QueueFull


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

    def test_a_team_that_was_away_gets_no_credit(self):
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

    def test_push_beyond_the_bound_is_refused_and_leaves_nothing(self):
        queue = FairQueue(max_tasks=2)
        fill(queue, "a", "j", 2)
        self.assertRaises(QueueFull, fill, queue, "b", "k", 1)
        self.assertEqual(2, len(queue))
        self.assertEqual(0, queue.cancel_job("k"))

    def test_cancelled_tasks_are_never_popped(self):
        queue = FairQueue(max_tasks=1000)
        fill(queue, "a", "gone", 100)
        fill(queue, "a", "kept", 2)
        queue.pop()
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
        self.assertEqual(4, queue.small_tasks())
        queue.cancel_job("gone")
        counts = []
        while queue.pop() is not None:
            counts.append(queue.small_tasks())
        self.assertEqual([1, 0, 4, 3, 2, 1, 0], counts)
