"""Registry of the pool's processes: each one registers itself in the store under a lease."""

import eventlet
import msgspec
import structlog

from burdocklug.kernel import decode_json
from burdocklug.store import (
    LeaseEnded,
    PollIntervals,
    PrefixFollower,
    Record,
    StoreUnavailable,
    StoreUncertain,
)

__all__ = ["MEMBERS_PREFIX", "MemberRegistry", "MemberRecord"]

MEMBERS_PREFIX = "burdocklug/members/"
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

    Attributes
    ----------
    others : dict
        Failure domains of the other registered processes, by incarnation.
    registered : bool
        Whether this process has ever written its record.
    """

    def __init__(self, store, name, record):
        self.registered = False
        self._store = store
        self._key = MEMBERS_PREFIX + name
        self._record = record
        self._lease = 0
        self._members = {}
        self._stopped = False
        self._follower = PrefixFollower(
            store, MEMBERS_PREFIX, replace=self._replace, apply=self._apply, pace=lambda: PACE
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

    def _apply(self, change):
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
        """Return whether this process is registered, and the other processes, as plain data."""
        return {"registered": self.registered, "others": sorted(self.others)}
