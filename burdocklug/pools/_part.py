"""The pool as a part of a process, which follows the scheduler or is the scheduler."""

import eventlet
import structlog

from burdocklug.kernel import BurdocklugError, ErrorKind, part
from burdocklug.pools._cell import CellServices
from burdocklug.pools._cells import Cells
from burdocklug.pools._directory import Directory
from burdocklug.pools._exchange import ConfigurationExchange
from burdocklug.pools._pause import CHECK_PERIOD_S, MAX_PAUSE_S, PauseDetector
from burdocklug.pools._power import HostCapacity
from burdocklug.pools.agents import order_protocols
from burdocklug.pools.election import MemberRecord, MemberRegistry, unreachable_domains
from burdocklug.store import PollIntervals

__all__ = ["PoolPart"]

MISSING_GRACE_S = 2.5  # entries that lapsed during a store outage are back within about 2 s
# Time from the start of a drain until requests are refused; the load balancer stops sending
# connections after two checks, 1 s apart.
REFUSE_AFTER_S = 2.3
# Parts of the grace period, from its end: when jobs that wait for capacity are given up, when all
# others are, and the time that the scheduler has to reply to that.
WITHDRAW_WAITING_S = 1.6
WITHDRAW_STARTED_S = 0.8
WITHDRAW_REPLY_S = 0.25
DRAIN_POLL_S = 0.05
# A leaving endpoint must get no work after 2 s: 0.6 s between two listings, 1 s timeout of a
# listing, 0.2 s before the retry, and a margin of 0.2 s.
LEADER_LISTING = PollIntervals(pause_s=0.6, wait_s=0.0, retry_s=0.2)
FOLLOWER_LISTING = PollIntervals(pause_s=4.0)  # a new scheduler lists the endpoints at once
# A configuration must be in force 2 s after it was written: the scheduler watches it, in calls so
# short that a silent connection is found in time, and passes it on to its followers. A process
# without such a scheduler, or one to which it does not get through, watches it itself.
CONFIGURATION_WATCH = PollIntervals(pause_s=0.05, wait_s=0.35, retry_s=0.2)
CONFIGURATION_FOLLOWED = PollIntervals(pause_s=10.0, wait_s=0.0)
MAX_VERSION_AGE_S = 1.5  # one read without an answer
# Time without a part of a newer version that is known to exist, after which the store is asked.
MAX_BEHIND_S = 0.8
# Time for which such a version may be missing until nothing is said of a queue by the older one.
MAX_TRUSTED_BEHIND_S = 1.0
PLAN_CHECK_S = 1.0  # period of the check whether another number of cells is wanted

log = structlog.get_logger(__name__)


