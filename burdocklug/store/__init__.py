"""The platform's key-value service: its interface, clients, call budget and breaker."""

from burdocklug.store._breaker import BreakerState
from burdocklug.store._budget import Priority
from burdocklug.store._budgeted import DEFAULT_PRIORITIES, BudgetedStore
from burdocklug.store._follower import PollIntervals, PrefixFollower
from burdocklug.store._hosts import merge_host_lists
from burdocklug.store._http import HttpStore
from burdocklug.store._memory import MemoryStore
from burdocklug.store._records import (
    DeletedRecord,
    LeaseEnded,
    Record,
    RecordStore,
    RevisionCompacted,
    record_stores,
)
from burdocklug.store._store import (
    MAX_VALUE_BYTES,
    Entry,
    HostList,
    LeaseExpired,
    Store,
    StoreError,
    StoreUnavailable,
    StoreUncertain,
    ValueTooLarge,
    VersionMismatch,
    stores,
)

__all__ = [
    "DEFAULT_PRIORITIES",
    "MAX_VALUE_BYTES",
    "BreakerState",
    "BudgetedStore",
    "Entry",
    "PollIntervals",
    "RevisionCompacted",
    "HostList",
    "HttpStore",
    "LeaseEnded",
    "LeaseExpired",
    "MemoryStore",
    "PrefixFollower",
    "Priority",
    "Record",
    "RecordStore",
    "DeletedRecord",
    "Store",
    "StoreError",
    "StoreUnavailable",
    "StoreUncertain",
    "ValueTooLarge",
    "VersionMismatch",
    "merge_host_lists",
    "record_stores",
    "stores",
]
