"""The platform's store as a part of a process."""

from burdocklug.kernel import part
from burdocklug.platform._budgeted import BudgetedStore
from burdocklug.platform._http import HttpStore

__all__ = ["build_platform"]


@part("platform")
def build_platform(process):
    """Return the store's client of a process, within the process's call budget."""
    settings = process.settings.platform
    now = process.timers.now
    store = HttpStore(settings.addresses, timeout_s=settings.timeout_s, now=now)
    return BudgetedStore(store, calls_per_s=settings.calls_per_s, now=now)
