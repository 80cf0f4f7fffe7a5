"""Store inside one process, for trials without a platform and for tests."""

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

WATCH_STEP_S = 0.02


@dataclass(slots=True)
class MemoryLease:
    """A lease and the keys that go with it."""

    ttl_s: float
    expires_s: float
    keys: set = field(default_factory=set)


@stores.register("memory")
class MemoryStore(Store):
    """Store over a dict; it lasts as long as the process.

    Parameters
    ----------
    now : callable, optional
        Returns monotonic seconds.
    sleep : callable, optional
        Waits for some seconds inside `watch`; eventlet.sleep by default.

    Attributes
    ----------
    down : bool
        Calls raise StoreUnavailable and do nothing.
    lose_next_answers : int
        Number of next writes that take effect and raise StoreUncertain.
    lose_next_calls : int
        Number of next writes that do nothing and raise StoreUncertain.
    stale : bool
        Reads answer from the state at the time when `stale` was set.
    calls : Counter
        Calls by pairs of purpose and kind.
    host_list : HostList
        What `hosts` returns.

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
        self.lose_next_answers = 0
        self.lose_next_calls = 0
        self.calls = Counter()
        self.host_list = HostList(0)
        self._now = now
        self._sleep = sleep
        self._revision = 0
        self._entries = {}
        self._leases = {}
        self._stale_view = None

    @property
    def stale(self):
        """Whether reads answer from an old state."""
        return self._stale_view is not None

    @stale.setter
    def stale(self, stale):
        self._stale_view = (dict(self._entries), self.host_list) if stale else None

    def get(self, key, *, purpose):
        """Return the Entry of a key, or None; see `Store.get`."""
        self._begin(purpose, "get")
        return self._view().get(key)

    def watch(self, key, *, after_version, timeout_s, purpose):
        """Wait for a newer version of a key; see `Store.watch`."""
        self._begin(purpose, "watch")
        end_s = self._now() + timeout_s
        while True:
            self._expire()
            entry = self._view().get(key)
            if entry is not None and entry.version > after_version:
                return entry
            if self.down:
                raise StoreUnavailable("watch failed: the store is down")
            left_s = end_s - self._now()
            if left_s <= 0:
                return None
            self._wait(min(left_s, WATCH_STEP_S))

    def hosts(self, *, purpose):
        """Return the host list; see `Store.hosts`."""
        self._begin(purpose, "hosts")
        return self._stale_view[1] if self.stale else self.host_list

    def put(self, key, value, *, expected_version, lease_id=None, purpose):
        """Write a value by compare-and-swap; see `Store.put`."""
        check_value_size(key, value)
        self._begin_write(purpose, "put")
        self._check(key, expected_version)
        if lease_id is not None and lease_id not in self._leases:
            raise LeaseExpired(lease_id)
        self._release(key)
        self._revision += 1
        entry = self._entries[key] = Entry(key, bytes(value), self._revision)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
        self._end_write("put")
        return entry

    def delete(self, key, *, expected_version, purpose):
        """Delete a key by compare-and-swap; see `Store.delete`."""
        self._begin_write(purpose, "delete")
        self._check(key, expected_version)
        self._remove(key)
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

    def _view(self):
        return self._stale_view[0] if self.stale else self._entries

    def _begin(self, purpose, kind):
        self.calls[purpose, kind] += 1
        if self.down:
            raise StoreUnavailable(f"{kind} failed: the store is down")
        self._expire()

    def _begin_write(self, purpose, kind):
        self._begin(purpose, kind)
        if self.lose_next_calls > 0:
            self.lose_next_calls -= 1
            raise StoreUncertain(f"{kind}: no answer")

    def _end_write(self, kind):
        if self.lose_next_answers > 0:
            self.lose_next_answers -= 1
            raise StoreUncertain(f"{kind}: no answer")

    def _check(self, key, expected_version):
        current = self._entries.get(key)
        if (current.version if current else 0) != expected_version:
            raise VersionMismatch(key, expected_version, current)

    def _release(self, key):
        for lease in self._leases.values():
            lease.keys.discard(key)

    def _remove(self, key):
        self._release(key)
        if self._entries.pop(key, None) is not None:
            self._revision += 1

    def _expire(self):
        now_s = self._now()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_s <= now_s:
                del self._leases[lease_id]
                for key in sorted(lease.keys):
                    self._remove(key)

    def _wait(self, wait_s):
        if self._sleep is None:
            import eventlet

            self._sleep = eventlet.sleep
        self._sleep(wait_s)
