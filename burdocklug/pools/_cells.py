"""The cells of a process by the plan in force, and which of them has a job."""

from collections import Counter

import structlog

from burdocklug.kernel import BurdocklugError
from burdocklug.pools._cell import Cell
from burdocklug.pools._models import JobOutcome
from burdocklug.pools.cells import CellNetworks, CellView, PlanChooser, cell_of, wanted_cells
from burdocklug.pools.scheduling import merge_counts
from burdocklug.pools.submitting import JobMoved, Submission

__all__ = ["Cells"]

log = structlog.get_logger(__name__)


class Cells:
    """The cells of one process, by the plan in force.

    Parameters
    ----------
    services : CellServices
        What the cells share.
    """

    def __init__(self, services):
        self._services = services
        self._networks = CellNetworks(services.network)
        self._plan = services.registry.plan
        self._chooser = PlanChooser()
        self._is_started = False
        self._is_draining = False
        self._all = []  # cells that the plan in force does not have are kept, without a scheduler
        self._add_missing(self._plan)

    def __iter__(self):
        return iter(self._all[: self._plan.cells])

    def __len__(self):
        return self._plan.cells

    @property
    def first(self):
        """The first cell, which a pool always has."""
        return self._all[0]

    def start(self):
        """Start the elections."""
        self._is_started = True
        for cell in self._all:
            cell.election.start()

    def _add_missing(self, plan_before):
        while len(self._all) < self._plan.cells:
            number = len(self._all)
            cell = Cell(
                CellView(number, plan_before),
                self._services,
                self._networks.for_cell(number),
                usable_cores=lambda number=number: self._usable_cores(number),
            )
            self._all.append(cell)
            if self._is_started:
                cell.election.start()

    def _usable_cores(self, number):
        """Return the cores for one cell's scheduler; those of other cells take their share."""
        services = self._services
        held = sum(cell.election.is_scheduler for cell in self if cell.view.number != number)
        return services.host.usable_cores(services.timers.now()) / (1 + held)

    def apply_plan(self, plan, *, is_initial=False):
        """Apply a plan that supersedes the one in force.

        A plan that was in force when this process began is no change: this process has had no role
        under another one.
        """
        changed_s = float("-inf") if is_initial else self._services.timers.now()
        before, self._plan = self._plan, plan
        self._add_missing(before)
        for cell in self._all:
            cell.view.apply(plan, changed_s)
        for cell in self._all:
            if cell.leader.scheduler is not None:
                self._services.cancellations.add_all(cell.leader.scheduler.cancellations)
            is_in_plan = cell.view.number < plan.cells
            cell.election.draining = self._is_draining or not is_in_plan
            if not is_in_plan:
                cell.election.step_down("cell_removed")
            cell.leader.note_plan()

    def check_plan(self):
        """Write a new plan if this process schedules the first cell and another one is wanted.

        A scheduler with a partial claim knows only some of the hosts that may schedule a cell.
        """
        election, services = self.first.election, self._services
        if not (election.is_scheduler and election.claim.is_full):
            return
        now = services.timers.now()
        cores = [services.host.usable_cores(now), *election.followers.live_cores(now).values()]
        wanted = wanted_cells(len(services.directory.entries), cores)
        plan = self._chooser.next_plan(self._plan, wanted, now)
        if plan is not None:
            log.info("cell_plan_chosen", cells=plan.cells, before=self._plan.cells)
            services.registry.write_plan(plan)

    def set_ready(self, is_ready):
        """Set whether the elections of the plan's cells may search for a scheduler."""
        for cell in self._all:
            cell.election.ready = is_ready and cell.view.number < len(self)

    @property
    def is_scheduler(self):
        """Whether this process schedules a cell."""
        return any(cell.election.is_scheduler for cell in self._all)

    @property
    def learns_versions(self):
        """Whether the schedulers that are followed read configurations and pass them on."""
        return any(cell.election.learns_versions for cell in self)

    def live_followers(self):
        """Return the processes that follow this one as the scheduler of a cell, as a set."""
        now = self._services.timers.now()
        return {
            follower
            for cell in self
            if cell.election.is_scheduler
            for follower in cell.election.followers.live_cores(now)
        }

    @property
    def is_served(self):
        """Whether at least half of the cells have a scheduler."""
        served = sum(cell.election.claim is not None for cell in self)
        return 2 * served >= len(self)

    def step_down(self, reason):
        """Stop being the scheduler of any cell."""
        for cell in self._all:
            cell.election.step_down(reason)

    def hand_over(self):
        """Start draining, and appoint other schedulers for the cells of this process."""
        self._is_draining = True
        for cell in self._all:
            cell.election.hand_over()

    @property
    def waiting(self):
        """Number of submissions whose callers wait."""
        return sum(cell.submitter.waiting for cell in self._all)

    def submit(self, spec, *, wait_s, caller=None):
        """Submit a job to the scheduler of its cell; see `Submitter.submit`.

        A job that no endpoint of its cell can hold is passed on to the other cells, and a job whose
        cell changes with the plan goes on in its new one.
        """
        now = self._services.timers.now()
        submission = Submission(spec, now, wait_s, caller=caller)
        while True:
            submission.plan_number = self._plan.number
            try:
                return self._submit_to_cells(submission)
            except JobMoved:
                log.info("job_routed_anew", job=spec.job_id, plan=self._plan.number)

    def _submit_to_cells(self, submission):
        for cell in self._from_home(submission.spec.job_id):
            try:
                return cell.submitter.resume(submission)
            except BurdocklugError as exc:
                if not submission.is_unplaceable:
                    raise
                refusal = exc
        raise refusal

    def _from_home(self, job_id):
        """Return all cells in the order in which they are asked for a job, its own one first."""
        home, cells = cell_of(job_id, len(self)), list(self)
        return cells[home:] + cells[:home]

    def withdraw_waiting(self, *, only_waiting):
        """Ask the schedulers to give up the jobs that callers of this process wait for."""
        for cell in self._all:
            cell.submitter.withdraw_waiting(only_waiting=only_waiting)

    def abandon_waiting(self):
        """Answer all callers that still wait, without a scheduler's reply."""
        for cell in self._all:
            cell.submitter.abandon_waiting()

    def _ask(self, job_id, ask):
        """Ask the scheduler of a job's cell, then the others while the job is unknown."""
        for cell in self._from_home(job_id):
            state = ask(cell.control)
            if state:
                return state
        return ""

    def cancel(self, job_id):
        """Cancel a job and return its state; empty if the job is unknown.

        After a change of the plan several cells may know the job, so all schedulers are told.
        """
        state = self._ask(job_id, lambda control: control.cancel(job_id))
        if len(self) > 1 and state == JobOutcome.CANCELLED:
            for cell in self:
                cell.control.repeat_cancellation(job_id)
        return state

    def state(self, job_id):
        """Return the state of a job; empty if the job is unknown."""
        return self._ask(job_id, lambda control: control.state(job_id))

    def pending(self, queue):
        """Return how many jobs of a queue have started no task."""
        return sum(cell.control.pending(queue) for cell in self)

    def inform_schedulers(self):
        """Send acknowledged cancellations to schedulers that are new here."""
        for cell in self:
            cell.control.inform_scheduler()

    def close(self):
        """Stop scheduling."""
        for cell in self._all:
            cell.leader.apply_claim(None)

    def counts(self):
        """Return the sums of the counters of this process's schedulers, and their number."""
        schedulers = [cell.leader.scheduler for cell in self._all if cell.leader.scheduler]
        totals = Counter()
        for scheduler in schedulers:
            totals.update(scheduler.counts)
        counts = {**totals, "schedules": len(schedulers), "cells": len(self)}
        if schedulers:
            counts["latency_s"] = merge_counts([s.latencies.counts() for s in schedulers])
        return counts
