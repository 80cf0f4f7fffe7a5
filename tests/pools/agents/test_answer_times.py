from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._models import JobOutcome
from burdocklug.pools.agents._answer_times import FIRST_SLACK_S, MAX_SLACK_S, AnswerTimes
from burdocklug.pools.agents._order_sender import START_TIMEOUT_S
from tests.pools.agents.test_endpoint import AgentTestCase
from tests.pools.builders import step

LATE_S = 0.1  # time that each answer takes at a scheduler that is overloaded


class AnswerTimesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.times = AnswerTimes()

    def test_lost_answers_at_a_prompt_loop_leave_the_timeouts_short(self):
        """15 % of the answers are lost on some days, and a lost one delays ends of runs."""
        for _ in range(20):
            self.times.note_missed(loop_lag_s=0.001)
            self.times.note_answer(0.004)
        self.assertThat(self.times.slack_s, Equals(0.0))

    def test_lost_answers_at_a_busy_loop_leave_the_timeouts_short(self):
        """A lag of 0.01 s does not explain an answer that is missing after 0.04 s."""
        for _ in range(20):
            self.times.note_missed(loop_lag_s=0.01)
        self.assertThat(self.times.slack_s, Equals(0.0))

    def test_timeouts_grow_until_late_answers_arrive_in_time(self):
        base_s, missed = 0.04, 0
        for _ in range(100):
            if LATE_S > base_s + self.times.slack_s:
                missed += 1
                self.times.note_missed(loop_lag_s=0.08)
            else:
                self.times.note_answer(LATE_S)
        self.assertTrue(missed <= 3, missed)

    def test_timeouts_are_bounded_and_short_again_after_the_overload(self):
        for _ in range(50):
            self.times.note_missed(loop_lag_s=0.4)
        self.assertThat(self.times.slack_s, Equals(MAX_SLACK_S))
        for _ in range(150):
            self.times.note_answer(0.004)
        self.assertThat(self.times.slack_s, Equals(0.0))


class LateAgentTest(AgentTestCase):
    """Orders of a scheduler whose loop is late."""

    def setUp(self):
        super().setUp()
        self.endpoint.run_s = 30.0
        self.timeouts_s = {"start": [], "renew": [], "stop": []}
        self.take_over()
        for call, seen in self.timeouts_s.items():
            self._record_timeouts(call, seen)

    def _record_timeouts(self, call, seen):
        send = getattr(self.endpoint, call)

        def record(entry, *, timeout_s, **options):
            seen.append(timeout_s - options.get("wait_s", 0.0))
            return send(entry, timeout_s=timeout_s, **options)

        setattr(self.endpoint, call, record)

    def test_missed_answers_at_a_late_loop_extend_the_timeouts_of_all_orders(self):
        self.loop_lag_s = 0.08
        job = self.submit("j1", step(estimate_s=30.0))
        self.endpoint.lost_calls.add("start")
        self.submit("j2", step(estimate_s=30.0))
        self.endpoint.lost_calls.clear()
        self.pass_time(0.4)
        self.scheduler.suspend(job)
        self.run_greenlets()
        for call, seen in self.timeouts_s.items():
            self.assertTrue(seen[-1] > START_TIMEOUT_S + FIRST_SLACK_S / 2, (call, seen))

    def test_ends_that_a_late_loop_reads_late_do_not_make_endpoints_look_slow(self):
        """The loop's own lag made all endpoints look six times slower, and all jobs too late."""
        self.endpoint.run_s = 0.06
        self.loop_lag_s = 0.08
        for number in range(20):
            job = self.submit(f"j{number}", step(estimate_s=0.06))
            self.pass_time(0.3)
            self.assertThat(job.outcome, Equals(JobOutcome.COMPLETED))
        self.assertThat(self.agent.endpoint.slowness, Equals(1.0))

    def test_a_slow_endpoint_is_detected_by_long_runs_although_the_loop_is_late(self):
        self.endpoint.run_s = 6.0
        self.loop_lag_s = 0.08
        self.submit("j1", step(estimate_s=2.0))
        for _ in range(20):
            self.pass_time(0.3)
        self.assertTrue(self.agent.endpoint.slowness > 1.1, self.agent.endpoint.slowness)
