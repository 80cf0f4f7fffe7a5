"""A process that was paused sends no order before it knows whether it is still the scheduler."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._pause import CHECK_PERIOD_S, MAX_PAUSE_S, PauseDetector
from burdocklug.pools.scheduling._jobs import TaskState
from tests.pools.agents.test_endpoint import AgentTestCase
from tests.pools.builders import spec, step

PAUSE_S = 3.0


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

    def test_a_pause_that_has_just_ended_is_told_though_it_was_handled(self):
        """A stop signal may have come at its beginning, and the grace period with it."""
        clock = [0.0]
        detector = PauseDetector(lambda: clock[0], boot_now=lambda: 0.0)
        self.assertThat(detector.recent_pause_s(), Equals(0))
        clock[0] += 3.1
        self.assertThat(detector.recent_pause_s(), Equals(3.0))
        detector.take_pause_s()
        self.assertThat(detector.recent_pause_s(), Equals(3.0))
        clock[0] += 0.1
        detector.take_pause_s()
        self.assertThat(detector.recent_pause_s(), Equals(0))

    def test_a_suspended_host_is_detected_by_the_boot_clock(self):
        self.boot_s += PAUSE_S
        self.assertTrue(self.detector.is_paused())

    def test_a_late_loop_is_no_pause(self):
        self.now_s += MAX_PAUSE_S
        self.assertFalse(self.detector.is_paused())


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
