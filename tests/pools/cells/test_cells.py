"""Pools of several cells in virtual time: routing of jobs, lost schedulers, changes of the plan."""

import random
from collections import Counter

import eventlet
import msgspec
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.kernel import BurdocklugError
from burdocklug.pools._configuration import QueueRule
from burdocklug.pools._models import JobOutcome
from burdocklug.pools.cells import CellPlan, cell_of
from burdocklug.pools.election._fleet import CELLS_KEY
from tests.pools.builders import spec, step
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time

DOMAINS = ("north", "south", "west")
TAKEOVER_S = 2.5  # from the loss of a scheduler until callers of its cell are served again
QUEUE = QueueRule(
    "checks", "press.example", "/press/", "press-control", max_attempts=3, target_s=10.0
)
IDS = [f"{number:016x}" for number in range(1, 400)]


def make_deployment(cells, *, processes=9, endpoints=24, run_s=0.2):
    deployment = VirtualDeployment(
        {f"p{n}": DOMAINS[n % 3] for n in range(processes)},
        {f"e{n}": DOMAINS[n % 3] for n in range(endpoints)},
        run_s=run_s,
    )
    set_plan(deployment, CellPlan(1, cells))
    return deployment


def set_plan(deployment, plan):
    deployment.store.put(CELLS_KEY, msgspec.json.encode(plan))


def job(number, *, tasks=2):
    return spec(IDS[number], step(tasks, cpu=1000, estimate_s=0.2), rule=QUEUE)


def schedulers(deployment):
    """Return the names of the processes that schedule each cell."""
    cells = max(len(process.pool.cells) for process in deployment.processes.values())
    return [
        [
            name
            for name, process in deployment.processes.items()
            if process.is_alive
            and len(process.pool.cells) == cells
            and list(process.pool.cells)[number].election.is_scheduler
        ]
        for number in range(cells)
    ]


def play(deployment, *, for_s, per_s=40, seed=1, wait_s=3.0):
    """Submit jobs at live processes for some time; return the answers by job."""
    rng, answers, began_s = random.Random(seed), [], now_s()
    while now_s() - began_s < for_s:
        live = [name for name, process in deployment.processes.items() if process.is_alive]
        number = len(answers)
        name = rng.choice(live)
        answers.append((name, now_s(), deployment.submit(name, job(number), wait_s=wait_s)))
        eventlet.sleep(1 / per_s)
    eventlet.sleep(wait_s + 1.0)
    return answers


def outcomes(answers):
    return [got[0] if got else None for _name, _at, got in answers]


