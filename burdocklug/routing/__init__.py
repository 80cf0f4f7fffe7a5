"""Routing: assigns waiting tasks to free slots of endpoints.

One process, the allocator, grants leases on the slots of an endpoint, usually a process of its
failure domain. The processes that dispatch tasks hold these leases and reuse them.
`ServiceRouter` is the entry point.
"""

from burdocklug.routing._allocator import SlotAllocator
from burdocklug.routing._holder import SlotHolder
from burdocklug.routing._messages import (
    HeldLease,
    ReturnedLease,
    SlotGrant,
    SlotLoad,
    SlotMessage,
    SlotRecall,
    SlotRenewal,
    SlotReport,
    SlotRequest,
    SlotReturn,
)
from burdocklug.routing._models import (
    SLOW_WEIGHT_THRESHOLD,
    WEIGHT_POLICIES,
    LeaseOutcome,
    Outgoing,
    RouteEndpoint,
    RouteMember,
    SlotLease,
    WeightPolicy,
    choose_allocators,
)
from burdocklug.routing._router import TICK_S, ServiceRouter

__all__ = [
    "HeldLease",
    "LeaseOutcome",
    "Outgoing",
    "ReturnedLease",
    "RouteEndpoint",
    "RouteMember",
    "ServiceRouter",
    "SlotAllocator",
    "SlotGrant",
    "SlotHolder",
    "SlotLease",
    "SlotLoad",
    "SlotMessage",
    "SlotRecall",
    "SlotRenewal",
    "SlotReport",
    "SlotRequest",
    "SlotReturn",
    "SLOW_WEIGHT_THRESHOLD",
    "TICK_S",
    "WEIGHT_POLICIES",
    "WeightPolicy",
    "choose_allocators",
]
