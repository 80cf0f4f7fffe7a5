"""Records that an allocator keeps: granted leases and the unmet demand of each holder."""

from dataclasses import dataclass

__all__ = ["GrantedLease", "HolderDemand"]


@dataclass(slots=True)
class GrantedLease:
    """The allocator's record of a lease."""

    holder: str
    granted_s: float
    expires_s: float


@dataclass(slots=True)
class HolderDemand:
    """Leases that a holder requested from an allocator and has not been granted yet."""

    sequence: int  # of the latest request
    waiting: int
    spare: int
    small_job_waiting: int  # the part of `waiting` that is for small jobs
    is_small: bool  # for less than a batch; granted at once, while larger ones wait
    received_s: float  # the allocator's clock
    sent_s: float  # the holder's clock
