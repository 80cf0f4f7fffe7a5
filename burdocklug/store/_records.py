"""The store as a table of records under key prefixes, followed from a revision on."""

import abc
from dataclasses import dataclass

from burdocklug.kernel import Registry

__all__ = ["HistoryLost", "LeaseEnded", "Record", "RecordStore", "Removal", "record_stores"]

record_stores = Registry("record store")


class HistoryLost(Exception):
    """The changes after a revision are not kept any more; the prefix has to be read again."""


class LeaseEnded(Exception):
    """The lease has ended; its records are gone."""


@dataclass(frozen=True, slots=True)
class Record:
    """A record as it was written."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """The end of a record."""

    key: str
    revision: int


class RecordStore(abc.ABC):
    """Records under prefixes.

    Notes
    -----
    Each call raises `StoreUnavailable` where the store certainly did nothing, and calls that
    write raise `StoreUncertain` where that is not known.
    """

    @abc.abstractmethod
    def read(self, prefix):
        """Return the records under a prefix, and a revision from which to follow them."""

    @abc.abstractmethod
    def follow(self, prefix, after, *, wait_s):
        """Wait for changes after a revision.

        Returns
        -------
        tuple
            A list of `Record` and `Removal`, and the revision from which to go on.

        Raises
        ------
        HistoryLost
            If these changes are not kept any more.
        """

    @abc.abstractmethod
    def put(self, key, value, *, lease=0):
        """Write a record, whatever it was before."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s):
        """Return the number of a new lease and the seconds for which it lasts."""

    @abc.abstractmethod
    def keep_lease(self, lease):
        """Renew a lease; raises `LeaseEnded`."""

    @abc.abstractmethod
    def end_lease(self, lease):
        """End a lease and remove its records; raises `LeaseEnded`."""
