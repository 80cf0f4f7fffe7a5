"""Pools: one elected process schedules the endpoints for all processes of a pool.

A job takes this way through the package:

1. `submitting`: the process that its caller is connected to sends it to the scheduler, and to the
   successor of a scheduler that is lost.
2. `_job_server` receives it in the scheduler's process, and holds the reply until the job ends.
3. `scheduling`: plain decisions over the waiting jobs and the endpoints, which do no input or
   output: which task starts where, which job waits, which is refused.
4. `agents`: one for each endpoint, which sends the orders and reports how the runs end.

`election` decides which process is the scheduler, `_leader` runs the scheduler there, `_directory`
has the endpoints and the configuration, `_exchange` passes new configurations from the scheduler to
the others, and `_part` ties these together in each process.
"""

from burdocklug.pools._configuration import PoolConfiguration, QueueRule, ServiceRule
from burdocklug.pools._directory import Directory
from burdocklug.pools._evacuations import EvacuationView
from burdocklug.pools._models import (
    ActiveRun,
    EndpointEntry,
    JobOutcome,
    JobSpec,
    Resources,
    RunEnd,
    RunEndKind,
    RunReport,
    StepSpec,
)
from burdocklug.pools.agents import (
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
    "EvacuationView",
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