class PoolPart:
    """Submits callers' jobs to the pool's scheduler, and runs the scheduler if this process leads.

    Parameters
    ----------
    process : Process
        Process with the parts "peers" and "records".
    """

    def __init__(self, process):
        self.directory = Directory()
        self.draining = False
        self.is_refusing = False
        self.on_elected = None
        self.on_configuration_doubtful = None
        self._reads_configuration = True
        self._process = process
        self._timers = process.timers
        self._network = process["peers"]
        settings = process.settings
        self._settings = settings.pool
        self._pauses = PauseDetector(self._timers.now)
        self.host = HostCapacity(
            (settings.pool.cpu_share or 1.0) * (settings.pool.cpu_speed or 1.0)
        )
        self.probe_domains = unreachable_domains
        record = MemberRecord(self._network.incarnation, settings.process.failure_domain)
        self.registry = MemberRegistry(
            process["records"],
            settings.process.name,
            record,
            on_plan=lambda plan, **options: self.cells.apply_plan(plan, **options),
        )
        self._exchange = ConfigurationExchange(
            self._network, self._timers, self.directory, self.registry
        )
        self.cells = Cells(self._cell_services())
        self._announced_version = 0
        self.directory.subscribe(self._announce_version)
        self._missing_since_s = {}
        self._grace_ends_s = float("-inf")

    def _cell_services(self):
        orders = order_protocols.get(self._settings.orders)
        return CellServices(
            network=self._network,
            timers=self._timers,
            directory=self.directory,
            registry=self.registry,
            host=self.host,
            settings=self._settings,
            protocol=orders(now=self._timers.now),
            unreachable_domains=self._unreachable_domains,
            is_version_current=self._is_version_current,
            is_paused=self._pauses.is_paused,
            on_elected=self._note_elected,
            on_newer_version=self._exchange.fetch,
            on_version_heard=self._note_version,
            max_job_bytes=self._process.settings.process.max_job_bytes,
        )

    @property
    def election(self):
        """Election of the first cell."""
        return self.cells.first.election

    @property
    def leader(self):
        """Leader of the first cell."""
        return self.cells.first.leader

    def start(self):
        """Start the election of the scheduler and the registration of this process."""
        self.cells.start()
        self.registry.start()
        self._timers.every(CHECK_PERIOD_S, self._check_pause)
        self._timers.every(PLAN_CHECK_S, self.cells.check_plan)

    def _note_elected(self):
        if self.on_elected is not None:
            self._reads_configuration = True  # `on_elected` reads it
            self.on_elected()

    def listing_pace(self):
        """Return the pace at which to list the platform's endpoints."""
        return LEADER_LISTING if self.cells.is_scheduler else FOLLOWER_LISTING

    def configuration_pace(self):
        """Return the pace at which to read the configuration."""
        return CONFIGURATION_WATCH if self._must_read_configuration() else CONFIGURATION_FOLLOWED

    def _must_read_configuration(self):
        """Return whether no other process passes a new configuration on to this one in time."""
        return (
            self.cells.is_scheduler or not self.cells.learns_versions or self._is_change_overdue()
        )

    def _is_change_overdue(self):
        """Return whether a newer version is known to exist and no part of it arrives."""
        now = self._timers.now()
        waited_s = now - self._exchange.part_received_s
        return min(self.directory.version_lag.behind_s(now), waited_s) > MAX_BEHIND_S

    def _note_version(self, peer, version):
        self.directory.note_version(version, source=peer, now_s=self._timers.now())

    def _announce_version(self):
        """Tell the processes that follow this one of a new configuration."""
        version = self.directory.configuration.version
        if version > self._announced_version:
            self._announced_version = version
            self._exchange.announce(self.cells.live_followers())

    def _is_version_current(self):
        age_s = self.directory.configuration_age.age_s(self._timers.now())
        return age_s <= MAX_VERSION_AGE_S

    def _check_configuration(self):
        """Read the configuration at once when no other process passes it on any more."""
        before, self._reads_configuration = (
            self._reads_configuration,
            self._must_read_configuration(),
        )
        if self._reads_configuration and not before and self.on_configuration_doubtful is not None:
            self.on_configuration_doubtful()

    def pending(self, queue):
        """Return how many jobs of a queue have started no task.

        Raises
        ------
        BurdocklugError
            Of kind ``no_configuration`` while this process lacks a newer configuration, which may
            not have the queue any more. Jobs are checked by the scheduler instead.
        """
        lag = self.directory.version_lag
        if lag.behind_s(self._timers.now()) > MAX_TRUSTED_BEHIND_S:
            raise BurdocklugError(
                ErrorKind.NO_CONFIGURATION,
                f"version {lag.newest} of the configuration has not arrived",
            )
        return self.cells.pending(queue)

    @property
    def is_ready(self):
        """Whether callers' jobs can be accepted now."""
        has_configuration = self.directory.configuration.version > 0
        return has_configuration and self.cells.is_served

    def _check_pause(self):
        now, paused_s = self._timers.now(), self._pauses.take_pause_s()
        # The timer is due at multiples of its period, so the remainder is how late it fired.
        self.host.note_lag(max(paused_s, now % CHECK_PERIOD_S), now)
        self.cells.set_ready(self.registry.is_loaded)
        if paused_s > MAX_PAUSE_S:
            log.warning("process_was_paused", paused_s=round(paused_s, 3))
            self.cells.step_down("paused")
        self._check_configuration()
        self.cells.inform_schedulers()
        self._forget_missing(now)

    def list_endpoints(self, entries):
        """Replace the listed endpoints; those no longer listed are removed after a grace period."""
        for entry in entries:
            self.list_endpoint(entry)
        listed = {entry.endpoint_id for entry in entries}
        for endpoint_id in set(self.directory.entries).difference(listed):
            self.unlist_endpoint(endpoint_id)

    def list_endpoint(self, entry):
        """Add or update one endpoint."""
        self._missing_since_s.pop(entry.endpoint_id, None)
        self.directory.put(entry, now_s=self._timers.now())

    def unlist_endpoint(self, endpoint_id):
        """Note that an endpoint is not listed; it is removed after `MISSING_GRACE_S`."""
        if endpoint_id in self.directory.entries:
            self._missing_since_s.setdefault(endpoint_id, self._timers.now())

    def _forget_missing(self, now):
        for endpoint_id, since_s in list(self._missing_since_s.items()):
            if now - since_s > MISSING_GRACE_S:
                del self._missing_since_s[endpoint_id]
                self.directory.remove(endpoint_id, reason="not listed any more")

    def _unreachable_domains(self, domains):
        return self.probe_domains(domains, self.directory.entries.values())

    def drain(self):
        """Hand over the scheduler's role, then wait until all callers have their answers.

        Callers whose jobs do not end in time are told before the grace period is over, which counts
        from the signal; a signal that came during a pause of this process came at its beginning.
        """
        self.draining = True
        end_s = self._timers.now() - self._pauses.recent_pause_s() + self._settings.grace_s
        self._grace_ends_s = end_s
        refuse_s = min(self._timers.now() + REFUSE_AFTER_S, end_s - self._settings.grace_s / 2)
        self.cells.hand_over()
        self._wait_for_callers(until_s=end_s - WITHDRAW_WAITING_S, refuse_s=refuse_s)
        self.cells.withdraw_waiting(only_waiting=True)
        self._wait_for_callers(until_s=end_s - WITHDRAW_STARTED_S, refuse_s=refuse_s)
        self.is_refusing = True
        self.cells.withdraw_waiting(only_waiting=False)
        self._wait_for_callers(
            until_s=end_s - WITHDRAW_STARTED_S + WITHDRAW_REPLY_S, refuse_s=refuse_s
        )
        log.info("drained", waiting=self.cells.waiting)
        self.cells.abandon_waiting()
        eventlet.sleep(0)

    def remaining_grace_s(self):
        """Return the rest of the grace period of a drain that has begun, in seconds; 0 if none."""
        return max(0.0, self._grace_ends_s - self._timers.now())

    def _wait_for_callers(self, *, until_s, refuse_s):
        """Wait until requests are refused and no caller waits any more, but not longer."""
        while (now := self._timers.now()) < until_s:
            self.is_refusing = now >= refuse_s
            if self.is_refusing and not self.cells.waiting:
                return
            eventlet.sleep(DRAIN_POLL_S)

    def stop(self):
        """Stop scheduling and remove this process from the registry."""
        self.cells.close()
        self.registry.stop()

    def dump(self):
        """Return the state of the pool as plain data."""
        return {
            **self.cells.first.dump(),
            "cells": [cell.dump() for cell in self.cells],
            "fleet": self.registry.dump(),
            "directory": self.directory.dump(),
            "waiting": self.cells.waiting,
        }

    def counts(self):
        """Return the counters of this process's schedulers and of waiting submissions, by name."""
        return {
            **self.cells.counts(),
            "evacuated_domains": len(self.directory.evacuations),
            "configuration_version": self.directory.configuration.version,
            "configuration_newest_known": self.directory.version_lag.newest,
            "configuration_behind_s": self.directory.version_lag.behind_s(self._timers.now()),
            "waiting": self.cells.waiting,
        }


@part("pool", needs=("peers", "records"), profile="pool")
def build_pool(process):
    """Return the pool part of a process."""
    return PoolPart(process)
