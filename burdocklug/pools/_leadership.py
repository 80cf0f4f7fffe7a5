"""Which process schedules: plain functions over claims and what is reached.

Every process takes callers; one of those that reach each other schedules all endpoints. A failure
domain that is cut off from the others has a scheduler of its own for its own endpoints.
"""

import enum
from collections import Counter

from burdocklug.peers import started_ns
from burdocklug.pools._messages import Claim

__all__ = [
    "ClaimKind",
    "claim_kind",
    "first_to_claim",
    "fit_ones",
    "greater_claim",
    "next_claim",
    "successor_of",
]

FIT_SHARE = 0.6  # of the strongest host; below any two sizes that are meant to be alike


class ClaimKind(enum.Enum):
    """What a process may claim."""

    WHOLE = "whole"
    PART = "part"
    NOTHING = "nothing"


def greater_claim(one, other):
    """Return the claim that holds; either may be None.

    Examples
    --------
    >>> greater_claim(Claim(True, 3, "a"), Claim(False, 9, "b")).scheduler
    'a'
    """
    if one is None or other is None:
        return one or other
    return max(one, other)


def fit_ones(powers):
    """Return the processes whose hosts carry about as much as the strongest one, or more.

    Parameters
    ----------
    powers : dict
        What the hosts can carry, in cores, by the incarnation of their process.

    Examples
    --------
    >>> sorted(fit_ones({"a": 0.5, "b": 2.1, "c": 1.6}))
    ['b', 'c']
    """
    strongest = max(powers.values(), default=0.0)
    return {incarnation for incarnation, p in powers.items() if p >= FIT_SHARE * strongest}


def first_to_claim(powers):
    """Return the oldest of the fit processes: it claims where there is no scheduler.

    Examples
    --------
    >>> old, young = "10.0.0.1:7~00000000000000ff0123abcd", "10.0.0.2:7~0000000000000fff0123abcd"
    >>> first_to_claim({old: 1.0, young: 1.0}) == old
    True
    >>> first_to_claim({old: 0.5, young: 2.0}) == young
    True
    """
    return min(fit_ones(powers), key=lambda incarnation: (started_ns(incarnation), incarnation))


def successor_of(powers):
    """Return the youngest of the fit processes: in a rolling restart, one that has had its turn."""
    return max(fit_ones(powers), key=started_ns)


def claim_kind(own_domain, domains, reached, *, cut_domains):
    """Return what a process may claim that hears no scheduler.

    Parameters
    ----------
    own_domain : str
        The own failure domain.
    domains : dict
        Failure domains of all processes that are thought to live, by incarnation, without the
        own process.
    reached : set of str
        Those of them that answer.
    cut_domains : set of str
        Failure domains whose endpoints are not reached.

    Notes
    -----
    A process that reaches less than half of the others schedules a part only where those that it
    misses are cut off with their endpoints, or are the smaller part of their failure domain.
    Otherwise it is the one that is cut off, and the others go on scheduling the endpoints that it
    sees.

    Examples
    --------
    >>> fleet = {"n2": "north", "s1": "south", "s2": "south", "s3": "south"}
    >>> claim_kind("north", fleet, {"n2"}, cut_domains={"south"})
    <ClaimKind.PART: 'part'>
    >>> claim_kind("north", fleet, {"n2"}, cut_domains=set())
    <ClaimKind.NOTHING: 'nothing'>
    >>> claim_kind("north", fleet, {"n2", "s1", "s2"}, cut_domains=set())
    <ClaimKind.WHOLE: 'whole'>
    """
    if 2 * (1 + len(reached)) > 1 + len(domains):
        return ClaimKind.WHOLE
    missed = Counter(d for incarnation, d in domains.items() if incarnation not in reached)
    there = Counter([own_domain, *(domains[incarnation] for incarnation in reached)])
    served = all(d in cut_domains or there[d] > missed[d] for d in missed)
    return ClaimKind.PART if served else ClaimKind.NOTHING


def next_claim(kind, own, known, served):
    """Return the claim to make, greater than every known one of its kind.

    Parameters
    ----------
    kind : ClaimKind
        What may be claimed.
    own : str
        The own incarnation.
    known : Claim or None
        The greatest claim that was heard of.
    served : iterable of str
        Failure domains that are reached, for a part.
    """
    whole = kind is ClaimKind.WHOLE
    domains = () if whole else tuple(sorted(served))
    return Claim(whole, 1 + (known.term if known else 0), own, domains)
