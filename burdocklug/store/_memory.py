"""In-memory store for use without a platform and for tests."""

import time
from collections import Counter
from dataclasses import dataclass, field

from burdocklug.store._store import (
    Entry,
    HostList,
    LeaseExpired,
    Store,
    StoreUnavailable,
    StoreUncertain,
    VersionMismatch,
    check_value_size,
    stores,
)

__all__ = ["MemoryStore"]

WATCH_POLL_INTERVAL_S = 0.02


@dataclass(slots=True)
class MemoryLease:
    """A lease and the keys that are deleted when it expires."""

    ttl_s: float
    expires_s: float
    keys: set = field(default_factory=set)


@stores.register("memory")
class MemoryStore(Store):
    """Store over a dict; its content is lost when the process ends.

    Parameters
    ----------
    now : callable, optional
        Returns monotonic seconds.
    sleep : callable, optional
        Called with the seconds to sleep inside `watch`; eventlet.sleep by default.

    Attributes
    ----------
    down : bool
        Whether all calls raise StoreUnavailable and have no effect.
    lose_next_responses : int
        Number of coming writes that take effect and raise StoreUncertain.
    lose_next_calls : int
        Number of coming writes that have no effect and raise StoreUncertain.
    stale : bool
        Whether reads return the state at the time when `stale` was set.
    calls : Counter
        Number of calls by pair of purpose and operation.
    host_list : HostList
        Host list that `hosts` returns, unless `stale` is set.

    Examples
    --------
    >>> store = MemoryStore()
    >>> store.put("a", b"1", expected_version=0, purpose="test").version
    1
    >>> store.get("a", purpose="test").value
    b'1'
    """

    def __init__(self, *, now=time.monotonic, sleep=None):
        self.down = False
        self.lose_next_responses = 0
        self.lose_next_calls = 0
        self.calls = Counter()
        self.host_list = HostList(0)
        self._now = now
        self._sleep = sleep
        self._revision = 0
        self._entries = {}
        self._leases = {}
        self._stale_state = None

    @property
    def stale(self):
        """Whether reads return an old state."""
        return self._stale_state is not None

    @stale.setter
    def stale(self, stale):
        self._stale_state = (dict(self._entries), self.host_list) if stale else None

    def get(self, key, *, purpose):
        """Return the Entry of a key, or None; see `Store.get`."""
        self._begin(purpose, "get")
        return self._readable_entries().get(key)

    def watch(self, key, *, after_version, timeout_s, purpose):
        """Wait for a newer version of a key; see `Store.watch`."""
        self._begin(purpose, "watch")
        deadline_s = self._now() + timeout_s
        while True:
            self._expire_leases()
            entry = self._readable_entries().get(key)
            if entry is not None and entry.version > after_version:
                return entry
            if self.down:
                raise StoreUnavailable("watch failed: the store is down")
            remaining_s = deadline_s - self._now()
            if remaining_s <= 0:
                return None
            self._wait(min(remaining_s, WATCH_POLL_INTERVAL_S))

    def hosts(self, *, purpose):
        """Return the host list; see `Store.hosts`."""
        self._begin(purpose, "hosts")
        return self._stale_state[1] if self.stale else self.host_list

    def put(self, key, value, *, expected_version, lease_id=None, purpose):
        """Write a value by compare-and-swap; see `Store.put`."""
        check_value_size(key, value)
        self._begin_write(purpose, "put")
        self._check_version(key, expected_version)
        if lease_id is not None and lease_id not in self._leases:
            raise LeaseExpired(lease_id)
        self._detach_key(key)
        self._revision += 1
        entry = self._entries[key] = Entry(key, bytes(value), self._revision)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
        self._end_write("put")
        return entry

    def delete(self, key, *, expected_version, purpose):
        """Delete a key by compare-and-swap; see `Store.delete`."""
        self._begin_write(purpose, "delete")
        self._check_version(key, expected_version)
        self._delete_key(key)
        self._end_write("delete")

    def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease; see `Store.grant_lease`."""
        self._begin_write(purpose, "grant_lease")
        self._revision += 1
        lease_id = f"lease-{self._revision}"
        self._leases[lease_id] = MemoryLease(ttl_s, self._now() + ttl_s)
        self._end_write("grant_lease")
        return lease_id

    def keep_lease(self, lease_id, *, purpose):
        """Renew a lease; see `Store.keep_lease`."""
        self._begin_write(purpose, "keep_lease")
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseExpired(lease_id)
        lease.expires_s = self._now() + lease.ttl_s
        self._end_write("keep_lease")

    def _readable_entries(self):
        return self._stale_state[0] if self.stale else self._entries

    def _begin(self, purpose, operation):
        self.calls[purpose, operation] += 1
        if self.down:
            raise StoreUnavailable(f"{operation} failed: the store is down")
        self._expire_leases()

    def _begin_write(self, purpose, operation):
        self._begin(purpose, operation)
        if self.lose_next_calls > 0:
            self.lose_next_calls -= 1
            raise StoreUncertain(f"{operation}: no response")

    def _end_write(self, operation):
        if self.lose_next_responses > 0:
            self.lose_next_responses -= 1
            raise StoreUncertain(f"{operation}: no response")

    def _check_version(self, key, expected_version):
        current = self._entries.get(key)
        if (current.version if current else 0) != expected_version:
            raise VersionMismatch(key, expected_version, current)

    def _detach_key(self, key):
        for lease in self._leases.values():
            lease.keys.discard(key)

    def _delete_key(self, key):
        self._detach_key(key)
        if self._entries.pop(key, None) is not None:
            self._revision += 1

    def _expire_leases(self):
        now_s = self._now()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_s <= now_s:
                del self._leases[lease_id]
                for key in sorted(lease.keys):
                    self._delete_key(key)

    def _wait(self, wait_s):
        if self._sleep is None:
            import eventlet

            self._sleep = eventlet.sleep
        self._sleep(wait_s)
