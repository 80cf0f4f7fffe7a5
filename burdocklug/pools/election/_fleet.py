"""Registry of the pool: its processes, each under a lease, and its division into cells."""

import eventlet
import msgspec
import structlog

from burdocklug.kernel import decode_json
from burdocklug.pools.cells import CellPlan, decode_plan
from burdocklug.store import (
    LeaseEnded,
    PollIntervals,
    PrefixFollower,
    Record,
    StoreUnavailable,
    StoreUncertain,
)

__all__ = ["CELLS_KEY", "MEMBERS_PREFIX", "MemberRegistry", "MemberRecord"]

REGISTRY_PREFIX = "burdocklug/"
MEMBERS_PREFIX = REGISTRY_PREFIX + "members/"
CELLS_KEY = REGISTRY_PREFIX + "cells"
LEASE_TTL_S = 4.0  # a process that has lost power drops out of the registry after this time
RENEW_PERIOD_S = 1.2  # allows three attempts within a lease
PACE = PollIntervals(pause_s=0.1)  # the registry seldom changes

log = structlog.get_logger(__name__)


class MemberRecord(msgspec.Struct, frozen=True):
    """Value of a process's record in the store."""

    incarnation: str
    failure_domain: str


def decode_member(value):
    """Return the `MemberRecord` in a store value; raises ValueError if it is not valid."""
    return decode_json(value, MemberRecord)


class MemberRegistry:
    """Registers this process in the store and follows the records of the others.

    Parameters
    ----------
    store : RecordStore
        Store that holds the registry.
    name : str
        Name of this process; after a restart, the new record replaces the old one.
    record : MemberRecord
        Record of this process.
    on_plan : callable, optional
        Called with each `CellPlan` that supersedes the one before, and whether it was in force
        when this process first read the registry.

    Attributes
    ----------
    others : dict
        Failure domains of the other registered processes, by incarnation.
    registered : bool
        Whether this process has ever written its record.
    plan : CellPlan
        Division of the pool into cells.
    """

    def __init__(self, store, name, record, *, on_plan=None):
        self.registered = False
        self.plan = CellPlan()
        self._on_plan = on_plan
        self._store = store
        self._key = MEMBERS_PREFIX + name
        self._record = record
        self._lease = 0
        self._members = {}
        self._stopped = False
        self._follower = PrefixFollower(
            store, REGISTRY_PREFIX, replace=self._replace, apply=self._apply, pace=lambda: PACE
        )

    @property
    def others(self):
        """Failure domains of the other registered processes, by incarnation."""
        own = self._record.incarnation
        return {
            m.incarnation: m.failure_domain for m in self._members.values() if m.incarnation != own
        }

    @property
    def is_loaded(self):
        """Whether the registry was read after this process had registered itself."""
        return self.registered and self._follower.is_loaded

    def start(self):
        """Start a thread that registers this process and renews its lease."""
        eventlet.spawn(self._run)

    def _run(self):
        while not self._stopped:
            try:
                self._register_or_renew()
            except (StoreUnavailable, StoreUncertain) as exc:
                log.info("registration_failed", error=str(exc)[:120])
            except LeaseEnded:
                log.info("registration_lapsed", lease=self._lease)
                self._lease = 0
                continue
            except Exception:
                log.exception("registration_failed")
            eventlet.sleep(RENEW_PERIOD_S)

    def _register_or_renew(self):
        if not self._lease:
            lease, _ttl_s = self._store.grant_lease(LEASE_TTL_S)
            self._store.put(self._key, msgspec.json.encode(self._record), lease=lease)
            self._lease = lease
            log.info("registered", lease=lease)
            if not self.registered:
                self.registered = True
                self._follower.start()
        else:
            self._store.keep_lease(self._lease)

    def _replace(self, records):
        self._members = {}
        for record in records:
            self._apply(record)

    def write_plan(self, plan):
        """Write a plan to the store in the background, and apply it once it is stored."""
        eventlet.spawn_n(self._run_write_plan, plan)

    def _run_write_plan(self, plan):
        try:
            self._store.put(CELLS_KEY, msgspec.json.encode(plan))
        except (StoreUnavailable, StoreUncertain) as exc:
            log.info("cell_plan_not_written", cells=plan.cells, error=str(exc)[:120])

    def _apply_plan(self, change):
        if not isinstance(change, Record):
            return  # the plan in force stays
        try:
            # Two schedulers may have written plans of one number, so its revision counts.
            plan = msgspec.structs.replace(decode_plan(change.value), number=change.revision)
        except ValueError as exc:
            log.warning("cell_plan_malformed", error=str(exc)[:120])
            return
        self._take_plan(plan)

    def take_plan(self, plan):
        """Apply a plan that a peer has, if this process has read the registry and it is newer."""
        if self._follower.is_loaded:
            self._take_plan(plan)

    def _take_plan(self, plan):
        if plan > self.plan:
            log.info("cell_plan_in_force", number=plan.number, cells=plan.cells)
            self.plan = plan
            if self._on_plan is not None:
                self._on_plan(plan, is_initial=not self._follower.is_loaded)

    def _apply(self, change):
        if change.key == CELLS_KEY:
            self._apply_plan(change)
            return
        if not change.key.startswith(MEMBERS_PREFIX):
            return
        if not isinstance(change, Record):
            self._members.pop(change.key, None)
            return
        try:
            member = decode_member(change.value)
        except ValueError as exc:
            log.warning("member_record_malformed", key=change.key, error=str(exc)[:120])
            return
        self._members[change.key] = member

    def stop(self):
        """Remove this process's record; if the store is unreachable, it lapses with its lease."""
        self._stopped = True
        if not self._lease:
            return
        try:
            self._store.end_lease(self._lease)
        except (LeaseEnded, StoreUnavailable, StoreUncertain) as exc:
            log.info("deregistration_failed", error=str(exc)[:120])

    def dump(self):
        """Return this process's registration, the other processes and the plan, as plain data."""
        return {
            "registered": self.registered,
            "others": sorted(self.others),
            "cells": self.plan.cells,
        }
