"""Whole processes in virtual time: callers whose connections end send their jobs again."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools._models import JobOutcome
from tests.pools.builders import spec, step
from tests.pools.submitting.test_withdrawals import FakeCaller
from tests.pools.test_partitions import ENDPOINTS, PROCESSES, QUEUE
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time
from tests.scenarios import with_scenarios

RESUBMIT_S = 1.3
WAIT_S = 20.0
RUN_S = 3.5
END_TOLERANCE_S = 0.05  # time that an endpoint takes for a stop


def ends_of(deployment, *, after_s=float("-inf")):
    """Return when the runs that began after a time ended, still active ones as infinity."""
    return [row[3] or float("inf") for row in deployment.history if row[2] > after_s]


@with_scenarios
class CutOffCallerTest(TestCase):
    """A caller at one side of a cut leaves and sends its job again to another process.

    Guards against runs on both sides because the first ones still have a caller (review/6).
    """

    scenarios = [
        (f"{left_s} s after the cut, {place}", {"left_s": left_s, "place": place})
        for left_s in (-1.0, -0.6, -0.3, -0.1, 0.0, 0.1, 0.3, 0.6, 0.9, 1.5, 3.0)
        for place in ("follower", "scheduler", "outside")
    ]

    def test_no_task_runs_twice_at_once(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=RUN_S).start()
            leader = deployment.scheduler()
            zone = leader.failure_domain
            follower = next(n for n in PROCESSES if PROCESSES[n] == zone and n != leader.name)
            outside = [n for n in PROCESSES if PROCESSES[n] != zone]
            places = {"follower": follower, "scheduler": leader.name, "outside": outside[0]}
            callers = [FakeCaller() for _ in range(6)]
            jobs = [spec(f"j{n}", step(2, estimate_s=RUN_S), rule=QUEUE) for n in range(6)]
            for job, caller in zip(jobs, callers, strict=True):
                deployment.submit(places[self.place], job, wait_s=WAIT_S, caller=caller)
            cut_s, leave_s = 1.2 + max(0.0, -self.left_s), 1.2 + max(0.0, self.left_s)
            eventlet.spawn_after(cut_s, lambda: deployment.cut_off(zone, for_s=8.0))
            eventlet.sleep(leave_s)
            for caller in callers:
                caller.leave()
            eventlet.sleep(RESUBMIT_S)
            answers = [
                deployment.submit(outside[n % 2], job, wait_s=WAIT_S) for n, job in enumerate(jobs)
            ]
            eventlet.sleep(14.0)
            return deployment.overlaps(), answers

        overlaps, answers = run_in_virtual_time(scenario)
        self.assertThat(overlaps, Equals([]))
        self.assertThat(answers, Equals([[JobOutcome.COMPLETED]] * 6))


class WholePoolTest(TestCase):
    """A caller leaves while nothing is cut off."""

    def play(self, *, kill_after_s=None):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=RUN_S).start()
            leader = deployment.scheduler().name
            names = [name for name in PROCESSES if name != leader]
            caller, job = FakeCaller(), spec("j1", step(2, estimate_s=RUN_S), rule=QUEUE)
            deployment.submit(names[0], job, wait_s=WAIT_S, caller=caller)
            eventlet.sleep(0.7)
            caller.leave()
            left_s = now_s()
            if kill_after_s is not None:
                eventlet.spawn_after(kill_after_s, deployment.kill, leader)
            eventlet.sleep(RESUBMIT_S)
            ends = [end_s - left_s for end_s in ends_of(deployment)]
            answers = deployment.submit(names[1], job, wait_s=WAIT_S)
            eventlet.sleep(8.0)
            return deployment.overlaps(), ends, answers

        return run_in_virtual_time(scenario)

    def test_the_runs_have_stopped_before_the_job_may_come_again_and_it_runs_then(self):
        overlaps, ends, answers = self.play()
        self.assertThat(overlaps, Equals([]))
        self.assertThat(max(ends), LessThan(0.2))
        self.assertThat(answers, Equals([JobOutcome.COMPLETED]))

    def test_they_have_also_stopped_if_the_scheduler_is_killed_meanwhile(self):
        for kill_after_s in (0.0, 0.001, 0.1, 0.5, 0.9, 1.2):
            overlaps, ends, answers = self.play(kill_after_s=kill_after_s)
            self.assertThat(overlaps, Equals([]))
            self.assertThat(max(ends), LessThan(RESUBMIT_S - END_TOLERANCE_S))
            self.assertThat(answers, Equals([JobOutcome.COMPLETED]))

    def test_a_second_submission_that_has_joined_keeps_its_runs(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=RUN_S).start()
            names = list(PROCESSES)
            answers, callers = [], [FakeCaller() for _ in range(4)]
            for number, caller in enumerate(callers):
                job = spec("j1", step(2, estimate_s=RUN_S), rule=QUEUE)
                place = names[number // 2]  # two callers at each of two processes
                answers.append(deployment.submit(place, job, wait_s=WAIT_S, caller=caller))
                eventlet.sleep(0.1)
            for caller in callers[:3]:
                caller.leave()
                eventlet.sleep(0.1)
            eventlet.sleep(8.0)
            return answers[3], len(deployment.history)

        answers, starts = run_in_virtual_time(scenario)
        self.assertThat((answers, starts), Equals(([JobOutcome.COMPLETED], 2)))

    def test_its_runs_stop_if_the_caller_with_the_longest_wait_left_first(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=RUN_S).start()
            callers, job = [FakeCaller(), FakeCaller()], spec("j1", step(2), rule=QUEUE)
            for name, caller, wait_s in zip(PROCESSES, callers, (WAIT_S, 1.0), strict=False):
                deployment.submit(name, job, wait_s=wait_s, caller=caller)
            for caller in callers:
                eventlet.sleep(0.4)
                caller.leave()
            left_s = now_s()
            eventlet.sleep(RESUBMIT_S)
            return [end_s - left_s for end_s in ends_of(deployment)]

        self.assertThat(max(run_in_virtual_time(scenario)), LessThan(0.2))


@with_scenarios
class FrozenFollowerTest(TestCase):
    """A client's process is frozen while the client leaves, and learns of it when it wakes."""

    scenarios = [(f"{for_s} s", {"for_s": for_s}) for for_s in (0.2, 0.5, 0.8, 0.95, 1.2, 2.5)]

    def test_runs_have_stopped_before_the_job_may_come_again(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=8.0).start()
            name = next(n for n in PROCESSES if n != deployment.scheduler().name)
            caller, job = FakeCaller(), spec("j1", step(2, estimate_s=8.0), rule=QUEUE)
            deployment.submit(name, job, wait_s=WAIT_S, caller=caller)
            eventlet.sleep(0.5)
            others = (set(deployment.domains) | {"store"}) - {name}
            deployment.links.cut("in", others, {name})
            deployment.links.cut("out", {name}, others)
            left_s = now_s()
            eventlet.sleep(self.for_s)
            deployment.links.heal("in")
            deployment.links.heal("out")
            caller.leave()
            eventlet.sleep(4.0)
            return [end_s - left_s for end_s in ends_of(deployment)]

        ends = run_in_virtual_time(scenario)
        self.assertThat(len(ends), Equals(2))
        self.assertThat(max(ends), LessThan(RESUBMIT_S - END_TOLERANCE_S))


