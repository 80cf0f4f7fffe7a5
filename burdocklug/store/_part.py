"""The platform's store as a part of a process."""

from burdocklug.kernel import part
from burdocklug.store._budget import process_share
from burdocklug.store._budgeted import BudgetedStore
from burdocklug.store._http import HttpStore

__all__ = ["build_platform"]

FOLLOW_S = 1.0


@part("platform", needs=("peers",))
def build_platform(process):
    """Return the store's client of a process, within the process's share of the call budget."""
    settings = process.settings.platform
    now = process.timers.now
    names = len(set(process.settings.process.fleet))
    store = HttpStore(settings.addresses, timeout_s=settings.timeout_s, now=now)
    budgeted = BudgetedStore(store, calls_per_s=settings.calls_per_s, now=now)

    def follow_members():
        known = 1 + sum(m.state.is_living for m in process["peers"].members())
        if max(names, known) > 1:
            share = process_share(settings.fleet_calls_per_s, names=names, known=known)
            budgeted.set_calls_per_s(share)

    follow_members()
    process.timers.every(FOLLOW_S, follow_members)
    return budgeted
