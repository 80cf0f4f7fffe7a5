"""Agents of the scheduler, one for each endpoint: orders, leases and reports."""

from burdocklug.pools.agents._agent_orders import AgentOrders
from burdocklug.pools.agents._answer_times import AnswerTimes
from burdocklug.pools.agents._endpoint import TOKEN_HOLDERS, EndpointAgent
from burdocklug.pools.agents._orders import (
    EndpointOrders,
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
    RefusalReason,
    order_protocols,
)

__all__ = [
    "AgentOrders",
    "AnswerTimes",
    "EndpointAgent",
    "EndpointOrders",
    "OrderFenced",
    "OrderRefused",
    "OrderUnanswered",
    "OtherIncarnation",
    "RefusalReason",
    "TOKEN_HOLDERS",
    "order_protocols",
]
