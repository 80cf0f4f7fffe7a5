"""Which members a process exchanges heartbeats with."""

import hashlib

from burdocklug.peers._member import MemberState

__all__ = ["choose_links", "choose_reader", "rendezvous_weight"]

WEIGHT_BYTES = 8


def rendezvous_weight(one, other):
    """Return the weight of a pair of ids, in either order; higher is preferred.

    Examples
    --------
    >>> rendezvous_weight("a", "b") == rendezvous_weight("b", "a")
    True
    """
    low, high = sorted((one, other))
    digest = hashlib.blake2b(f"{low}|{high}".encode(), digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest)


def choose_links(own, own_domain, members, *, count):
    """Return the incarnations outside the own failure domain to keep links to.

    Parameters
    ----------
    own : str
        The own incarnation.
    own_domain : str
        The own failure domain.
    members : dict
        Failure domains by incarnation, of the whole fleet without the own process.
    count : int
        Bound on the number of links.

    Returns
    -------
    set of str
        At most `count` incarnations. In a fleet with more than twice as many outside they are
        one of each other failure domain, or half of `count` if that is more.

    Notes
    -----
    Links are dealt out to the other failure domains in turn. Members of one failure domain
    begin at different places of the turn, by their rank, so that together they cover all other
    failure domains as long as they have as many links as there are failure domains. Inside a
    failure domain the member with the highest rendezvous weight comes first, so that a change
    of one member moves few links. The weight of a pair is the same for both, so that many
    links are chosen from both ends and serve for both.

    Examples
    --------
    >>> members = {"a2": "a", "b1": "b", "b2": "b", "c1": "c"}
    >>> len(choose_links("a1", "a", members, count=2))
    2
    """
    by_domain = {}
    for incarnation, domain in members.items():
        if domain != own_domain:
            by_domain.setdefault(domain, []).append(incarnation)
    if not by_domain:
        return set()
    mates = [incarnation for incarnation, domain in members.items() if domain == own_domain]
    rank = sum(mate < own for mate in mates)
    domains = sorted(by_domain)
    wanted = count
    if sum(map(len, by_domain.values())) > 2 * count:
        wanted = max(min(count, len(domains)), (count + 1) // 2)
    start = rank * wanted % len(domains)
    domains = domains[start:] + domains[:start]
    for ranked in by_domain.values():
        ranked.sort(key=lambda incarnation: (rendezvous_weight(own, incarnation), incarnation))
    chosen = set()
    while len(chosen) < wanted and any(by_domain.values()):
        for domain in domains:
            if by_domain[domain] and len(chosen) < wanted:
                chosen.add(by_domain[domain].pop())
    return chosen


def choose_reader(own, own_domain, members):
    """Return which incarnation reads from the platform on behalf of the own failure domain.

    Parameters
    ----------
    own, own_domain : str
        The own incarnation and failure domain.
    members : iterable of Member
        The known members without the own process.

    Returns
    -------
    str
        The lowest incarnation that is alive in this process's view. A hint: views may differ for
        some seconds, and two readers cost calls and nothing else.
    """
    alive = (
        member.incarnation
        for member in members
        if member.failure_domain == own_domain and member.state is MemberState.ALIVE
    )
    return min([own, *alive])
