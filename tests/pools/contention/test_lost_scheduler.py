"""The scheduler is lost in the middle of a burst; the next one begins with empty accounts."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.kernel import BurdocklugError, Ran
from burdocklug.pools._models import JobOutcome
from tests.pools.builders import spec, step
from tests.pools.contention.jobs import rule
from tests.pools.test_partitions import ENDPOINTS, PROCESSES
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time

WAIT_S = 1.5
REPLY_MARGIN_S = 0.5  # beyond its waiting time, in which a caller's process still waits for a reply
RUN_S = 0.2
QUEUE = rule(service="press-control")
JOBS, PERIOD_S = 160, 0.02


def play():
    """Return the answers, with the age of each, of callers of the processes that live on."""
    deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=RUN_S).start()
    lost = deployment.scheduler()
    names = [name for name in PROCESSES if name != lost.name]
    asked = []
    for number in range(JOBS):
        job = spec(f"{number:016x}", step(2, estimate_s=RUN_S), rule=QUEUE)
        row = [job.job_id, [], None]
        asked.append(row)
        eventlet.spawn(_ask, deployment, names[number % len(names)], job, row)
        eventlet.sleep(PERIOD_S)
        if number == JOBS // 3:
            counts_before = dict(lost.pool.leader.scheduler.counts)
            deployment.kill(lost.name)
    eventlet.sleep(4.0)
    successor = deployment.scheduler().pool.leader.scheduler
    return asked, {row[0].partition(".")[0] for row in deployment.history}, counts_before, successor


def _ask(deployment, name, job, row):
    began_s = now_s()
    try:
        row[1].append(deployment.processes[name].pool.cells.submit(job, wait_s=WAIT_S))
    except BurdocklugError as exc:
        row[1].append(exc)
    row[2] = now_s() - began_s


class LostSchedulerTest(TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.asked, cls.started, cls.counts_before, cls.successor = run_in_virtual_time(play)

    def test_the_pool_is_contended_before_and_after(self):
        self.assertThat(self.counts_before.get("contended_passes", 0), GreaterThan(0))
        self.assertThat(self.successor.counts["contended_passes"], GreaterThan(0))

    def test_no_caller_is_without_an_answer(self):
        self.assertThat([row[0] for row in self.asked if len(row[1]) != 1], Equals([]))
        self.assertThat(max(row[2] for row in self.asked), LessThan(WAIT_S + REPLY_MARGIN_S))

    def test_not_run_is_true(self):
        not_run = {
            job_id
            for job_id, answers, _ in self.asked
            if isinstance(answers[0], BurdocklugError) and answers[0].ran is Ran.NO
        }
        self.assertThat(len(not_run), GreaterThan(0))
        self.assertThat(not_run & self.started, Equals(set()))

    def test_callers_are_served_after_the_loss(self):
        served = [answers[0] for _, answers, _ in self.asked[2 * JOBS // 3 :]]
        self.assertThat(served.count(JobOutcome.COMPLETED), GreaterThan(5))

    def test_the_successor_keeps_accounts_of_its_own(self):
        shares = self.successor.contention.accounts.shares(now_s=1010.0)
        self.assertIn("queue/checks", shares)
        self.assertTrue(any(name.startswith("domain/") for name in shares), shares)
