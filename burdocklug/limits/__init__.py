"""Limits: queues fair between teams, admission by expected wait, and team quotas.

The exported functions and classes decide on plain data only; the current time is an argument.
"""

from burdocklug.limits._admission import (
    AdmissionLimits,
    EndpointSize,
    JobDemand,
    TaskImpossible,
    WouldMissDeadline,
    admit,
)
from burdocklug.limits._base_shares import base_share
from burdocklug.limits._handover import LentShare, QuotaHandover
from burdocklug.limits._messages import QuotaGrant, QuotaMessage, QuotaRequest, QuotaReturn
from burdocklug.limits._queue import FairQueue
from burdocklug.limits._queue_lines import QueuedTask, QueueFull
from burdocklug.limits._quotas import QuotaShares
from burdocklug.limits._times import RunTimes

__all__ = [
    "AdmissionLimits",
    "EndpointSize",
    "FairQueue",
    "JobDemand",
    "LentShare",
    "QueueFull",
    "QueuedTask",
    "QuotaGrant",
    "QuotaHandover",
    "QuotaMessage",
    "QuotaRequest",
    "QuotaReturn",
    "QuotaShares",
    "RunTimes",
    "TaskImpossible",
    "WouldMissDeadline",
    "admit",
    "base_share",
]
