"""Interface of the platform's key-value service, with its data types and errors."""

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
    """A key with its value and version.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value.
    version : int
        The store's revision at the last write of this key, from 1. Revisions only increase, even
        if the key is deleted and written again.
    """

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts, which may lag behind their actual state.

    Parameters
    ----------
    version : int
        Increases with each change; a list with a lower version is older.
    live, leaving : frozenset of str
        IP addresses of the hosts in each state.
    """

    version: int
    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class StoreError(BurdocklugError):
    """Base class of the errors of the store interface."""


class StoreUnavailable(StoreError):
    """The store did not perform the call; nothing was written."""

    def __init__(self, message, *, retry_after_s=None):
        super().__init__(ErrorKind.PLATFORM_UNAVAILABLE, message, retry_after_s=retry_after_s)


class StoreUncertain(StoreError):
    """The response to a write was lost; the write may have taken effect or may do so later."""

    def __init__(self, message):
        super().__init__(ErrorKind.PLATFORM_UNAVAILABLE, message, ran=Ran.UNKNOWN)


class VersionMismatch(StoreError):
    """The key is not at the expected version; nothing was written.

    Parameters
    ----------
    key : str
        The key.
    expected_version : int
        Version that the caller expected; 0 for an absent key.
    current : Entry or None
        Entry in the store; None for an absent key.
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
    """The value is larger than MAX_VALUE_BYTES; nothing was written."""

    def __init__(self, key, size):
        message = f"value of {key!r} has {size} bytes, more than {MAX_VALUE_BYTES}"
        super().__init__(ErrorKind.BODY_TOO_LARGE, message)


def check_value_size(key, value):
    """Raise ValueTooLarge if a value is larger than MAX_VALUE_BYTES.

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
    one call of the platform's capacity; a waiting watch costs one too. Reads may be stale, so a
    caller must not replace newer state by what it read. A call raises `StoreUnavailable` if the
    store certainly wrote nothing. Calls that write raise `StoreUncertain` if that is unknown;
    the caller then reads again before it decides.
    """

    @abc.abstractmethod
    def get(self, key, *, purpose):
        """Return the Entry of a key, or None if it is absent.

        Raises
        ------
        StoreUnavailable
            If no address of the store gave a valid response.
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
            Lease whose expiry deletes the key. Without it, the key is detached from any lease.
        purpose : str
            Name under which the call is counted.

        Raises
        ------
        VersionMismatch, LeaseExpired, ValueTooLarge, StoreUnavailable
            Nothing was written.
        StoreUncertain
            The write may have taken effect, or may do so later.
        """

    @abc.abstractmethod
    def delete(self, key, *, expected_version, purpose):
        """Delete a key by compare-and-swap; raises the same errors as `put`."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease that expires after `ttl_s` seconds unless it is renewed.

        Raises
        ------
        StoreUnavailable
            No lease was granted.
        StoreUncertain
            A lease may have been granted; it will expire unused.
        """

    @abc.abstractmethod
    def keep_lease(self, lease_id, *, purpose):
        """Renew a lease for its time to live, counted from the arrival of the call.

        Raises
        ------
        LeaseExpired
            The lease has expired and its keys are deleted.
        StoreUnavailable, StoreUncertain
            The lease may expire at its previous expiry time.
        """

    @abc.abstractmethod
    def watch(self, key, *, after_version, timeout_s, purpose):
        """Wait until the version of a key exceeds a given version.

        Parameters
        ----------
        key : str
            The key.
        after_version : int
            The newest version that the caller has read; 0 for none.
        timeout_s : float
            Longest wait at the store, seconds.
        purpose : str
            Name under which the call is counted.

        Returns
        -------
        Entry or None
            The current entry once its version exceeds `after_version`; versions in between
            are skipped. None after the timeout. A deletion alone does not end the wait.

        Raises
        ------
        StoreUnavailable
            If the store failed or the connection is silent.
        """

    @abc.abstractmethod
    def hosts(self, *, purpose):
        """Return the current HostList of the platform.

        Raises
        ------
        StoreUnavailable
            If no address of the store gave a valid response.
        """

    def close(self):  # noqa: B027 - most stores have nothing to close
        """Close idle connections; the store stays usable."""
