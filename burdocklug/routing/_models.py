"""Plain data that the routing decisions work on."""

import enum
import hashlib
from dataclasses import dataclass

import msgspec

__all__ = [
    "LeaseOutcome",
    "Outgoing",
    "RouteEndpoint",
    "RouteMember",
    "SlotLease",
    "WEIGHTS",
    "WeightPolicy",
    "choose_allocator",
]


@dataclass(frozen=True, slots=True)
class RouteMember:
    """A live process: its incarnation id and its failure domain."""

    incarnation: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class RouteEndpoint:
    """An endpoint as routing sees it.

    Parameters
    ----------
    name : str
        Its name in the configuration.
    failure_domain : str
        Where it is.
    slots : int
        Most tasks it runs at once.
    usable : bool
        False while it is leaving or ejected: it gets no start.
    """

    name: str
    failure_domain: str
    slots: int
    usable: bool = True


@dataclass(slots=True)
class SlotLease:
    """A lease as its holder sees it."""

    lease_id: int
    endpoint: str
    allocator: str
    expires_s: float
    idle_since_s: float
    busy: bool = False


class LeaseOutcome(enum.StrEnum):
    """What became of a start on a lease."""

    FINISHED = "finished"  # the task ended, or its attempt is known not to run
    FULL = "full"  # the endpoint refused for want of a slot
    LOST = "lost"  # the endpoint refused the connection, or the task's state is not known


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the incarnation it goes to."""

    to: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class WeightPolicy:
    """How a service's weight shapes the leases; times in seconds.

    Parameters
    ----------
    hold_s : float
        How long a lease stays idle before it goes back.
    spare : int
        Idle leases that a holder keeps ahead of demand.
    batch : int
        Fewest leases worth a request for spare slots.
    hedge : int
        Allocators asked at once for the same task where none has a free slot.
    patience_s : float
        Wait that a holder accepts from its own leases before it asks for more.
    return_delay_s : float
        How long recalled leases are collected before they go back in one message.
    """

    hold_s: float
    spare: int
    batch: int
    hedge: int
    patience_s: float
    return_delay_s: float


WEIGHTS = {
    "latency": WeightPolicy(
        hold_s=0.5, spare=4, batch=2, hedge=2, patience_s=0.002, return_delay_s=0.001
    ),
    "messages": WeightPolicy(
        hold_s=3.0, spare=0, batch=4, hedge=1, patience_s=0.02, return_delay_s=0.02
    ),
}


def choose_allocator(endpoint, members):
    """Return the incarnation that leases out an endpoint's slots, or None.

    Parameters
    ----------
    endpoint : RouteEndpoint
        The endpoint.
    members : iterable of RouteMember
        Every live process; those of the endpoint's failure domain go first.

    Notes
    -----
    Rendezvous hash: a process that joins or dies moves only its own endpoints. Processes with
    different views may choose differently; the endpoint's slot guard refuses the overflow.

    Examples
    --------
    >>> members = [RouteMember("10.0.0.1:1~a", "north"), RouteMember("10.0.0.2:1~b", "south")]
    >>> choose_allocator(RouteEndpoint("e1", "south", 8), members)
    '10.0.0.2:1~b'
    """
    members = list(members)
    local = [member for member in members if member.failure_domain == endpoint.failure_domain]
    return max(
        (member.incarnation for member in local or members),
        key=lambda incarnation: _rank(endpoint.name, incarnation),
        default=None,
    )


def _rank(endpoint, incarnation):
    return hashlib.blake2b(f"{endpoint}\0{incarnation}".encode(), digest_size=8).digest()
