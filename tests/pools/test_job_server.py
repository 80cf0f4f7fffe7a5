"""Answers of the scheduler's process to refused callers."""

import eventlet
import msgspec
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools._configuration import PoolConfiguration, QueueRule, ServiceRule
from burdocklug.pools._messages import SubmitJob
from burdocklug.pools._retry_after import MAX_RETRY_S, MIN_RETRY_S
from burdocklug.pools.scheduling._jobs import TASK_BYTES
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


class OlderConfigurationTest(LeaderTestCase):
    """A job that the caller's process accepted by an older configuration than the scheduler's.

    Guards against jobs that run by a rule that a newer version has changed or dropped (CONFIG).
    """

    OLD = QueueRule("checks", "press.example", "/press/", "press", priority=2)
    NEW = QueueRule("checks", "press.example", "/press/", "press", priority=0)

    def setUp(self):
        super().setUp()
        self.services = (ServiceRule("press"),)
        self.take(10, self.OLD)
        self.pass_time(0.2)

    def take(self, version, *queues):
        self.directory.take_configuration(
            PoolConfiguration(version, queues, self.services), source="test"
        )

    def submit(self, job_id="j1", *, version, **changes):
        """Submit a job in the background; return a list that takes the reply."""
        replies = []
        job = spec(job_id, step(1), rule=self.OLD)
        job = msgspec.structs.replace(job, configuration_version=version)
        message = SubmitJob(job, age_s=0.0, wait_s=5.0, **changes)
        handle = self.network.handlers[SubmitJob]
        thread = eventlet.spawn(lambda: replies.append(handle(OWN, message)))
        self.addCleanup(thread.kill)
        self.run_due()
        return replies

    def priority(self, job_id="j1"):
        return self.leader.scheduler.jobs[job_id].spec.queue.priority

    def test_a_job_of_the_same_version_goes_by_its_rule(self):
        self.submit(version=10)
        self.assertThat(self.priority(), Equals(2))

    def test_a_job_of_an_older_version_goes_by_the_newest_rule(self):
        self.take(12, self.NEW)
        self.submit(version=10)
        self.assertThat(self.priority(), Equals(0))

    def test_a_job_of_a_newer_version_goes_by_its_rule(self):
        self.submit(version=16)
        self.assertThat(self.priority(), Equals(2))

    def test_a_job_whose_queue_was_removed_is_refused_and_starts_nothing(self):
        self.take(12)
        replies = self.submit(version=10)
        self.assertThat([reply.is_queue_removed for reply in replies], Equals([True]))
        self.assertThat([reply.may_have_started for reply in replies], Equals([False]))
        self.assertThat(list(self.leader.scheduler.jobs), Equals([]))

    def test_a_job_that_was_accepted_before_the_change_goes_on(self):
        self.submit(version=10)
        self.take(12)
        replies = self.submit(version=10)
        self.assertThat(replies, Equals([]))

    def test_a_job_that_another_scheduler_may_have_begun_goes_on(self):
        self.take(12)
        replies = self.submit(version=10, since_heard_s=0.4)
        self.assertThat(replies, Equals([]))
        self.assertThat(self.priority(), Equals(2))


class FullMemoryTest(LeaderTestCase):
    """Guards against jobs that wait in such numbers that their scheduler runs out of memory."""

    def setUp(self):
        super().setUp()
        self.leader._server._max_job_bytes = 20 * TASK_BYTES + 10_000
        self.pass_time(0.2)

    def submit(self, job_id, count, **more):
        replies = []
        message = SubmitJob(spec(job_id, step(count, estimate_s=0.01)), 0.0, 60.0, **more)
        handle = self.network.handlers[SubmitJob]
        thread = eventlet.spawn(lambda: replies.append(handle(OWN, message)))
        self.addCleanup(thread.kill)
        eventlet.sleep(0)
        return replies

    def test_a_job_beyond_the_memory_is_refused_and_none_of_it_has_run(self):
        first = self.submit("j1", 20)
        [reply] = self.submit("j2", 30)
        self.assertThat((first, reply.refused), Equals(([], "memory")))
        self.assertThat((reply.may_have_started, reply.retry_after_s), Equals((False, MAX_RETRY_S)))
        self.assertThat(list(self.leader.scheduler.jobs), Equals(["j1"]))

    def test_the_same_job_and_one_that_may_have_run_elsewhere_are_not(self):
        self.submit("j1", 20)
        self.assertThat(self.submit("j1", 20), Equals([]))
        self.assertThat(self.submit("j2", 30, since_heard_s=0.1), Equals([]))

    def test_the_memory_of_jobs_that_are_forgotten_is_free_again(self):
        scheduler = self.leader.scheduler
        self.submit("j1", 20)
        self.submit("j2", 5)
        scheduler.drop_job(scheduler.jobs["j2"])
        scheduler.cancel("j1", longest_wait_s=0.0)
        self.pass_time(100.0)
        scheduler.forget_ended()
        self.assertThat((scheduler.jobs, scheduler.held_bytes), Equals(({}, 0)))