class CellsTest(TestCase):
    def test_each_cell_has_a_scheduler_of_its_own_on_another_host(self):
        def scenario():
            return schedulers(make_deployment(3).start(for_s=4.0))

        found = run_in_virtual_time(scenario)
        self.assertThat([len(names) for names in found], Equals([1, 1, 1]))
        self.assertThat(len({names[0] for names in found}), Equals(3))

    def test_every_endpoint_has_one_holder(self):
        def scenario():
            deployment = make_deployment(3).start(for_s=5.0)
            held = []
            for process in deployment.processes.values():
                for cell in process.pool.cells:
                    held += cell.leader._agents
            return sorted(held), sorted(deployment.endpoints)

        held, endpoints = run_in_virtual_time(scenario)
        self.assertThat(held, Equals(endpoints))

    def test_jobs_from_all_processes_end_once_in_all_cells(self):
        def scenario():
            deployment = make_deployment(3).start(for_s=4.0)
            answers = play(deployment, for_s=4.0)
            return outcomes(answers), deployment.overlaps(), deployment.history

        answers, overlaps, history = run_in_virtual_time(scenario)
        self.assertThat(set(answers), Equals({JobOutcome.COMPLETED}))
        self.assertThat(overlaps, Equals([]))
        self.assertThat(len(history), Equals(2 * len(answers)))

    def test_a_job_sent_again_elsewhere_joins_its_first_run(self):
        def scenario():
            deployment = make_deployment(3, run_s=0.8).start(for_s=4.0)
            first = [deployment.submit("p1", job(n), wait_s=3.0) for n in range(12)]
            eventlet.sleep(0.3)
            again = [deployment.submit("p5", job(n), wait_s=3.0) for n in range(12)]
            eventlet.sleep(4.0)
            return first, again, deployment.history

        first, again, history = run_in_virtual_time(scenario)
        self.assertThat(first, Equals([[JobOutcome.COMPLETED]] * 12))
        self.assertThat(again, Equals(first))
        self.assertThat(len(history), Equals(24))

    def test_a_cancelled_job_is_cancelled_in_its_cell(self):
        def scenario():
            deployment = make_deployment(3, run_s=2.0).start(for_s=4.0)
            answers = [deployment.submit("p1", job(n), wait_s=4.0) for n in range(6)]
            eventlet.sleep(0.3)
            pool = deployment.processes["p7"].pool
            states = [pool.cells.cancel(IDS[n]) for n in range(6)]
            eventlet.sleep(1.0)
            return states, answers

        states, answers = run_in_virtual_time(scenario)
        self.assertThat(states, Equals(["cancelled"] * 6))
        self.assertThat(answers, Equals([[JobOutcome.CANCELLED]] * 6))

    def test_a_job_that_only_another_cell_can_hold_is_passed_on(self):
        def scenario():
            deployment = make_deployment(3)
            fields = {"labels": ["rare"]}
            deployment.store.put_worker("e0", "north", address="10.1.0.1:80", **fields)
            deployment.start(for_s=4.0)
            rare = step(1, estimate_s=0.2, required_label="rare")
            jobs = [spec(IDS[n], rare, rule=QUEUE) for n in range(9)]
            answers = [deployment.submit("p1", job, wait_s=3.0) for job in jobs]
            eventlet.sleep(4.0)
            return answers, {row[4] for row in deployment.history}

        answers, used = run_in_virtual_time(scenario)
        self.assertThat(answers, Equals([[JobOutcome.COMPLETED]] * 9))
        self.assertThat(used, Equals({"e0"}))


class LostSchedulerTest(TestCase):
    def test_a_lost_scheduler_costs_its_own_cell_only(self):
        def scenario():
            deployment = make_deployment(3).start(for_s=4.0)
            lost_cell = 1
            victim = schedulers(deployment)[lost_cell][0]
            eventlet.spawn_after(2.0, deployment.kill, victim)
            lost_s = now_s() + 2.0
            answers = play(deployment, for_s=8.0)
            failed = [
                (cell_of(IDS[n], 3), at_s - lost_s)
                for n, (name, at_s, got) in enumerate(answers)
                if name != victim and got != [JobOutcome.COMPLETED]
            ]
            return failed, deployment.overlaps(), lost_cell

        failed, overlaps, lost_cell = run_in_virtual_time(scenario)
        self.assertThat(overlaps, Equals([]))
        self.assertThat({cell for cell, _at in failed} - {lost_cell}, Equals(set()))
        self.assertThat(max((at_s for _cell, at_s in failed), default=0.0), LessThan(TAKEOVER_S))

    def test_drawn_losses_and_cuts_run_no_task_twice_at_once(self):
        def scenario(seed):
            rng = random.Random(seed)
            deployment = make_deployment(rng.choice((2, 3, 4)), run_s=0.5).start(for_s=4.0)
            names = list(deployment.processes)
            eventlet.spawn_after(rng.uniform(0, 3), deployment.kill, rng.choice(names[1:]))
            for_s, how = rng.uniform(0.1, 5.0), rng.choice(("both", "in", "out"))
            domain = rng.choice(DOMAINS)
            eventlet.spawn_after(
                rng.uniform(0, 4), lambda: deployment.cut_off(domain, how=how, for_s=for_s)
            )
            if rng.random() < 0.5:
                plan = CellPlan(2, rng.choice((1, 2, 3, 5)))
                eventlet.spawn_after(rng.uniform(0, 4), set_plan, deployment, plan)
            answers = play(deployment, for_s=6.0, seed=seed, wait_s=4.0)
            unanswered = sum(
                not got for name, _at, got in answers if deployment.processes[name].is_alive
            )
            return unanswered, deployment.overlaps()

        for seed in range(1, 13):
            unanswered, overlaps = run_in_virtual_time(lambda seed=seed: scenario(seed), seed=seed)
            self.assertThat((seed, unanswered, overlaps), Equals((seed, 0, [])))


