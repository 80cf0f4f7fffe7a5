"""Agents of the scheduler, one for each endpoint: orders, leases and reports."""

from burdocklug.pools.agents._agent_orders import AgentOrders
from burdocklug.pools.agents._answer_times import AnswerTimes
from burdocklug.pools.agents._endpoint import EndpointAgent
from burdocklug.pools.agents._fences import fenced_domains
from burdocklug.pools.agents._holder_probe import BUSY_HOLDER_WAIT_S, HolderState, probe_holder
from burdocklug.pools.agents._orders import (
    EndpointOrders,
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
    RefusalReason,
    order_protocols,
)
from burdocklug.pools.agents._tokens import holder_number

__all__ = [
    "AgentOrders",
    "AnswerTimes",
    "BUSY_HOLDER_WAIT_S",
    "EndpointAgent",
    "EndpointOrders",
    "HolderState",
    "OrderFenced",
    "OrderRefused",
    "OrderUnanswered",
    "OtherIncarnation",
    "RefusalReason",
    "fenced_domains",
    "holder_number",
    "order_protocols",
    "probe_holder",
]
