"""Builds the client of the platform's store as a part of a process."""

from burdocklug.kernel import part
from burdocklug.store._budget import process_share
from burdocklug.store._budgeted import BudgetedStore
from burdocklug.store._http import HttpStore

__all__ = ["build_platform"]

BUDGET_UPDATE_INTERVAL_S = 1.0


@part("platform", needs=("peers",))
def build_platform(process):
    """Return the store client of a process, limited to its share of the fleet's call budget."""
    settings = process.settings.platform
    now = process.timers.now
    configured_count = len(set(process.settings.process.fleet))
    store = HttpStore(settings.addresses, timeout_s=settings.timeout_s, now=now)
    budgeted = BudgetedStore(store, calls_per_s=settings.calls_per_s, now=now)

    def update_budget():
        live_count = 1 + sum(m.state.is_alive_or_suspect for m in process["peers"].members())
        if max(configured_count, live_count) > 1:
            share = process_share(
                settings.fleet_calls_per_s, configured_count=configured_count, live_count=live_count
            )
            budgeted.set_calls_per_s(share)

    update_budget()
    process.timers.every(BUDGET_UPDATE_INTERVAL_S, update_budget)
    return budgeted
