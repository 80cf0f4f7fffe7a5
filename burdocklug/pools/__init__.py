"""Pools: one elected process schedules the endpoints for all processes of a pool."""

from burdocklug.pools._directory import Directory
from burdocklug.pools._models import (
    ActiveRun,
    EndpointEntry,
    JobOutcome,
    JobSpec,
    PoolConfiguration,
    QueueRule,
    Resources,
    RunEnd,
    RunEndKind,
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
    "ActiveRun",
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
    "Resources",
    "RunEnd",
    "RunEndKind",
    "RunReport",
    "ServiceRule",
    "StepSpec",
    "order_protocols",
]
