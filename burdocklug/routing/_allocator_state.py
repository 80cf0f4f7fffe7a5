"""What an allocator keeps of each lease and of each process that asks it for slots."""

from dataclasses import dataclass

__all__ = ["GrantedLease", "HolderDemand"]


@dataclass(slots=True)
class GrantedLease:
    """A lease as its allocator knows it."""

    holder: str
    granted_s: float
    expires_s: float


@dataclass(slots=True)
class HolderDemand:
    """What a process asked an allocator for and has not been granted."""

    sequence: int
    waiting: int
    spare: int
    urgent: int  # those of `waiting` that are for small jobs
    small: bool  # served at once; a large one waits for several slots together
    seen_s: float
    sent_s: float
