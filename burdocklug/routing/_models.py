"""Data classes of routing, the policies by service weight, and the choice of allocators."""

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
    "WEIGHT_POLICIES",
    "WeightPolicy",
    "choose_allocators",
]

# An endpoint below this weight is slow. A smaller slowdown can't be told from noise, since the
# run times that callers declare are inaccurate.
SLOW_WEIGHT_THRESHOLD = 0.25
GROUP_ENDPOINTS = 32  # target number of endpoints that are assigned to one allocator together


@dataclass(frozen=True, slots=True)
class RouteMember:
    """A live process.

    Parameters
    ----------
    incarnation, failure_domain : str
        Incarnation of the process, and the failure domain that it runs in.
    reachable : bool
        False while the process is suspect: cut off, or frozen and not declared dead yet.
    """

    incarnation: str
    failure_domain: str
    reachable: bool = True


@dataclass(frozen=True, slots=True)
class RouteEndpoint:
    """An endpoint, reduced to what routing needs.

    Parameters
    ----------
    name : str
        Name of the endpoint in the configuration.
    failure_domain : str
        Failure domain that the endpoint is in.
    slots : int
        Maximum number of concurrent tasks.
    usable : bool
        False while the endpoint is leaving or ejected; no task is started on it then.
    weight : float
        Share of the slots to use, from 0 to 1; below 1 if it is slower than its peers.
    """

    name: str
    failure_domain: str
    slots: int
    usable: bool = True
    weight: float = 1.0

    def is_slow(self):
        """Return whether the endpoint is slow enough to use fewer of its slots."""
        return self.weight < SLOW_WEIGHT_THRESHOLD


@dataclass(slots=True)
class SlotLease:
    """The holder's record of a lease."""

    lease_id: int
    endpoint: str
    allocator: str
    expires_s: float
    idle_since_s: float
    busy: bool = False


class LeaseOutcome(enum.StrEnum):
    """How the use of a lease ended, as passed to its release."""

    FINISHED = "finished"  # the task ended, or no start was tried
    REFUSED = "full"  # the endpoint had no free slot and refused the start
    UNKNOWN = "lost"  # the start failed for another reason, or the task's state is unknown


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the incarnation to send it to."""

    to: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class WeightPolicy:
    """Parameters of leasing for one service weight; times in seconds.

    Parameters
    ----------
    max_idle_s : float
        How long a lease may stay idle before it is returned.
    contended_max_idle_s : float
        The same while requests are queued at the lease's allocator.
    return_interval_s : float
        Minimum time between two returns of idle leases, so that one message carries several.
    return_delay_s : float
        How long returned leases are collected before one message carries them all.
    spare : int
        Number of idle leases that a holder keeps for tasks to come.
    reserve : int
        Minimum number of idle leases that are reserved for small jobs.
    min_spare_request : int
        Minimum number of spare leases to request in one message.
    max_reuse_wait_s : float
        Longest wait of small jobs for the holder's busy leases; no more leases are requested for
        tasks that these can take within this time.
    large_max_reuse_wait_s : float
        The same for large jobs.
    request_interval_s : float
        Minimum time between two requests to the same allocator, unless the second at least doubles
        the number of leases requested.
    batch_size : int
        Free slots that an allocator collects before it grants them to large demands; a demand
        for fewer is small and is granted at once. A holder that has
        collected as many recalled leases returns them at once.
    max_batch_wait_s : float
        Time since the last grant to a large demand after which fewer slots are granted.
    recall_interval_s : float
        Minimum time between two recalls to the same holder.
    pool_across_domains : bool
        Whether one process may lease out the slots of several failure domains.
    """

    max_idle_s: float
    contended_max_idle_s: float
    return_interval_s: float
    return_delay_s: float
    spare: int
    reserve: int
    min_spare_request: int
    max_reuse_wait_s: float
    large_max_reuse_wait_s: float
    request_interval_s: float
    batch_size: int
    max_batch_wait_s: float
    recall_interval_s: float
    pool_across_domains: bool


WEIGHT_POLICIES = {
    "latency": WeightPolicy(
        max_idle_s=1.0,
        contended_max_idle_s=0.2,
        return_interval_s=0.5,
        return_delay_s=0.03,
        spare=4,
        reserve=1,
        min_spare_request=4,
        max_reuse_wait_s=0.002,
        large_max_reuse_wait_s=0.002,
        request_interval_s=0.1,
        batch_size=8,
        max_batch_wait_s=0.1,
        recall_interval_s=0.1,
        pool_across_domains=False,
    ),
    "messages": WeightPolicy(
        max_idle_s=2.0,
        contended_max_idle_s=0.4,
        return_interval_s=1.0,
        return_delay_s=0.1,
        spare=2,
        reserve=1,
        min_spare_request=2,
        max_reuse_wait_s=0.05,
        large_max_reuse_wait_s=0.3,
        request_interval_s=0.5,
        batch_size=24,
        max_batch_wait_s=0.3,
        recall_interval_s=0.2,
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
        All live processes; those in the endpoint's failure domain are preferred.
    across_domains : bool, optional
        Whether one process may allocate endpoints of several failure domains.

    Returns
    -------
    dict of str to str
        Endpoint name to incarnation; empty without members.

    Notes
    -----
    The endpoints of a failure domain are hashed into groups of about `GROUP_ENDPOINTS`, and each
    group is assigned to a process by rendezvous hashing. Few allocators allow large batches, and
    a process that joins or dies moves only its own groups. Processes with different views of the
    members may choose differently; an endpoint's slot guard refuses the excess starts. Across
    failure domains, unreachable processes are skipped, since a failure domain that is cut off has
    to continue alone; within a failure domain they are not, since its other processes decide
    whether the process is dead.

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
