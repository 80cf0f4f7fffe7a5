"""Pools: one elected process schedules the endpoints for all processes of a pool."""

from burdocklug.pools._directory import Directory
from burdocklug.pools._models import (
    EndpointEntry,
    JobOutcome,
    JobSpec,
    PoolConfiguration,
    QueueRule,
    Room,
    RunEnd,
    RunEndKind,
    RunLine,
    RunReport,
    ServiceRule,
    StepSpec,
)
from burdocklug.pools._orders import (
    EndpointOrders,
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
    RefusalReason,
    order_protocols,
)

__all__ = [
    "Directory",
    "EndpointEntry",
    "EndpointOrders",
    "JobOutcome",
    "JobSpec",
    "OrderFenced",
    "OrderRefused",
    "OrderUnanswered",
    "OtherIncarnation",
    "PoolConfiguration",
    "QueueRule",
    "RefusalReason",
    "Room",
    "RunEnd",
    "RunEndKind",
    "RunLine",
    "RunReport",
    "ServiceRule",
    "StepSpec",
    "order_protocols",
]
