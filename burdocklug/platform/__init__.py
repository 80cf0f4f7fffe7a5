"""The platform's key-value service: its interface, clients, call budget and breaker."""

from burdocklug.platform._breaker import BreakerState
from burdocklug.platform._budget import Priority
from burdocklug.platform._budgeted import DEFAULT_PRIORITIES, BudgetedStore
from burdocklug.platform._hosts import merge_host_lists
from burdocklug.platform._http import HttpStore
from burdocklug.platform._memory import MemoryStore
from burdocklug.platform._store import (
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
    "HostList",
    "HttpStore",
    "LeaseExpired",
    "MemoryStore",
    "Priority",
    "Store",
    "StoreError",
    "StoreUnavailable",
    "StoreUncertain",
    "ValueTooLarge",
    "VersionMismatch",
    "merge_host_lists",
    "stores",
]
