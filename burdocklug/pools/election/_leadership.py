"""Rules of the scheduler election: pure functions of claims and of the processes reached.

Every process accepts callers; among the processes that reach each other, one schedules all
endpoints. A failure domain that a network partition cuts off elects a scheduler for its own
endpoints.
"""

import enum
from collections import Counter

from burdocklug.peers import started_ns
from burdocklug.pools._messages import Claim

__all__ = [
    "ClaimKind",
    "allowed_claim_kind",
    "first_candidate",
    "eligible_processes",
    "greater_claim",
    "next_claim",
    "choose_successor",
    "should_yield",
]

# Least usable cores of a candidate as a share of the largest host's; hosts of nominally equal size
# differ by less.
MIN_CORES_RATIO = 0.6


class ClaimKind(enum.Enum):
    """Extent of the claim that a process may make."""

    FULL = "whole"
    PARTIAL = "part"
    NONE = "nothing"


def greater_claim(one, other):
    """Return the claim that takes precedence; either may be None.

    Examples
    --------
    >>> greater_claim(Claim(True, 3, "a"), Claim(False, 9, "b")).scheduler
    'a'
    """
    if one is None or other is None:
        return one or other
    return max(one, other)


def eligible_processes(cores):
    """Return the processes whose hosts have about the capacity of the largest one.

    Parameters
    ----------
    cores : dict
        Usable cores of each process's host, by incarnation.

    Examples
    --------
    >>> sorted(eligible_processes({"a": 0.5, "b": 2.1, "c": 1.6}))
    ['b', 'c']
    """
    strongest = max(cores.values(), default=0.0)
    return {incarnation for incarnation, c in cores.items() if c >= MIN_CORES_RATIO * strongest}


def should_yield(own_cores, full_cores, others):
    """Return whether the scheduler should hand its role over to a host of larger capacity.

    If another host is overloaded as well, it is the role that overloads hosts of this size, so only
    a host that is larger even than this one without overload is worth the handover.

    Parameters
    ----------
    own_cores, full_cores : float
        Usable cores of the scheduler's host, 0 while it is overloaded, and those without overload.
    others : iterable of float
        Usable cores of the hosts that could take over.

    Examples
    --------
    >>> should_yield(0.0, 1.0, [1.0, 1.0]), should_yield(0.0, 1.0, [1.0, 0.0])
    (True, False)
    >>> should_yield(0.0, 1.0, [2.0, 0.0]), should_yield(1.0, 1.0, [1.2])
    (True, False)
    """
    others = list(others)
    largest = max(others, default=0.0)
    if own_cores >= MIN_CORES_RATIO * largest:
        return False
    return min(others) > 0.0 or full_cores < MIN_CORES_RATIO * largest


def first_candidate(cores, rank=0):
    """Return the eligible process that makes the claim when there is no scheduler.

    It is the oldest one, or the one that is older than all others but `rank`, so that several
    cells do not elect the same process.

    Examples
    --------
    >>> old, young = "10.0.0.1:7~00000000000000ff0123abcd", "10.0.0.2:7~0000000000000fff0123abcd"
    >>> first_candidate({old: 1.0, young: 1.0}) == old
    True
    >>> first_candidate({old: 0.5, young: 2.0}) == young
    True
    """
    oldest_first = sorted(
        eligible_processes(cores), key=lambda incarnation: (started_ns(incarnation), incarnation)
    )
    return oldest_first[rank % len(oldest_first)]


def choose_successor(cores):
    """Return the eligible process started last, which a rolling restart has restarted already."""
    return max(eligible_processes(cores), key=started_ns)


def allowed_claim_kind(own_domain, domains, reached, *, unreachable_domains):
    """Return the kind of claim that a process without a scheduler may make.

    Parameters
    ----------
    own_domain : str
        Failure domain of the process.
    domains : dict
        Failure domains of all other registered processes, by incarnation.
    reached : set of str
        Incarnations of those that replied.
    unreachable_domains : set of str
        Failure domains without a reachable endpoint.

    Notes
    -----
    A process on the side of the majority may make a full claim. On a smaller side it may claim the
    failure domains that it reaches, provided that each domain with missing processes is unreachable
    with its endpoints too, or has more processes reached than missing. Otherwise the process is the
    one that is cut off, and the others continue to schedule the endpoints that it reaches.

    Examples
    --------
    >>> fleet = {"n2": "north", "s1": "south", "s2": "south", "s3": "south"}
    >>> allowed_claim_kind("north", fleet, {"n2"}, unreachable_domains={"south"})
    <ClaimKind.PARTIAL: 'part'>
    >>> allowed_claim_kind("north", fleet, {"n2"}, unreachable_domains=set())
    <ClaimKind.NONE: 'nothing'>
    >>> allowed_claim_kind("north", fleet, {"n2", "s1", "s2"}, unreachable_domains=set())
    <ClaimKind.FULL: 'whole'>
    """
    if 2 * (1 + len(reached)) > 1 + len(domains):
        return ClaimKind.FULL
    missed_by_domain = Counter(
        d for incarnation, d in domains.items() if incarnation not in reached
    )
    reached_by_domain = Counter([own_domain, *(domains[incarnation] for incarnation in reached)])
    is_each_covered = all(
        d in unreachable_domains or reached_by_domain[d] > missed_by_domain[d]
        for d in missed_by_domain
    )
    return ClaimKind.PARTIAL if is_each_covered else ClaimKind.NONE


def next_claim(kind, own, known, served):
    """Return a new claim that is greater than every known one of its kind.

    Parameters
    ----------
    kind : ClaimKind
        `ClaimKind.FULL` or `ClaimKind.PARTIAL`.
    own : str
        Incarnation of the claiming process.
    known : Claim or None
        Greatest claim known so far.
    served : iterable of str
        Failure domains of a partial claim; unused for a full one.
    """
    is_full = kind is ClaimKind.FULL
    domains = () if is_full else tuple(sorted(served))
    return Claim(is_full, 1 + (known.term if known else 0), own, domains)
