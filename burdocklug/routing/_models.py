"""Plain data that the routing decisions work on."""

import enum
import hashlib
import math
from collections import Counter
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
    "choose_allocators",
]

SLOW_WEIGHT = 0.25  # smaller differences are noise while declared times are far off
GROUP_ENDPOINTS = 32  # endpoints of a failure domain whose slots one process leases out


@dataclass(frozen=True, slots=True)
class RouteMember:
    """A live process.

    Parameters
    ----------
    incarnation, failure_domain : str
        Who and where it is.
    reachable : bool
        False while it is suspect: cut off, or frozen and not declared dead yet.
    """

    incarnation: str
    failure_domain: str
    reachable: bool = True


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
    weight : float
        Share of its slots to use, from 0 to 1, less than 1 where it is slower than its peers.
    """

    name: str
    failure_domain: str
    slots: int
    usable: bool = True
    weight: float = 1.0

    def is_slow(self):
        """Return whether it is so slow that its slots are used less."""
        return self.weight < SLOW_WEIGHT


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
    pressed_hold_s : float
        The same while requests wait at the lease's allocator.
    return_pause_s : float
        Between two returns of idle leases, so that several go in one message.
    return_delay_s : float
        How long recalled leases are collected before they go back in one message.
    spare : int
        Idle leases that a holder keeps ahead of demand.
    reserve : int
        Idle leases that large jobs leave to small ones.
    spare_batch : int
        Fewest spare leases worth a request.
    patience_s : float
        Wait for its own leases that a holder accepts for small jobs before it asks for more.
    large_patience_s : float
        The same for large jobs.
    ask_pause_s : float
        Before a request that adds little to one that waits at the same allocator.
    chunk : int
        Slots that an allocator collects for a large request before it grants them.
    chunk_pause_s : float
        Longest time for which it does so.
    recall_pause_s : float
        Between two recalls to a holder.
    pool_across_domains : bool
        Whether one process may lease out the slots of several failure domains.
    """

    hold_s: float
    pressed_hold_s: float
    return_pause_s: float
    return_delay_s: float
    spare: int
    reserve: int
    spare_batch: int
    patience_s: float
    large_patience_s: float
    ask_pause_s: float
    chunk: int
    chunk_pause_s: float
    recall_pause_s: float
    pool_across_domains: bool


WEIGHTS = {
    "latency": WeightPolicy(
        hold_s=1.0,
        pressed_hold_s=0.2,
        return_pause_s=0.5,
        return_delay_s=0.03,
        spare=4,
        reserve=1,
        spare_batch=4,
        patience_s=0.002,
        large_patience_s=0.002,
        ask_pause_s=0.1,
        chunk=8,
        chunk_pause_s=0.1,
        recall_pause_s=0.1,
        pool_across_domains=False,
    ),
    "messages": WeightPolicy(
        hold_s=2.0,
        pressed_hold_s=0.4,
        return_pause_s=1.0,
        return_delay_s=0.1,
        spare=2,
        reserve=1,
        spare_batch=2,
        patience_s=0.05,
        large_patience_s=0.3,
        ask_pause_s=0.5,
        chunk=24,
        chunk_pause_s=0.3,
        recall_pause_s=0.2,
        pool_across_domains=True,
    ),
}


def choose_allocators(endpoints, members, *, across_domains=False):
    """Return for each endpoint the incarnation that leases out its slots.

    Parameters
    ----------
    endpoints : iterable of RouteEndpoint
        All endpoints of a service.
    members : iterable of RouteMember
        Every live process; those of an endpoint's failure domain go first.
    across_domains : bool, optional
        Whether endpoints of several failure domains may go to one process.

    Returns
    -------
    dict of str to str
        Endpoint name to incarnation; empty without members.

    Notes
    -----
    Endpoints of a failure domain are put into groups of about `GROUP_ENDPOINTS` by hash, and a
    group goes to one process by rendezvous hash: few allocators make large batches, and a
    process that joins or dies moves only its own groups. Processes with different views may
    choose differently; the endpoint's slot guard refuses the overflow. Across failure domains an
    unreachable process is passed over, since a failure domain that is cut off has to go on by
    itself; within one, other processes of it decide whether that process is dead.

    Examples
    --------
    >>> members = [RouteMember("10.0.0.1:1~a", "north"), RouteMember("10.0.0.2:1~b", "south")]
    >>> choose_allocators([RouteEndpoint("e1", "south", 8)], members)
    {'e1': '10.0.0.2:1~b'}
    """
    endpoints, members = list(endpoints), list(members)
    if not members:
        return {}
    if across_domains:
        members = [member for member in members if member.reachable] or members
    pools = {e.name: "" if across_domains else e.failure_domain for e in endpoints}
    sizes = Counter(pools.values())
    chosen = {}
    allocators = {}
    for endpoint in endpoints:
        pool = pools[endpoint.name]
        groups = math.ceil(sizes[pool] / GROUP_ENDPOINTS)
        group = f"{pool}/{_hash(endpoint.name) % groups}"
        if group not in chosen:
            local = [member for member in members if member.failure_domain == pool]
            names = [member.incarnation for member in local or members]
            chosen[group] = max(names, key=lambda name: _hash(f"{group}\0{name}"))
        allocators[endpoint.name] = chosen[group]
    return allocators


def _hash(text):
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
