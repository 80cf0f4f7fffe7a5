"""The interface of the platform's key-value service, its records and its errors."""

import abc
from dataclasses import dataclass

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran, Registry

__all__ = [
    "MAX_VALUE_BYTES",
    "Entry",
    "HostList",
    "LeaseExpired",
    "Store",
    "StoreError",
    "StoreUnavailable",
    "StoreUncertain",
    "ValueTooLarge",
    "VersionMismatch",
    "check_value_size",
    "stores",
]

MAX_VALUE_BYTES = 1_000_000

stores = Registry("store")


@dataclass(frozen=True, slots=True)
class Entry:
    """One value of the store.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value.
    version : int
        The store's revision of the last write of this key, from 1. Revisions only grow, also
        over a removal of the key.
    """

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's lagging list of hosts.

    Parameters
    ----------
    version : int
        Grows with each change; a list with a lower version is older.
    live, leaving : frozenset of str
        IP numbers.
    """

    version: int
    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class StoreError(BurdocklugError):
    """Base of the errors of the store interface."""


class StoreUnavailable(StoreError):
    """The store did not do the call; nothing was written."""

    def __init__(self, message, *, retry_after_s=None):
        super().__init__(ErrorKind.PLATFORM_UNAVAILABLE, message, retry_after_s=retry_after_s)


class StoreUncertain(StoreError):
    """The answer to a write was lost; the write may have taken effect, or may do so yet."""

    def __init__(self, message):
        super().__init__(ErrorKind.PLATFORM_UNAVAILABLE, message, ran=Ran.UNKNOWN)


class VersionMismatch(StoreError):
    """The key is not at the expected version; nothing was written.

    Parameters
    ----------
    key : str
        The key.
    expected_version : int
        What the caller expected; 0 for an absent key.
    current : Entry or None
        What the store holds; None for an absent key.
    """

    def __init__(self, key, expected_version, current):
        found = "absent" if current is None else f"at version {current.version}"
        message = f"key {key!r} is {found}, expected version {expected_version}"
        super().__init__(ErrorKind.KEY_CONFLICT, message)
        self.current = current


class LeaseExpired(StoreError):
    """The lease has expired or was never granted; nothing was written."""

    def __init__(self, lease_id):
        super().__init__(ErrorKind.KEY_EXPIRED, f"lease {lease_id!r} has expired", ran=Ran.NO)


class ValueTooLarge(StoreError):
    """The value has more than MAX_VALUE_BYTES; nothing was written."""

    def __init__(self, key, size):
        message = f"value of {key!r} has {size} bytes, more than {MAX_VALUE_BYTES}"
        super().__init__(ErrorKind.BODY_TOO_LARGE, message)


def check_value_size(key, value):
    """Raise ValueTooLarge for a value that no store takes.

    Examples
    --------
    >>> check_value_size("a", b"x" * 10)
    """
    if len(value) > MAX_VALUE_BYTES:
        raise ValueTooLarge(key, len(value))


class Store(abc.ABC):
    """The platform's key-value service.

    Notes
    -----
    Every call takes the keyword `purpose`, a short string under which it is counted, and costs
    one call at the platform, a waiting watch included. Reads can be stale: a caller never
    replaces something newer by what it read. Any call raises `StoreUnavailable` when the store
    certainly did nothing; the calls that write raise `StoreUncertain` when that is not known,
    and the caller re-reads before it decides.
    """

    @abc.abstractmethod
    def get(self, key, *, purpose):
        """Return the Entry of a key, or None if it is absent.

        Raises
        ------
        StoreUnavailable
            If no address of the store gave a valid answer.
        """

    @abc.abstractmethod
    def put(self, key, value, *, expected_version, lease_id=None, purpose):
        """Write a value by compare-and-swap and return the new Entry.

        Parameters
        ----------
        key : str
            The key.
        value : bytes
            At most MAX_VALUE_BYTES.
        expected_version : int
            Version that the key must have; 0 if it must be absent.
        lease_id : str, optional
            Lease whose expiry removes the key. Without it, the key is freed from any lease.
        purpose : str
            What the call is counted under.

        Raises
        ------
        VersionMismatch, LeaseExpired, ValueTooLarge, StoreUnavailable
            Nothing was written.
        StoreUncertain
            The write may have taken effect, or may do so later.
        """

    @abc.abstractmethod
    def delete(self, key, *, expected_version, purpose):
        """Remove a key by compare-and-swap; errors are those of `put`."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease that lasts `ttl_s` seconds unless it is kept.

        Raises
        ------
        StoreUnavailable
            No lease was granted.
        StoreUncertain
            A lease may exist; it expires unused.
        """

    @abc.abstractmethod
    def keep_lease(self, lease_id, *, purpose):
        """Prolong a lease by its time to live, counted from the call's arrival.

        Raises
        ------
        LeaseExpired
            Its keys are gone.
        StoreUnavailable, StoreUncertain
            The lease may expire at its earlier time.
        """

    @abc.abstractmethod
    def watch(self, key, *, after_version, timeout_s, purpose):
        """Wait until a key is newer than a version.

        Parameters
        ----------
        key : str
            The key.
        after_version : int
            The newest version that the caller knows; 0 for none.
        timeout_s : float
            Longest wait at the store, seconds.
        purpose : str
            What the call is counted under.

        Returns
        -------
        Entry or None
            The current entry once its version exceeds `after_version`; versions in between
            are skipped. None after the timeout. A removal alone does not end the wait.

        Raises
        ------
        StoreUnavailable
            If the store fails or the connection has gone silent.
        """

    @abc.abstractmethod
    def hosts(self, *, purpose):
        """Return the HostList that the platform shows at present.

        Raises
        ------
        StoreUnavailable
            If no address of the store gave a valid answer.
        """

    def close(self):  # noqa: B027 - most stores have nothing to close
        """Close idle connections; the store stays usable."""
