"""A process that was paused sends no order before it knows whether it is still the scheduler."""

from types import SimpleNamespace

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import TimerService
from burdocklug.pools._directory import Directory
from burdocklug.pools._followers import Followers
from burdocklug.pools._jobs import TaskState
from burdocklug.pools._leader import SETTLE_S, Leader
from burdocklug.pools._messages import Claim, FollowerHeartbeat, SubmitJob
from burdocklug.pools._pause import CHECK_PERIOD_S, MAX_PAUSE_S, PauseDetector
from tests.pools.builders import entry, spec, step
from tests.pools.fake_endpoint import FakeEndpoint
from tests.pools.test_endpoint import AgentTestCase

OWN = "10.0.0.1:7000~000000000000000010123abcd"
PAUSE_S = 3.0
STEP_S = 0.05


class PauseDetectorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s, self.boot_s = 100.0, 500.0
        self.detector = PauseDetector(lambda: self.now_s, boot_now=lambda: self.boot_s)

    def test_a_stopped_process_counts_as_paused_until_the_pause_is_taken(self):
        self.now_s += PAUSE_S
        self.boot_s += PAUSE_S
        self.assertTrue(self.detector.is_paused())
        self.assertThat(round(self.detector.take_pause_s(), 3), Equals(PAUSE_S - CHECK_PERIOD_S))
        self.assertFalse(self.detector.is_paused())

    def test_a_suspended_host_is_detected_by_the_boot_clock(self):
        self.boot_s += PAUSE_S
        self.assertTrue(self.detector.is_paused())

    def test_a_late_loop_is_no_pause(self):
        self.now_s += MAX_PAUSE_S
        self.assertFalse(self.detector.is_paused())


class FakeNetwork:
    """Network of a process without peers."""

    incarnation = OWN

    def __init__(self):
        self.handlers = {}

    def register(self, message_type, handler=None, *, inline=False):
        self.handlers[message_type] = handler


class YieldingEndpoint(FakeEndpoint):
    """Lets other greenlets run before each report, as a report over a network does."""

    def renew(self, entry, **options):
        eventlet.sleep(0)
        return super().renew(entry, **options)


class LeaderTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = [100.0]
        self.timers = TimerService(now=lambda: self.clock[0])
        self.endpoint = YieldingEndpoint(self.clock, run_s=30.0)
        self.network = FakeNetwork()
        self.followers = Followers(timeout_s=0.8)
        self.detector = PauseDetector(self.timers.now, boot_now=lambda: 0.0)
        directory = Directory()
        directory.put(entry(1))
        self.leader = Leader(
            self.network,
            self.timers,
            directory,
            self.endpoint,
            SimpleNamespace(followers=self.followers),
            SimpleNamespace(take_max_lag_s=lambda: 0.0, recent_lag_s=0.0),
            lease_s=1.0,
            distance_factor=1.5,
            is_paused=self.detector.is_paused,
        )
        self.leader.apply_claim(Claim(True, 1, OWN))
        self.addCleanup(self.leader.apply_claim, None)
        self.pass_time(2 * SETTLE_S)

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock[0] += STEP_S
            self.detector.take_pause_s()
            self.run_due()

    def run_due(self):
        self.timers.run_due()
        AgentTestCase.run_greenlets()

    def add_job(self):
        return self.leader.scheduler.submit(
            spec("j1", step(estimate_s=30.0)), received_s=self.clock[0], wait_s=90.0
        )


class PausedLeaderTest(LeaderTestCase):
    """After a pause, the scheduler's own timers run before the one that checks for pauses."""

    def test_no_task_starts_before_the_pause_is_taken(self):
        self.add_job()
        self.clock[0] += PAUSE_S
        self.run_due()
        self.assertThat(self.endpoint.executed_starts, Equals([]))

    def test_tasks_start_after_a_pause_that_left_the_process_the_scheduler(self):
        self.add_job()
        self.clock[0] += PAUSE_S
        self.run_due()
        self.pass_time(0.5)
        self.assertThat(len(self.endpoint.executed_starts), Equals(1))

    def test_a_submission_that_arrives_in_a_pause_has_to_be_sent_again(self):
        self.clock[0] += PAUSE_S
        message = SubmitJob(spec("j2"), age_s=0.0, wait_s=1.0)
        with eventlet.Timeout(1.0):
            reply = self.network.handlers[SubmitJob](OWN, message)
        self.assertThat((reply.resubmit, reply.may_have_started), Equals((True, False)))
        self.assertThat(self.leader.scheduler.jobs, Equals({}))


class DeposedLeaderTest(LeaderTestCase):
    """A scheduler that another one replaces while it still runs."""

    def setUp(self):
        super().setUp()
        self.followers.note_heartbeat(
            "follower", FollowerHeartbeat(1, Claim(True, 1, OWN)), self.clock[0]
        )
        job = self.add_job()
        job.callers["follower"] += 1
        self.pass_time(0.1)
        self.assertThat(len(self.endpoint.runs), Equals(1))

    def depose(self):
        self.leader.apply_claim(Claim(True, 2, "10.0.0.2:7000~000000000000000020123abcd"))
        AgentTestCase.run_greenlets()

    def test_runs_of_a_follower_that_has_left_are_stopped(self):
        """The successor may not know their endpoint, and starts the job again 1.2 s later."""
        self.pass_time(0.4)
        self.depose()
        self.assertThat(self.endpoint.runs, Equals({}))

    def test_runs_of_a_follower_that_is_told_go_on(self):
        self.depose()
        self.assertThat(len(self.endpoint.runs), Equals(1))


class PausedAgentTest(AgentTestCase):
    def setUp(self):
        super().setUp()
        self.endpoint.run_s = 30.0
        self.take_over()

    def decide_start(self):
        """Decide to start a task; its order is sent by a greenlet that has not run yet."""
        job = self.scheduler.submit(
            spec("j1", step(estimate_s=30.0)), received_s=self.clock[0], wait_s=60.0
        )
        self.scheduler.start_waiting()
        return job

    def test_an_order_that_a_pause_delayed_is_not_sent(self):
        job = self.decide_start()
        self.is_paused = True
        self.run_greenlets()
        self.assertThat(self.endpoint.executed_starts, Equals([]))
        self.assertThat(job.tasks[0].state, Equals(TaskState.WAITING))

    def test_an_order_that_is_still_to_be_sent_when_the_role_is_handed_over_is_not_sent(self):
        self.decide_start()
        self.agent.close()
        self.run_greenlets()
        self.assertThat(self.endpoint.executed_starts, Equals([]))

    def test_no_lease_is_renewed_in_a_pause(self):
        self.decide_start()
        self.run_greenlets()
        self.clock[0] += 0.7
        lease_ms, self.is_paused = self.endpoint.lease_ms, True
        self.endpoint.report_hold = eventlet.event.Event()  # ends the loop's reports
        self.agent.begin()
        self.addCleanup(self.agent.close)
        self.run_greenlets()
        self.assertThat(self.endpoint.waits_s[2:], Equals([]))
        self.assertThat(self.endpoint.lease_ms, Equals(lease_ms))
