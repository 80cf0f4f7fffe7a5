"""Failure detection: functions that derive member states and death votes from the member table.

The suspect state is local to each process and is never gossiped. The dead state is decided by a
vote and gossiped to all members.
"""

from burdocklug.peers._incarnation import address_of
from burdocklug.peers._member import Member, MemberState
from burdocklug.peers._membership import Status

__all__ = [
    "add_vote",
    "is_silent",
    "is_voted_dead",
    "make_member",
    "reached_domains",
    "set_watched",
    "shift_times",
    "state_of",
]

GOSSIP_DELAY_MARGIN_S = 30.0  # allowance for evidence that arrives by gossip over several processes


def is_silent(record, now_s, *, after_s):
    """Return whether a watched member has not been heard from for more than `after_s` seconds."""
    if record.watched_s is None:
        return False
    return now_s - max(record.watched_s, record.heard_s or record.watched_s) > after_s


def _is_reachable(record, now_s, settings):
    if record.watched_s is None or is_silent(record, now_s, after_s=settings.suspect_after_s):
        return False
    since_s = record.unreachable_since_s
    return since_s is None or now_s - since_s <= settings.suspect_after_s


def reached_domains(table, now_s, settings):
    """Return, by failure domain with watched members, whether at least one of them is reachable."""
    reachable = {}
    for record in table.records.values():
        if record.watched_s is not None:
            domain = record.failure_domain
            reachable[domain] = reachable.get(domain) or _is_reachable(record, now_s, settings)
    return reachable


def state_of(table, record, now_s, settings, *, domains=None):
    """Return the state of a member as this process sees it.

    Parameters
    ----------
    domains : dict, optional
        Result of `reached_domains`, to be computed once by callers that query many members.

    Notes
    -----
    An unwatched member exchanges no heartbeats with this process, so it is as reachable as its
    failure domain: it is suspect while no watched member of that failure domain is reachable. If
    none is watched there, the age of the latest gossiped evidence decides.
    """
    if record.status is Status.DEAD:
        return MemberState.DEAD
    if record.status is Status.LEFT:
        return MemberState.LEFT
    if record.watched_s is not None:
        is_reachable = _is_reachable(record, now_s, settings)
    else:
        domains = reached_domains(table, now_s, settings) if domains is None else domains
        has_evidence = now_s - record.evidence_s <= settings.dead_after_s + GOSSIP_DELAY_MARGIN_S
        is_reachable = domains.get(record.failure_domain, has_evidence)
    return MemberState.ALIVE if is_reachable else MemberState.SUSPECT


def make_member(table, record, now_s, settings, *, domains=None):
    """Return the public `Member` for a record."""
    return Member(
        record.incarnation,
        record.name,
        address_of(record.incarnation),
        record.failure_domain,
        state_of(table, record, now_s, settings, domains=domains),
        record.successor,
        record.draining,
    )


def add_vote(table, incarnation, voter, *, silent):
    """Record another process's vote on a member; `silent` is true if it does not hear from it."""
    record = table.records.get(incarnation)
    if record is None or record.vote_requested_s is None:
        return
    if silent:
        record.confirming_voters.add(voter)
    else:
        record.denying_voters.add(voter)


def is_voted_dead(table, record, now_s, settings):
    """Return whether the votes suffice to declare a member of the own failure domain dead.

    Notes
    -----
    This process must not have heard from the member for `dead_after_s`, and no voter may have.
    The confirming voters, at least one, and this process must together be more than half of the
    failure domain's living members, the silent one included. A process that is partitioned from the
    others therefore declares no member dead, and neither does one in another failure domain.
    """
    if record.status is not Status.ALIVE or record.failure_domain != table.failure_domain:
        return False
    if not is_silent(record, now_s, after_s=settings.dead_after_s) or record.denying_voters:
        return False
    living = 1 + sum(
        other.status is Status.ALIVE and other.failure_domain == table.failure_domain
        for other in table.records.values()
    )
    confirmations = 1 + len(record.confirming_voters)
    return confirmations > 1 and 2 * confirmations > living


def set_watched(table, incarnations, now_s):
    """Set which members are watched; members that were watched before keep their timestamps."""
    for record in table.records.values():
        if record.incarnation not in incarnations:
            record.watched_s = record.unreachable_since_s = None
        elif record.watched_s is None:
            record.watched_s = now_s


def shift_times(table, by_s):
    """Move all timestamps forward by `by_s` after this process was paused for that time."""
    for record in table.records.values():
        if record.watched_s is not None:
            record.watched_s += by_s
        if record.heard_s is not None:
            record.heard_s += by_s
        if record.unreachable_since_s is not None:
            record.unreachable_since_s += by_s
        record.evidence_s += by_s
