"""The platform's store as a part of a process."""

from burdocklug.kernel import part
from burdocklug.platform import BudgetedStore, HttpStore

__all__ = ["build_platform"]


@part("platform")
def build_platform(process):
    """Return the store of a process, held to the process's share of the platform's calls."""
    settings = process.settings.platform
    store = HttpStore(settings.addresses, timeout_s=settings.timeout_s)
    return BudgetedStore(store, calls_per_s=settings.calls_per_s, now=process.timers.now)
