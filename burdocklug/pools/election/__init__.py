"""Election of the scheduler: registered processes, claims, and heartbeats with its followers."""

from burdocklug.pools.election._fleet import MemberRecord, MemberRegistry
from burdocklug.pools.election._following import SchedulerElection
from burdocklug.pools.election._holders import sample_holders
from burdocklug.pools.election._own_claim import FENCED
from burdocklug.pools.election._probes import unreachable_domains

__all__ = [
    "FENCED",
    "MemberRecord",
    "MemberRegistry",
    "SchedulerElection",
    "sample_holders",
    "unreachable_domains",
]
