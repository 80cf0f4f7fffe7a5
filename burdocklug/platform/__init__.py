"""The platform's key-value service: its interface, clients, call budget and breaker."""

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
    "MAX_VALUE_BYTES",
    "Entry",
    "HostList",
    "HttpStore",
    "LeaseExpired",
    "MemoryStore",
    "Store",
    "StoreError",
    "StoreUnavailable",
    "StoreUncertain",
    "ValueTooLarge",
    "VersionMismatch",
    "merge_host_lists",
    "stores",
]
