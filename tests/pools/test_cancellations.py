"""A cancellation that was acknowledged holds for as long as a process may submit the job."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools._cancellations import MAX_CANCELLATIONS, Cancellations
from burdocklug.pools._models import JobOutcome
from tests.pools.builders import VirtualPool, entry, spec, step
from tests.pools.test_partitions import ENDPOINTS, PROCESSES, QUEUE
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time
from tests.scenarios import with_scenarios

CANCEL_BOUND_S = 3.0
CUT_S = 12.0
WAIT_S = 30.0


class CancelledJobTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(entry(1))

    def cancel(self, job_id):
        return self.pool.scheduler.cancel(job_id, longest_wait_s=WAIT_S)

    def submit_after(self, seconds):
        self.pool.now_s += seconds
        self.pool.scheduler.forget_ended()
        self.pool.scheduler.cancellations.forget(self.pool.now_s)
        return self.pool.submit("j1", wait_s=WAIT_S)

    def test_a_job_whose_caller_waits_longer_than_it_is_known_stays_cancelled(self):
        self.pool.submit("j1", wait_s=WAIT_S)
        self.cancel("j1")
        self.pool.end_all(self.pool.scheduler.jobs["j1"])
        self.assertThat(self.submit_after(12.0).outcome, Equals(JobOutcome.CANCELLED))

    def test_a_job_that_the_scheduler_did_not_know_stays_cancelled(self):
        self.assertThat(self.cancel("j1"), Equals(None))
        self.assertThat(self.submit_after(3.5).outcome, Equals(JobOutcome.CANCELLED))
        self.assertThat(self.pool.started_names(), Equals([]))

    def test_it_is_forgotten_when_nobody_waits_any_more(self):
        self.cancel("j1")
        self.assertThat(self.submit_after(60.0).outcome, Equals(None))
        self.assertThat(len(self.pool.scheduler.cancellations), Equals(0))

    def test_a_job_that_had_ended_is_not_cancelled(self):
        job = self.pool.submit("j1")
        self.pool.end_all(job)
        self.assertThat(self.cancel("j1").outcome, Equals(JobOutcome.COMPLETED))
        self.assertThat(len(self.pool.scheduler.cancellations), Equals(0))

    def test_memory_is_bounded(self):
        cancellations = Cancellations()
        for number in range(MAX_CANCELLATIONS + 5):
            cancellations.add(f"j{number}", 100.0)
        self.assertThat(len(cancellations), Equals(MAX_CANCELLATIONS))
        self.assertFalse(cancellations.has("j4", 50.0))
        self.assertTrue(cancellations.has("j5", 50.0))
        self.assertThat(sum(map(len, cancellations.batches())), Equals(MAX_CANCELLATIONS))


@with_scenarios
class CutOffTakerTest(TestCase):
    """The process that took a job is cut off while the job is cancelled at another one.

    Guards against a cancelled job that starts again when the cut ends (review/4).
    """

    scenarios = [
        ("same scheduler", {"killed_after_s": None, "cancel_after_s": 0.3}),
        ("killed at once", {"killed_after_s": 0.0, "cancel_after_s": 0.3}),
        ("killed later", {"killed_after_s": 5.0, "cancel_after_s": 0.3}),
        ("unknown by then", {"killed_after_s": 0.0, "cancel_after_s": 2.0}),
    ]

    def test_nothing_of_it_starts_after_the_bound(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=0.4).start()
            leader = deployment.scheduler().name
            taker, other = [name for name in PROCESSES if name != leader][:2]
            chain = [step(estimate_s=0.4, after=(n - 1,) if n else ()) for n in range(40)]
            deployment.submit(taker, spec("j1", *chain, rule=QUEUE), wait_s=WAIT_S)
            eventlet.sleep(1.5)
            everyone = set(deployment.domains) | {"store"}
            deployment.links.cut("out", {taker}, everyone - {taker})
            deployment.links.cut("in", everyone - {taker}, {taker})
            if self.cancel_after_s > 1.0:
                deployment.kill(leader)
            eventlet.sleep(self.cancel_after_s)
            deployment.processes[other].pool.cells.cancel("j1")
            acked_s = now_s()
            if self.killed_after_s is not None and self.cancel_after_s < 1.0:
                eventlet.sleep(self.killed_after_s)
                deployment.kill(leader)
            eventlet.sleep(acked_s + CUT_S - now_s())
            deployment.links.heal("out")
            deployment.links.heal("in")
            eventlet.sleep(10.0)
            starts = [row[2] - acked_s for row in deployment.history]
            return len(starts), [start for start in starts if start > CANCEL_BOUND_S]

        starts, late = run_in_virtual_time(scenario)
        self.assertThat(starts, GreaterThan(0))
        self.assertThat(late, Equals([]))


class ExpiredJobTest(TestCase):
    """A job whose tasks all run ends with its caller's waiting time.

    Guards against a run that goes on beside those of the next attempt (8c78fbd:review/3).
    """

    def test_its_runs_are_stopped(self):
        pool = VirtualPool(entry(1))
        job = pool.submit("j1", step(2, estimate_s=30.0), wait_s=1.5)
        pool.now_s += 1.4
        pool.scheduler.expire_overdue()
        self.assertThat(pool.orders.stopped, Equals([]))
        pool.now_s += 0.2
        pool.scheduler.expire_overdue()
        self.assertThat(job.outcome, Equals(JobOutcome.EXPIRED))
        self.assertThat(len(pool.orders.stopped), Equals(2))

    def test_a_scheduler_stops_them_behind_a_cut(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=30.0).start()
            zone = deployment.scheduler().failure_domain
            name = next(n for n in PROCESSES if PROCESSES[n] == zone)
            for number in range(6):
                job = spec(f"j{number}", step(1, estimate_s=30.0), rule=QUEUE)
                deployment.submit(name, job, wait_s=2.0)
            eventlet.sleep(0.5)
            deployment.cut_off(zone, for_s=6.0)
            eventlet.sleep(5.0)
            return [row[3] - row[2] if row[3] else None for row in deployment.history]

        durations = run_in_virtual_time(scenario)
        self.assertThat(len(durations), GreaterThan(5))
        self.assertTrue(all(durations), durations)
        self.assertThat(max(durations), LessThan(2.0 + 0.5))
