"""The platform: its key-value store and its list of hosts."""

from burdocklug.platform._temporary import (
    Entry,
    HostList,
    HttpStore,
    StoreUnavailable,
    StoreUncertain,
    VersionMismatch,
    merge_host_lists,
)

__all__ = [
    "Entry",
    "HostList",
    "HttpStore",
    "StoreUnavailable",
    "StoreUncertain",
    "VersionMismatch",
    "merge_host_lists",
]
