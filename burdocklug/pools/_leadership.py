"""Which process schedules: plain functions over claims and what is reached.

Every process takes callers; one of those that reach each other schedules all endpoints. A failure
domain that is cut off from the others has a scheduler of its own for its own endpoints.
"""

import enum

from burdocklug.peers import started_ns
from burdocklug.pools._messages import Claim

__all__ = ["ClaimKind", "claim_kind", "goes_first", "greater_claim", "next_claim"]


class ClaimKind(enum.Enum):
    """What a process may claim."""

    WHOLE = "whole"
    OWN_DOMAIN = "own_domain"
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


def goes_first(own, reached):
    """Return whether a process is the oldest of those that reach each other.

    Examples
    --------
    >>> older = "10.0.0.1:7000~00000000000000ff0123abcd"
    >>> goes_first(older, ["10.0.0.2:7000~0000000000000fff0123abcd"])
    True
    """
    key = (started_ns(own), own)
    return all(key < (started_ns(other), other) for other in reached)


def claim_kind(own_domain, domains, reached, *, other_domains_reached):
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
    other_domains_reached : bool
        Whether endpoints of other failure domains are reached.

    Notes
    -----
    A process that reaches less than half of the others, yet endpoints of other failure domains,
    is cut off alone: the others go on scheduling those endpoints.

    Examples
    --------
    >>> fleet = {"n2": "north", "s1": "south", "s2": "south", "s3": "south"}
    >>> claim_kind("north", fleet, {"n2"}, other_domains_reached=False)
    <ClaimKind.OWN_DOMAIN: 'own_domain'>
    >>> claim_kind("north", fleet, {"n2", "s1", "s2"}, other_domains_reached=True)
    <ClaimKind.WHOLE: 'whole'>
    """
    if 2 * (1 + len(reached)) > 1 + len(domains):
        return ClaimKind.WHOLE
    if other_domains_reached:
        return ClaimKind.NOTHING
    return ClaimKind.OWN_DOMAIN


def next_claim(kind, own, known):
    """Return the claim to make, greater than every known one of its kind."""
    return Claim(kind is ClaimKind.WHOLE, 1 + (known.term if known else 0), own)
