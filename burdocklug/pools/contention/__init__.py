"""Decisions under contention: which waiting jobs are served when not all can be in time.

While all waiting jobs can be in time this package only keeps its accounts. Otherwise `plan` selects
the jobs that are served, `verdict` decides on those that get no room, and `Returns` tells refused
callers when to come back. `Contention` keeps the state of one scheduler for these functions.
"""

from burdocklug.pools.contention._accounts import Accounts
from burdocklug.pools.contention._contention import UNPLACEABLE, Contention, PassPlan
from burdocklug.pools.contention._hopeless import MIN_RUN_FACTOR, find_hopeless_reason
from burdocklug.pools.contention._lateness import (
    is_too_late,
    latest_start_s,
    latest_useful_end_s,
    priority_key,
)
from burdocklug.pools.contention._plan import Plan, plan
from burdocklug.pools.contention._returns import Returns
from burdocklug.pools.contention._supply import Supply
from burdocklug.pools.contention._verdict import Offer, Verdict, verdict

__all__ = [
    "MIN_RUN_FACTOR",
    "UNPLACEABLE",
    "Accounts",
    "Contention",
    "Offer",
    "PassPlan",
    "Plan",
    "Returns",
    "Supply",
    "Verdict",
    "find_hopeless_reason",
    "is_too_late",
    "latest_start_s",
    "latest_useful_end_s",
    "plan",
    "priority_key",
    "verdict",
]
