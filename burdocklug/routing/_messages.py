"""Messages between the allocator of slot leases and their holders."""

import msgspec

__all__ = [
    "HeldLease",
    "ReturnedLease",
    "SlotGrant",
    "SlotLoad",
    "SlotMessage",
    "SlotRecall",
    "SlotRenewal",
    "SlotReport",
    "SlotRequest",
    "SlotReturn",
]


class HeldLease(msgspec.Struct, frozen=True, array_like=True):
    """A lease on one slot: its id, unique for the allocator's incarnation, and its endpoint."""

    lease_id: int
    endpoint: str


class ReturnedLease(msgspec.Struct, frozen=True, array_like=True):
    """A lease that its holder gives up; `full` if the endpoint refused a start on it."""

    lease_id: int
    endpoint: str
    full: bool = False


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag="slot_request"):
    """A holder's whole demand towards one allocator; a later sequence replaces it."""

    service: str
    sequence: int
    waiting: int  # leases for tasks that are waiting now
    spare: int = 0  # additional leases, granted from free slots only and never queued
    sent_s: float = 0.0  # the holder's clock, echoed by the grant
    small: int = 0  # the part of `waiting` that is for small jobs


class SlotGrant(msgspec.Struct, frozen=True, array_like=True, tag="slot_grant"):
    """Leases for a holder; they end `term_s` after the request was sent unless renewed."""

    service: str
    sequence: int  # sequence of the request that this grant replies to
    leases: list[HeldLease]
    sent_s: float
    term_s: float
    free: int = 0  # free slots left at the allocator
    queued: int = 0  # requested leases that are queued at the allocator


class SlotReturn(msgspec.Struct, frozen=True, array_like=True, tag="slot_return"):
    """Leases that a holder gives back."""

    service: str
    leases: list[ReturnedLease]


class SlotRecall(msgspec.Struct, frozen=True, array_like=True, tag="slot_recall"):
    """Asks a holder to give back `count` leases: idle ones now, others as their tasks end."""

    service: str
    count: int  # total yet to be returned; replaces the count of earlier recalls


class SlotReport(msgspec.Struct, frozen=True, array_like=True, tag="slot_report"):
    """All leases that a holder holds of one allocator; asks for their renewal."""

    service: str
    sent_s: float  # the holder's clock, echoed by the renewal
    leases: list[HeldLease]


class SlotRenewal(msgspec.Struct, frozen=True, array_like=True, tag="slot_renewal"):
    """Reply to a report: the leases that remain valid for `term_s` after the report was sent."""

    service: str
    sent_s: float
    lease_ids: list[int]
    term_s: float


class SlotLoad(msgspec.Struct, frozen=True, array_like=True, tag="slot_load"):
    """Load of the slots that a process allocates, and slow endpoints; sent with each heartbeat."""

    service: str
    capacity: int  # slots of the usable endpoints that the process allocates; may be 0
    free: int
    queued: int
    slow: dict[str, float] = {}  # weights of slow endpoints by endpoint name


SlotMessage = (
    SlotRequest | SlotGrant | SlotReturn | SlotRecall | SlotReport | SlotRenewal | SlotLoad
)
