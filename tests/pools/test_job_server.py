"""Answers of the scheduler's process to refused callers."""

import eventlet
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools._messages import SubmitJob
from burdocklug.pools._retry_after import MAX_RETRY_S, MIN_RETRY_S
from tests.pools.builders import spec, step
from tests.pools.test_leader import OWN, LeaderTestCase

REFUSED_JOBS = 40


class RefusedCallersTest(LeaderTestCase):
    """The endpoint runs two tasks of 30 s, so that no other job can be in time."""

    def setUp(self):
        super().setUp()
        self.submit("busy", step(2, estimate_s=30.0), wait_s=90.0)
        self.pass_time(0.2)
        self.replies = [self.submit(f"j{number}") for number in range(REFUSED_JOBS)]
        self.pass_time(2.0)

    def submit(self, job_id, steps=None, *, wait_s=1.5):
        """Submit a job in the background; return a list that takes the reply."""
        replies = []
        message = SubmitJob(spec(job_id, steps or step(2)), age_s=0.0, wait_s=wait_s)
        handle = self.network.handlers[SubmitJob]
        thread = eventlet.spawn(lambda: replies.append(handle(OWN, message)))
        self.addCleanup(thread.kill)
        return replies

    def test_all_are_refused_and_none_has_run(self):
        self.assertThat([len(replies) for replies in self.replies], Equals([1] * REFUSED_JOBS))
        self.assertThat({replies[0].refused for replies in self.replies}, Equals({"overload"}))
        self.assertThat({replies[0].may_have_started for replies in self.replies}, Equals({False}))

    def test_callers_refused_together_are_told_different_times(self):
        delays = {replies[0].retry_after_s for replies in self.replies}
        self.assertThat(len(delays), GreaterThan(5))
        self.assertTrue(min(delays) >= MIN_RETRY_S, delays)
        self.assertThat(max(delays), LessThan(MAX_RETRY_S + 0.5))

    def test_a_job_that_comes_back_at_its_time_is_preferred(self):
        delay_s = self.replies[0][0].retry_after_s
        self.pass_time(max(0.0, delay_s - 2.0))
        self.submit("j0")
        self.submit("new")
        self.run_due()
        jobs = self.leader.scheduler.jobs
        self.assertThat((jobs["j0"].has_returned, jobs["new"].has_returned), Equals((True, False)))

    def test_the_callers_failure_domain_is_known(self):
        self.submit("known")
        self.run_due()
        self.assertThat(self.leader.scheduler.jobs["known"].caller_domain, Equals("north"))

    def test_the_dump_explains_a_refusal(self):
        rows = self.leader.dump()["contention"]["recent_refusals"]
        found = {row["job"]: row for row in rows}
        self.assertTrue(found["j0"]["reason"], found["j0"])
        self.assertIn("queue/checks", found["j0"]["classes"])
