"""Which processes there are: each registers itself in the store under a lease."""

import eventlet
import msgspec
import structlog

from burdocklug.store import (
    FollowPace,
    LeaseEnded,
    PrefixFollower,
    Record,
    StoreUnavailable,
    StoreUncertain,
)

__all__ = ["MEMBERS_PREFIX", "FleetRegister", "MemberRecord"]

MEMBERS_PREFIX = "burdocklug/members/"
LEASE_S = 4.0  # a process that lost its power is not counted any more after this time
RENEW_S = 1.2  # three tries within a lease
PACE = FollowPace(pause_s=0.1)  # processes come and go seldom

log = structlog.get_logger(__name__)


class MemberRecord(msgspec.Struct, frozen=True):
    """Value of a record: a process that lives."""

    incarnation: str
    failure_domain: str


class FleetRegister:
    """Registers this process and knows the others.

    Parameters
    ----------
    store : RecordStore
        Where processes register.
    name : str
        Name of this process; a restarted one replaces the record of the one before.
    record : MemberRecord
        What is registered.

    Attributes
    ----------
    others : dict
        Failure domains of the other processes by incarnation.
    registered : bool
        Whether the own record was written.
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
        """Failure domains of the other processes that are registered, by incarnation."""
        own = self._record.incarnation
        return {
            m.incarnation: m.failure_domain for m in self._members.values() if m.incarnation != own
        }

    @property
    def known(self):
        """Whether the register was read after this process had registered itself."""
        return self.registered and self._follower.whole

    def start(self):
        """Register, and go on renewing the lease."""
        eventlet.spawn(self._run)

    def _run(self):
        while not self._stopped:
            try:
                self._keep()
            except (StoreUnavailable, StoreUncertain) as exc:
                log.info("registration_failed", error=str(exc)[:120])
            except LeaseEnded:
                log.info("registration_lapsed", lease=self._lease)
                self._lease = 0
                continue
            except Exception:
                log.exception("registration_failed")
            eventlet.sleep(RENEW_S)

    def _keep(self):
        if not self._lease:
            lease, _ttl_s = self._store.grant_lease(LEASE_S)
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
            member = msgspec.json.decode(change.value, type=MemberRecord)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            log.warning("member_record_malformed", key=change.key, error=str(exc)[:120])
            return
        self._members[change.key] = member

    def stop(self):
        """Take the own record out, as far as the store is reached."""
        self._stopped = True
        if not self._lease:
            return
        try:
            self._store.end_lease(self._lease)
        except (LeaseEnded, StoreUnavailable, StoreUncertain) as exc:
            log.info("deregistration_failed", error=str(exc)[:120])

    def dump(self):
        """Return the known processes as plain data."""
        return {"registered": self.registered, "others": sorted(self.others)}
