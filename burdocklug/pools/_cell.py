"""One cell, as one process takes part in it: its election, its leader and its submitter."""

from dataclasses import dataclass, field
from functools import partial

from burdocklug.pools._cancellations import Cancellations
from burdocklug.pools._leader import Leader
from burdocklug.pools.agents import holder_number, probe_holder
from burdocklug.pools.cells import EndpointShare
from burdocklug.pools.election import SchedulerElection, sample_holders
from burdocklug.pools.submitting import JobControl, Submitter

__all__ = ["Cell", "CellServices"]


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
        Called with the incarnation of a peer that has a newer configuration, newer evacuations or
        a newer plan of cells.
    on_version_heard : callable
        Called with the incarnation of a peer and the version of its configuration, if it is newer.
    max_job_bytes : int
        Memory for the jobs of a scheduler.
    cancellations : Cancellations
        Jobs that were cancelled at this process, whichever cell had them.
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
    on_version_heard: object
    max_job_bytes: int
    cancellations: Cancellations = field(default_factory=Cancellations)


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
        self.election.on_version_heard = services.on_version_heard
        self.election.evacuations = lambda: directory.evacuation_view
        self.election.operators_revision = lambda: directory.operators_revision
        self.election.on_peer_view = directory.note_peer_view
        self.election.plan_number = lambda: view.plan_number
        self.submitter = Submitter(
            network, self.election, timers, priorities=directory.priorities, cell=self.view
        )
        self.control = JobControl(
            network,
            self.election,
            timers,
            longest_wait_s=directory.longest_wait_s,
            cancellations=services.cancellations,
            cell=self.view,
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
            max_job_bytes=services.max_job_bytes,
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
