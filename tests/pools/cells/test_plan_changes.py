"""Changes of the plan of cells: shrinking, processes that learn of it late, cancellations."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._models import JobOutcome
from burdocklug.pools.cells import CellPlan, cell_of
from tests.pools.builders import spec, step
from tests.pools.cells.test_cells import (
    IDS,
    QUEUE,
    job,
    make_deployment,
    outcomes,
    play,
    schedulers,
    set_plan,
)
from tests.pools.virtual_deployment import run_in_virtual_time


class ShrunkPoolTest(TestCase):
    def test_jobs_of_a_removed_cell_go_on_in_the_others(self):
        def scenario():
            deployment = make_deployment(3, run_s=0.8).start(for_s=4.0)
            answers = [deployment.submit("p1", job(n), wait_s=6.0) for n in range(12)]
            eventlet.sleep(0.4)
            set_plan(deployment, CellPlan(2, 1))
            eventlet.sleep(8.0)
            return answers, deployment.overlaps()

        answers, overlaps = run_in_virtual_time(scenario)
        self.assertThat(answers, Equals([[JobOutcome.COMPLETED]] * 12))
        self.assertThat(overlaps, Equals([]))

    def test_nobody_searches_for_the_scheduler_of_a_removed_cell(self):
        def scenario():
            deployment = make_deployment(3).start(for_s=4.0)
            set_plan(deployment, CellPlan(2, 1))
            eventlet.sleep(2.0)
            calls = []
            for process in deployment.processes.values():
                call = process.network.call

                def record(incarnation, message, *, timeout_s, call=call):
                    calls.append(message)
                    return call(incarnation, message, timeout_s=timeout_s)

                process.network.call = record
            eventlet.sleep(2.0)
            return calls

        self.assertThat(run_in_virtual_time(scenario), Equals([]))


class LateProcessTest(TestCase):
    def serve_beside_cut(self, find_cut, plan):
        def scenario():
            deployment = make_deployment(1).start(for_s=4.0)
            name = find_cut(deployment)
            deployment.links.cut("late", {name}, {"store"})
            set_plan(deployment, plan)
            eventlet.sleep(4.0)
            answers = play(deployment, for_s=2.0)
            return outcomes(answers), deployment.overlaps()

        answers, overlaps = run_in_virtual_time(scenario)
        self.assertThat(set(answers), Equals({JobOutcome.COMPLETED}))
        self.assertThat(overlaps, Equals([]))

    def test_a_scheduler_without_the_store_learns_of_the_plan_from_others(self):
        self.serve_beside_cut(lambda deployment: schedulers(deployment)[0][0], CellPlan(2, 3))

    def test_a_follower_without_the_store_learns_of_the_plan_from_others(self):
        self.serve_beside_cut(lambda _deployment: "p8", CellPlan(2, 3))

    def test_plans_of_one_number_from_two_schedulers_leave_one_in_force(self):
        def scenario():
            deployment = make_deployment(1)
            late = deployment.processes.pop("p8")
            deployment.start(for_s=4.0)
            set_plan(deployment, CellPlan(2, 3))
            set_plan(deployment, CellPlan(2, 2))
            eventlet.sleep(1.0)
            deployment.processes["p8"] = late
            late.start()
            eventlet.sleep(3.0)
            plans = [process.pool.registry.plan for process in deployment.processes.values()]
            return plans, outcomes(play(deployment, for_s=2.0))

        plans, answers = run_in_virtual_time(scenario)
        self.assertThat({plan.cells for plan in plans}, Equals({2}))
        self.assertThat(len(set(plans)), Equals(1))
        self.assertThat(set(answers), Equals({JobOutcome.COMPLETED}))


class CancelledJobTest(TestCase):
    def cancel_before(self, cells, plan, *, is_lost=False):
        """Cancel jobs, change the plan and send them again; the process asked may be lost then."""

        def scenario():
            deployment = make_deployment(cells, run_s=2.0).start(for_s=4.0)
            for n in range(12):
                deployment.submit("p1", job(n), wait_s=4.0)
            eventlet.sleep(0.3)
            control = deployment.processes["p7"].pool.cells
            states = [control.cancel(IDS[n]) for n in range(12)]
            if is_lost:
                deployment.kill("p7")
            set_plan(deployment, plan)
            eventlet.sleep(3.0)
            again = [deployment.submit("p5", job(n), wait_s=4.0) for n in range(12)]
            eventlet.sleep(5.0)
            return states, again

        states, again = run_in_virtual_time(scenario)
        self.assertThat(states, Equals(["cancelled"] * 12))
        self.assertThat(again, Equals([[JobOutcome.CANCELLED]] * 12))

    def test_a_cancelled_job_that_changes_to_a_new_cell_stays_cancelled(self):
        self.cancel_before(1, CellPlan(2, 3))

    def test_a_cancelled_job_stays_cancelled_if_the_process_that_was_asked_is_lost(self):
        self.cancel_before(1, CellPlan(2, 3), is_lost=True)

    def test_a_cancelled_job_of_a_removed_cell_stays_cancelled(self):
        self.cancel_before(3, CellPlan(2, 1))


class PassedOnJobTest(TestCase):
    """Jobs that only the endpoint "e0" can hold, which is in cell 2 of 3 and in cell 4 of 5."""

    def start(self, *, run_s):
        """Return a deployment of three cells, and the answers to nine such jobs."""
        deployment = make_deployment(3, run_s=run_s)
        deployment.store.put_worker("e0", "north", address="10.1.0.1:80", labels=["rare"])
        deployment.start(for_s=4.0)
        rare = step(1, cpu=1000, estimate_s=0.2, required_label="rare")
        jobs = [spec(IDS[n], rare, rule=QUEUE) for n in range(9)]
        answers = [deployment.submit("p1", job, wait_s=8.0) for job in jobs]
        eventlet.sleep(0.4)
        return deployment, answers

    def change_plan(self, plan):
        def scenario():
            deployment, answers = self.start(run_s=1.0)
            set_plan(deployment, plan)
            eventlet.sleep(10.0)
            return answers, deployment.overlaps()

        answers, overlaps = run_in_virtual_time(scenario)
        self.assertThat(answers, Equals([[JobOutcome.COMPLETED]] * 9))
        self.assertThat(overlaps, Equals([]))

    def test_they_end_after_the_pool_has_grown(self):
        self.change_plan(CellPlan(2, 5))

    def test_they_end_after_the_pool_has_shrunk(self):
        self.change_plan(CellPlan(2, 1))

    def test_a_cancellation_reaches_the_cell_that_runs_them_after_a_change(self):
        def scenario():
            deployment, answers = self.start(run_s=4.0)
            set_plan(deployment, CellPlan(2, 5))
            eventlet.sleep(4.0)
            running = sum(row[3] is None for row in deployment.history)
            cells = deployment.processes["p7"].pool.cells
            states = [cells.cancel(IDS[n]) for n in range(9)]
            eventlet.sleep(0.5)
            left = [row for row in deployment.history if row[3] is None]
            eventlet.sleep(6.0)
            return running, states, left, answers

        running, states, left, answers = run_in_virtual_time(scenario)
        self.assertThat(running, Equals(9))
        self.assertThat(states, Equals(["cancelled"] * 9))
        self.assertThat(left, Equals([]))
        self.assertThat(answers, Equals([[JobOutcome.CANCELLED]] * 9))

    def test_one_sent_again_does_not_start_in_its_own_cell_beside_its_run(self):
        def scenario():
            deployment, answers = self.start(run_s=4.0)
            for name in list(deployment.endpoints)[1:]:
                deployment.store.put_worker(
                    name, "north", address=f"10.2.0.{name[1:]}:80", labels=["rare"]
                )
            eventlet.sleep(2.0)
            rare = step(1, cpu=1000, estimate_s=0.2, required_label="rare")
            jobs = [spec(IDS[n], rare, rule=QUEUE) for n in range(9)]
            again = [deployment.submit("p5", job, wait_s=5.0) for job in jobs]
            eventlet.sleep(8.0)
            return answers + again, deployment.overlaps()

        answers, overlaps = run_in_virtual_time(scenario)
        self.assertThat(overlaps, Equals([]))
        self.assertThat(answers, Equals([[JobOutcome.COMPLETED]] * 18))


class NewCellTest(TestCase):
    def test_the_jobs_of_a_new_cell_wait_for_its_endpoints(self):
        def scenario():
            deployment = make_deployment(1).start(for_s=4.0)
            set_plan(deployment, CellPlan(2, 3))
            eventlet.sleep(0.5)
            answers = play(deployment, for_s=2.0, per_s=20, wait_s=4.0)
            passed_on = [
                row for row in deployment.history if cell_of(row[4], 3) != cell_of(row[0][:16], 3)
            ]
            return outcomes(answers), passed_on

        answers, passed_on = run_in_virtual_time(scenario)
        self.assertThat(set(answers), Equals({JobOutcome.COMPLETED}))
        self.assertThat(passed_on, Equals([]))
