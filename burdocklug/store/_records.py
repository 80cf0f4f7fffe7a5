"""Interface of a store of records whose changes can be followed by key prefix."""

import abc
from dataclasses import dataclass

from burdocklug.kernel import Registry

__all__ = [
    "RevisionCompacted",
    "LeaseEnded",
    "Record",
    "RecordStore",
    "DeletedRecord",
    "record_stores",
]

record_stores = Registry("record store")


class RevisionCompacted(Exception):
    """The store no longer keeps the changes after a revision; read the prefix again."""


class LeaseEnded(Exception):
    """The lease has ended; its records are deleted."""


@dataclass(frozen=True, slots=True)
class Record:
    """A record and the revision at which it was written."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class DeletedRecord:
    """The deletion of a record and the revision at which it happened."""

    key: str
    revision: int


class RecordStore(abc.ABC):
    """Store of records that are read and followed by key prefix.

    Notes
    -----
    A call raises `StoreUnavailable` if the store certainly wrote nothing. Calls that write raise
    `StoreUncertain` if that is unknown.
    """

    @abc.abstractmethod
    def read(self, prefix):
        """Return the records under a prefix, and the revision from which to follow changes."""

    @abc.abstractmethod
    def follow(self, prefix, after, *, wait_s):
        """Wait at most `wait_s` seconds for changes after the revision `after`.

        Returns
        -------
        tuple
            A list of `Record` and `DeletedRecord`, and the revision for the next call.

        Raises
        ------
        RevisionCompacted
            If the store no longer keeps these changes.
        """

    def is_receiving(self, prefix):
        """Return whether a part of the answer to a `follow` of this prefix has arrived, not all."""
        return False

    @abc.abstractmethod
    def put(self, key, value, *, lease=0):
        """Write a record unconditionally, with no lease if `lease` is 0."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s):
        """Return the number of a new lease and its time to live in seconds."""

    @abc.abstractmethod
    def keep_lease(self, lease):
        """Renew a lease; raises `LeaseEnded`."""

    @abc.abstractmethod
    def end_lease(self, lease):
        """End a lease and delete its records; raises `LeaseEnded`."""