class ChangedPlanTest(TestCase):
    def test_the_pool_splits_while_jobs_run_and_none_runs_twice(self):
        def scenario():
            deployment = make_deployment(1, run_s=0.5).start(for_s=4.0)
            eventlet.spawn_after(2.0, set_plan, deployment, CellPlan(2, 3))
            answers = play(deployment, for_s=8.0, per_s=20)
            late = [got for _name, _at, got in answers[-40:]]
            staying = {IDS[n] for n in range(len(answers)) if cell_of(IDS[n], 3) == 0}
            runs = Counter(row[0] for row in deployment.history if row[0][:16] in staying)
            found = schedulers(deployment)
            return outcomes(answers), late, deployment.overlaps(), found, runs

        answers, late, overlaps, found, runs = run_in_virtual_time(scenario)
        self.assertThat(max(runs.values()), Equals(1))
        self.assertThat(overlaps, Equals([]))
        self.assertThat([len(names) for names in found], Equals([1, 1, 1]))
        self.assertThat(late, Equals([[JobOutcome.COMPLETED]] * 40))
        refused = [a for a in answers if isinstance(a, BurdocklugError)]
        self.assertThat({str(exc.ran) for exc in refused} - {"no", "unknown"}, Equals(set()))
        self.assertThat(answers.count(JobOutcome.COMPLETED) / len(answers), GreaterThan(0.75))

    def test_a_job_sent_again_after_the_change_does_not_run_beside_its_first_run(self):
        def scenario():
            deployment = make_deployment(1, run_s=1.5).start(for_s=4.0)
            first = [deployment.submit("p1", job(n, tasks=1), wait_s=6.0) for n in range(12)]
            eventlet.sleep(0.5)
            set_plan(deployment, CellPlan(2, 4))
            eventlet.sleep(0.1)
            again = [deployment.submit("p6", job(n, tasks=1), wait_s=6.0) for n in range(12)]
            eventlet.sleep(8.0)
            return first + again, deployment.overlaps()

        answers, overlaps = run_in_virtual_time(scenario)
        self.assertThat(overlaps, Equals([]))
        self.assertThat({str(a[0]) for a in answers}, Equals({"completed"}))

    def test_a_plan_that_is_in_force_at_the_start_delays_nothing(self):
        def scenario(cells):
            deployment = make_deployment(cells).start(for_s=0.1)
            answers = [deployment.submit("p1", job(n), wait_s=3.0) for n in range(9)]
            began_s = now_s()
            while not all(answers) and now_s() < began_s + 10.0:
                eventlet.sleep(0.01)
            return now_s() - began_s

        one, three = (run_in_virtual_time(lambda c=cells: scenario(c)) for cells in (1, 3))
        self.assertThat(three, LessThan(one + 0.2))

    def test_the_scheduler_of_the_first_cell_writes_the_plan_that_the_endpoints_need(self):
        def scenario():
            deployment = VirtualDeployment(
                {f"p{n}": DOMAINS[n % 3] for n in range(4)},
                {f"e{n}": DOMAINS[n % 3] for n in range(12)},
            )
            for process in deployment.processes.values():
                process.pool.host._cores = 0.02  # carries six endpoints
            deployment.start(for_s=8.0)
            return [len(process.pool.cells) for process in deployment.processes.values()]

        self.assertThat(run_in_virtual_time(scenario), Equals([2, 2, 2, 2]))


class PartialClaimTest(TestCase):
    """A scheduler that reaches only small hosts does not split the whole pool.

    Guards against a plan that it writes as a partition ends, which costs all others 2 s.
    """

    def test_a_scheduler_of_one_failure_domain_writes_no_plan(self):
        def scenario():
            deployment = make_deployment(1, endpoints=12)
            for process in deployment.processes.values():
                if process.failure_domain == "north":
                    process.pool.host._cores = 0.02
            deployment.start()
            inside = deployment.members_of("north")
            outside = set(deployment.domains) - inside
            deployment.links.cut("in", outside, inside)
            deployment.links.cut("out", inside, outside)
            eventlet.sleep(6.0)
            claims = [process.pool.election.claim for process in deployment.processes.values()]
            return {claim.is_full for claim in claims if claim}, {
                len(process.pool.cells) for process in deployment.processes.values()
            }

        kinds, cells = run_in_virtual_time(scenario)
        self.assertThat(kinds, Equals({True, False}))
        self.assertThat(cells, Equals({1}))
