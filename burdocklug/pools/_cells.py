"""The cells of a process: for each, the election of its scheduler, its leader and its submitter."""

from collections import Counter
from dataclasses import dataclass
from functools import partial

import structlog

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.pools._leader import Leader
from burdocklug.pools.agents import holder_number, probe_holder
from burdocklug.pools.cells import (
    CellNetworks,
    CellView,
    EndpointShare,
    PlanChooser,
    cell_of,
    wanted_cells,
)
from burdocklug.pools.election import SchedulerElection, sample_holders
from burdocklug.pools.scheduling import merge_counts
from burdocklug.pools.submitting import JobControl, JobMoved, Submission, Submitter

__all__ = ["Cell", "CellServices", "Cells"]

log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class CellServices:
    """What the cells of a process share.

    Parameters
    ----------
    network : PeerNetwork
        Network of the process.
    timers : TimerService
        Clock and timers.
    directory : Directory
        Endpoints and configuration.
    registry : MemberRegistry
        The processes of the pool, and its plan of cells.
    host : HostCapacity
        Cores and event loop lag of this process.
    settings : PoolSettings
        Settings of the pool.
    protocol : EndpointOrders
        Protocol that carries orders to endpoints.
    unreachable_domains : callable
        Takes failure domains and returns those without a reachable endpoint; it may block.
    is_version_current : callable
        Returns whether the configuration was read from the store just now.
    is_paused : callable
        Returns whether this process was paused.
    on_elected : callable
        Called without arguments when this process becomes the scheduler of a cell.
    on_newer_version : callable
        Called with the incarnation of a peer that has a newer configuration or newer evacuations.
    """

    network: object
    timers: object
    directory: object
    registry: object
    host: object
    settings: object
    protocol: object
    unreachable_domains: object
    is_version_current: object
    is_paused: object
    on_elected: object
    on_newer_version: object


class Cell:
    """One cell, as one process takes part in it.

    Parameters
    ----------
    view : CellView
        Endpoints and jobs of the cell.
    services : CellServices
        What the cells share.
    network : object
        Network of the cell.
    usable_cores : callable
        Returns the cores that this process has for the cell's scheduler.

    Attributes
    ----------
    election : SchedulerElection
        Finds the cell's scheduler.
    submitter : Submitter
        Submits the cell's jobs.
    control : JobControl
        Cancels and queries the cell's jobs.
    leader : Leader
        Runs the cell's scheduler if this process has the role.
    """

    def __init__(self, view, services, network, *, usable_cores):
        directory, timers, host = services.directory, services.timers, services.host
        self._on_elected = services.on_elected
        self.view = view
        self._services = services
        self._holder_number = holder_number(network.incarnation)
        self.election = SchedulerElection(
            network,
            timers,
            members=lambda: services.registry.others,
            unreachable_domains=services.unreachable_domains,
            endpoint_domains=lambda: {entry.failure_domain for entry in self._own_entries()},
            sample_holders=self._sample_holders,
            on_change=self._apply_claim,
            version=lambda: directory.configuration.version,
            is_version_current=services.is_version_current,
            usable_cores=usable_cores,
            loop_lag_s=lambda: host.recent_lag_s,
            rank=view.number,
        )
        self.election.on_newer_version = services.on_newer_version
        self.election.evacuations = lambda: directory.evacuation_view
        self.submitter = Submitter(
            network, self.election, timers, priorities=directory.priorities, cell=self.view
        )
        self.control = JobControl(
            network, self.election, timers, longest_wait_s=directory.longest_wait_s
        )
        self.leader = Leader(
            network,
            timers,
            directory,
            services.protocol,
            self.election,
            host,
            lease_s=services.settings.max_lease_ms / 1000,
            distance_factor=services.settings.distance_factor,
            is_paused=services.is_paused,
            cell=self.view,
        )

    def _own_entries(self):
        """Return the entries of the cell's endpoints, without those that move to or from it."""
        now = self._services.timers.now()
        return [
            entry
            for entry in self._services.directory.entries.values()
            if self.view.endpoint_share(entry.endpoint_id, now) is EndpointShare.OWN
        ]

    def _sample_holders(self, is_wanted, on_free):
        """Return the `HolderState` of the failure domains that `is_wanted` selects."""
        now = self._services.timers.now
        probe = partial(
            probe_holder,
            protocol=self._services.protocol,
            now=now,
            holder_number=self._holder_number,
        )
        return sample_holders(self._own_entries(), is_wanted, on_free, probe=probe, now=now)

    def _apply_claim(self, claim):
        if self.election.is_scheduler:
            self._on_elected()
        self.leader.apply_claim(claim)
        self.submitter.apply_claim(claim)

    def dump(self):
        """Return the cell's scheduler, and its state if this process has it, as plain data."""
        return {"following": self.election.dump(), "scheduler": self.leader.dump()}


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
            is_in_plan = cell.view.number < plan.cells
            cell.election.draining = self._is_draining or not is_in_plan
            if not is_in_plan:
                cell.election.step_down("cell_removed")
            cell.leader.note_plan()

    def check_plan(self):
        """Write a new plan if this process schedules the first cell and another one is wanted."""
        election, services = self.first.election, self._services
        if not election.is_scheduler:
            return
        now = services.timers.now()
        cores = [services.host.usable_cores(now), *election.followers.live_cores(now).values()]
        wanted = wanted_cells(len(services.directory.entries), cores)
        plan = self._chooser.next_plan(self._plan, wanted, now)
        if plan is not None:
            log.info("cell_plan_chosen", cells=plan.cells, before=self._plan.cells)
            services.registry.write_plan(plan)

    def set_ready(self, is_ready):
        """Set whether the elections may search for a scheduler."""
        for cell in self._all:
            cell.election.ready = is_ready

    @property
    def is_scheduler(self):
        """Whether this process schedules a cell."""
        return any(cell.election.is_scheduler for cell in self._all)

    @property
    def learns_versions(self):
        """Whether the schedulers that are followed read configurations and pass them on."""
        return any(cell.election.learns_versions for cell in self)

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

    def submit(self, spec, *, wait_s):
        """Submit a job to the scheduler of its cell; see `Submitter.submit`.

        A job that no endpoint of its cell can hold is passed on to the other cells.
        """
        submission = Submission(spec, self._services.timers.now(), wait_s)
        while True:
            home = cell_of(spec.job_id, len(self))
            try:
                return self._submit_from(home, submission)
            except JobMoved:
                submission.is_passed_on = False

    def _submit_from(self, home, submission):
        cells = list(self)
        for cell in cells[home:] + cells[:home]:
            try:
                return cell.submitter.resume(submission)
            except BurdocklugError as exc:
                if exc.kind is not ErrorKind.NO_ENDPOINT or submission.may_have_started:
                    raise
                refusal = exc
            submission.is_passed_on = True
        raise refusal

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
        home = cell_of(job_id, len(self))
        cells = list(self)
        for cell in cells[home:] + cells[:home]:
            state = ask(cell.control)
            if state:
                return state
        return ""

    def cancel(self, job_id):
        """Cancel a job and return its state; empty if the job is unknown."""
        return self._ask(job_id, lambda control: control.cancel(job_id))

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