@with_scenarios
class FollowerCutOffTest(TestCase):
    """A client's process is cut off from its scheduler when the client leaves."""

    scenarios = [
        (f"{how}, {left_s} s after the cut", {"how": how, "left_s": left_s})
        for how in ("in", "out", "both")
        for left_s in (0.0, 0.3, 0.6)
    ]

    def test_runs_have_stopped_before_the_job_may_come_again(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=8.0).start()
            leader = deployment.scheduler().name
            name = next(n for n in PROCESSES if n != leader)
            caller, job = FakeCaller(), spec("j1", step(2, estimate_s=8.0), rule=QUEUE)
            deployment.submit(name, job, wait_s=WAIT_S, caller=caller)
            eventlet.sleep(0.5)
            if self.how in ("in", "both"):
                deployment.links.cut("in", {leader}, {name})
            if self.how in ("out", "both"):
                deployment.links.cut("out", {name}, {leader})
            eventlet.sleep(self.left_s)
            caller.leave()
            left_s = now_s()
            eventlet.sleep(3.0)
            return [end_s - left_s for end_s in ends_of(deployment)]

        ends = run_in_virtual_time(scenario)
        self.assertThat(len(ends), GreaterThan(1))
        self.assertThat(max(ends), LessThan(RESUBMIT_S - END_TOLERANCE_S))
