"""Election of the scheduler: registered processes, claims, and heartbeats with its followers."""

from burdocklug.pools.election._fleet import MemberRecord, MemberRegistry
from burdocklug.pools.election._following import FENCED, SchedulerElection
from burdocklug.pools.election._probes import unreachable_domains

__all__ = ["FENCED", "MemberRecord", "MemberRegistry", "SchedulerElection", "unreachable_domains"]
