"""State of the key-value stand-in: no sockets, and the time comes as an argument."""

import itertools
from collections import deque
from dataclasses import dataclass, field

__all__ = [
    "Hosts",
    "LeaseGone",
    "MAX_VALUE_BYTES",
    "Mismatch",
    "StoreState",
    "TooLarge",
    "Value",
]

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY = 64  # versions kept of each key, for stale reads


@dataclass(frozen=True, slots=True)
class Value:
    """One value of one key; a removed key has a Value whose `data` is None."""

    key: str
    data: bytes | None
    version: int
    written_s: float
    lease_id: str | None = None


@dataclass(frozen=True, slots=True)
class Hosts:
    """A host list and the time from which readers see it."""

    version: int
    live: tuple
    leaving: tuple
    visible_s: float


@dataclass(slots=True)
class Lease:
    """A lease and the keys that go with it."""

    ttl_s: float
    expires_s: float
    keys: set = field(default_factory=set)


class Mismatch(Exception):
    """The key's version is not the expected one; `current` is a Value or None."""

    def __init__(self, current):
        super().__init__("version mismatch")
        self.current = current


class LeaseGone(Exception):
    """The lease is unknown or has expired."""


class TooLarge(Exception):
    """The value is larger than MAX_VALUE_BYTES."""


class StoreState:
    """Keys, leases and host lists.

    Every method takes `now_s`, the current time in seconds, and first drops the leases that
    have expired by then.

    Examples
    --------
    >>> state = StoreState()
    >>> state.put("a", b"1", expected_version=0, now_s=0.0).version
    1
    >>> state.get("a", now_s=1.0).data
    b'1'
    """

    def __init__(self):
        self.revision = 0
        self._history = {}
        self._leases = {}
        self._lease_ids = itertools.count(1)
        self._hosts = [Hosts(0, (), (), 0.0)]
        self._listeners = []

    def on_write(self, listener):
        """Call `listener(key)` after each write or removal."""
        self._listeners.append(listener)

    def get(self, key, *, now_s, stale_s=0.0, stale_versions=0):
        """Return the Value of a key or None, from a view that may be old on purpose.

        Parameters
        ----------
        key : str
            The key.
        now_s : float
            Current time.
        stale_s : float, optional
            Age of the view in seconds.
        stale_versions : int, optional
            Number of the latest writes, of any key, that the view lacks.
        """
        self.expire(now_s=now_s)
        newest = self.revision - stale_versions
        for value in reversed(self._history.get(key, ())):
            if value.version <= newest and value.written_s <= now_s - stale_s:
                return None if value.data is None else value
        return None

    def put(self, key, data, *, expected_version, now_s, lease_id=None):
        """Write a value if the key is at the expected version; 0 means absent.

        Raises
        ------
        Mismatch, LeaseGone, TooLarge
            And nothing was written.
        """
        if len(data) > MAX_VALUE_BYTES:
            raise TooLarge(len(data))
        self._check(key, expected_version, now_s)
        if lease_id is not None and lease_id not in self._leases:
            raise LeaseGone(lease_id)
        return self._write(key, data, now_s, lease_id)

    def delete(self, key, *, expected_version, now_s):
        """Remove a key that is at the expected version.

        Raises
        ------
        Mismatch
            And nothing was removed.
        """
        self._check(key, expected_version, now_s)
        if expected_version:
            self._write(key, None, now_s, None)

    def _check(self, key, expected_version, now_s):
        current = self.get(key, now_s=now_s)
        if (current.version if current else 0) != expected_version:
            raise Mismatch(current)

    def _write(self, key, data, now_s, lease_id):
        history = self._history.setdefault(key, deque(maxlen=MAX_HISTORY))
        if history and history[-1].lease_id in self._leases:
            self._leases[history[-1].lease_id].keys.discard(key)
        self.revision += 1
        value = Value(key, data, self.revision, now_s, lease_id)
        history.append(value)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
        for listener in self._listeners:
            listener(key)
        return value

    def grant_lease(self, ttl_s, *, now_s):
        """Return the id of a new lease."""
        self.expire(now_s=now_s)
        lease_id = f"lease-{next(self._lease_ids)}"
        self._leases[lease_id] = Lease(ttl_s, now_s + ttl_s)
        return lease_id

    def keep_lease(self, lease_id, *, now_s):
        """Prolong a lease by its time to live.

        Raises
        ------
        LeaseGone
            If it is unknown or has expired.
        """
        self.expire(now_s=now_s)
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseGone(lease_id)
        lease.expires_s = now_s + lease.ttl_s

    def expire(self, *, now_s):
        """Drop expired leases and remove their keys."""
        gone = [name for name, lease in self._leases.items() if lease.expires_s <= now_s]
        for lease_id in gone:
            for key in sorted(self._leases.pop(lease_id).keys):
                self._write(key, None, now_s, None)

    def set_hosts(self, live, leaving, *, now_s, version=None, lag_s=0.0):
        """Set the host list that readers see `lag_s` seconds from now.

        Parameters
        ----------
        live, leaving : sequence of str
            IP numbers.
        now_s : float
            Current time.
        version : int, optional
            One more than the last list's by default; any number may be forced.
        lag_s : float, optional
            Delay until readers see the list.
        """
        if version is None:
            version = self._hosts[-1].version + 1
        hosts = Hosts(version, tuple(sorted(live)), tuple(sorted(leaving)), now_s + lag_s)
        self._hosts = [*self._hosts[-MAX_HISTORY:], hosts]
        return hosts

    def hosts(self, *, now_s, stale_s=0.0):
        """Return the newest host list that readers see."""
        for hosts in reversed(self._hosts):
            if hosts.visible_s <= now_s - stale_s:
                return hosts
        return self._hosts[0]
