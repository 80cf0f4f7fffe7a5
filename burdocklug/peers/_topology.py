"""Choice of the members with which a process exchanges heartbeats, and of a platform reader."""

import hashlib

from burdocklug.peers._member import MemberState

__all__ = ["choose_heartbeat_links", "choose_platform_reader", "rendezvous_weight"]

WEIGHT_BYTES = 8


def rendezvous_weight(one, other):
    """Return the rendezvous hash of a pair of ids in either order; higher is preferred.

    Examples
    --------
    >>> rendezvous_weight("a", "b") == rendezvous_weight("b", "a")
    True
    """
    low, high = sorted((one, other))
    digest = hashlib.blake2b(f"{low}|{high}".encode(), digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest)


def choose_heartbeat_links(own, own_domain, members, *, count):
    """Return the incarnations in other failure domains to keep links to.

    Parameters
    ----------
    own : str
        The own incarnation.
    own_domain : str
        The own failure domain.
    members : dict
        Failure domains by incarnation, for every other process of the fleet.
    count : int
        Most links to choose.

    Returns
    -------
    set of str
        At most `count` incarnations. If other failure domains have more than `2 * count` members,
        only one for each other failure domain, or half of `count` if that is more.

    Notes
    -----
    Links are assigned to the other failure domains round robin. Members of a failure domain start
    the round at different offsets, by their rank, so that together they cover all other failure
    domains as long as they have as many links as there are failure domains. Inside a failure
    domain the member with the highest rendezvous weight is chosen first, so that a change of one
    member moves few links. The weight of a pair is the same from both ends, so that many links
    are chosen by both members, which then share them.

    Examples
    --------
    >>> members = {"a2": "a", "b1": "b", "b2": "b", "c1": "c"}
    >>> len(choose_heartbeat_links("a1", "a", members, count=2))
    2
    """
    by_domain = {}
    for incarnation, domain in members.items():
        if domain != own_domain:
            by_domain.setdefault(domain, []).append(incarnation)
    if not by_domain:
        return set()
    domain_members = [
        incarnation for incarnation, domain in members.items() if domain == own_domain
    ]
    rank = sum(member < own for member in domain_members)
    domains = sorted(by_domain)
    target_count = count
    if sum(map(len, by_domain.values())) > 2 * count:
        target_count = max(min(count, len(domains)), (count + 1) // 2)
    start = rank * target_count % len(domains)
    domains = domains[start:] + domains[:start]
    for ranked in by_domain.values():
        ranked.sort(key=lambda incarnation: (rendezvous_weight(own, incarnation), incarnation))
    chosen = set()
    while len(chosen) < target_count and any(by_domain.values()):
        for domain in domains:
            if by_domain[domain] and len(chosen) < target_count:
                chosen.add(by_domain[domain].pop())
    return chosen


def choose_platform_reader(own, own_domain, members):
    """Return the incarnation that reads from the platform for the own failure domain.

    Parameters
    ----------
    own, own_domain : str
        The own incarnation and failure domain.
    members : iterable of Member
        The known members other than the own process.

    Returns
    -------
    str
        The lowest incarnation that is alive in this process's view. Views may differ for some
        seconds; a second reader then costs additional calls and nothing else.
    """
    alive = (
        member.incarnation
        for member in members
        if member.failure_domain == own_domain and member.state is MemberState.ALIVE
    )
    return min([own, *alive])
