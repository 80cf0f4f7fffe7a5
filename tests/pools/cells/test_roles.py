"""Processes that schedule several cells: drains, pauses and their counters."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.pools._models import JobOutcome
from burdocklug.pools.cells import CellPlan
from tests.pools.cells.test_cells import job, make_deployment, play, schedulers, set_plan
from tests.pools.virtual_deployment import now_s, run_in_virtual_time


def start():
    """Return a deployment in which one of two processes schedules two of three cells, and it."""
    deployment = make_deployment(3, processes=2, run_s=0.3).start(for_s=5.0)
    (several,) = [name for name in ("p0", "p1") if len(held(deployment, name)) == 2]
    return deployment, several


def held(deployment, name):
    return [number for number, names in enumerate(schedulers(deployment)) if name in names]


class SeveralRolesTest(TestCase):
    def test_a_drain_hands_all_cells_over_and_answers_all_callers(self):
        def scenario():
            deployment, several = start()
            jobs = [deployment.submit(several, job(n), wait_s=4.0) for n in range(300, 330)]
            eventlet.sleep(0.1)
            began_s = now_s()
            eventlet.spawn(deployment.processes[several].pool.drain)
            eventlet.sleep(0.1)
            left = held(deployment, several)
            other = "p1" if several == "p0" else "p0"
            answers = [deployment.submit(other, job(n), wait_s=4.0) for n in range(100)]
            while not all(jobs + answers) and now_s() < began_s + 6.0:
                eventlet.sleep(0.05)
            return left, jobs, answers, deployment.overlaps()

        left, jobs, answers, overlaps = run_in_virtual_time(scenario)
        self.assertThat(left, Equals([]))
        self.assertThat(jobs, Equals([[JobOutcome.COMPLETED]] * 30))
        self.assertThat(answers, Equals([[JobOutcome.COMPLETED]] * 100))
        self.assertThat(overlaps, Equals([]))

    def test_a_process_that_drains_takes_no_role_of_a_new_cell(self):
        def scenario():
            deployment, several = start()
            eventlet.spawn(deployment.processes[several].pool.drain)
            eventlet.sleep(0.1)
            set_plan(deployment, CellPlan(2, 5))
            eventlet.sleep(4.0)
            return schedulers(deployment), "p1" if several == "p0" else "p0"

        found, other = run_in_virtual_time(scenario)
        self.assertThat(found, Equals([[other]] * 5))

    def test_a_pause_gives_up_all_cells(self):
        def scenario():
            deployment, several = start()
            pool = deployment.processes[several].pool
            pool.cells.step_down("paused")
            left = held(deployment, several)
            eventlet.sleep(3.0)
            answers = play(deployment, for_s=1.0)
            return left, [got for *_, got in answers], schedulers(deployment)

        left, answers, found = run_in_virtual_time(scenario)
        self.assertThat(left, Equals([]))
        self.assertThat({str(got[0]) for got in answers}, Equals({"completed"}))
        self.assertThat([len(names) for names in found], Equals([1, 1, 1]))

    def test_counters_are_those_of_all_schedulers(self):
        def scenario():
            deployment, _several = start()
            answers = play(deployment, for_s=1.0)
            counts = [process.pool.counts() for process in deployment.processes.values()]
            dumps = [process.pool.dump() for process in deployment.processes.values()]
            return len(answers), counts, dumps

        jobs, counts, dumps = run_in_virtual_time(scenario)
        self.assertThat(sum(c["jobs_completed"] for c in counts), Equals(jobs))
        self.assertThat(sum(c["schedules"] for c in counts), Equals(3))
        self.assertThat([len(dump["cells"]) for dump in dumps], Equals([3, 3]))


class IsReadyTest(TestCase):
    def test_a_process_is_ready_while_one_of_three_cells_has_no_scheduler(self):
        def scenario():
            deployment = make_deployment(3).start(for_s=4.0)
            deployment.kill(schedulers(deployment)[1][0])
            ready = []
            for _ in range(30):
                eventlet.sleep(0.1)
                live = [p for p in deployment.processes.values() if p.is_alive]
                ready.append(sum(not process.pool.is_ready for process in live))
            return ready

        self.assertThat(max(run_in_virtual_time(scenario)), LessThan(1))
