"""Whom this process can reach, and who is dead: plain functions over the member table.

Whether a member that is alive counts as suspect is each process's own view, and is never told to
others. That a member is dead is decided by votes and told to all.
"""

from burdocklug.peers._incarnation import address_of
from burdocklug.peers._member import Member, MemberState
from burdocklug.peers._membership import Status

__all__ = [
    "add_vote",
    "is_silent",
    "make_member",
    "reached_domains",
    "shift_times",
    "state_of",
    "vote_is_dead",
    "watch_only",
]

GOSSIP_SLACK_S = 30.0  # for evidence to come round over other processes


def is_silent(record, now_s, *, after_s):
    """Return whether a watched member was not heard for `after_s` seconds."""
    if record.watched_s is None:
        return False
    return now_s - max(record.watched_s, record.heard_s or record.watched_s) > after_s


def _is_reached(record, now_s, settings):
    if record.watched_s is None or is_silent(record, now_s, after_s=settings.suspect_after_s):
        return False
    unreached = record.unreached_s
    return unreached is None or now_s - unreached <= settings.suspect_after_s


def reached_domains(table, now_s, settings):
    """Return for each failure domain with watched members whether one of them is reached."""
    reached = {}
    for record in table.records.values():
        if record.watched_s is not None:
            domain = record.failure_domain
            reached[domain] = reached.get(domain) or _is_reached(record, now_s, settings)
    return reached


def state_of(table, record, now_s, settings, *, domains=None):
    """Return the state of a member as this process sees it.

    Parameters
    ----------
    domains : dict, optional
        Result of `reached_domains`, for callers that ask for many members.

    Notes
    -----
    A member that is not watched is as reachable as its failure domain: it is suspect while no
    watched member of that failure domain is reached. Where none is watched, the age of what
    others tell decides.
    """
    if record.status is Status.DEAD:
        return MemberState.DEAD
    if record.status is Status.LEFT:
        return MemberState.LEFT
    if record.watched_s is not None:
        reached = _is_reached(record, now_s, settings)
    else:
        domains = reached_domains(table, now_s, settings) if domains is None else domains
        heard_of = now_s - record.evidence_s <= settings.dead_after_s + GOSSIP_SLACK_S
        reached = domains.get(record.failure_domain, heard_of)
    return MemberState.ALIVE if reached else MemberState.SUSPECT


def make_member(table, record, now_s, settings, *, domains=None):
    """Return the public view of a record."""
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
    """Note whether another process hears a member that is silent here."""
    record = table.records.get(incarnation)
    if record is None or record.asked_s is None:
        return
    if silent:
        record.confirmed_by.add(voter)
    else:
        record.denied_by.add(voter)


def vote_is_dead(table, record, now_s, settings):
    """Return whether a member of the own failure domain is to be declared dead.

    Notes
    -----
    It must have been silent here for the whole time, nobody asked may have heard it, and this
    process with those that confirm must outnumber half of the failure domain. A process that
    is cut off from the others therefore declares nobody dead, nor does one outside.
    """
    if record.status is not Status.ALIVE or record.failure_domain != table.failure_domain:
        return False
    if not is_silent(record, now_s, after_s=settings.dead_after_s) or record.denied_by:
        return False
    living = 1 + sum(
        other.status is Status.ALIVE and other.failure_domain == table.failure_domain
        for other in table.records.values()
    )
    confirmations = 1 + len(record.confirmed_by)
    return confirmations > 1 and 2 * confirmations > living


def watch_only(table, incarnations, now_s):
    """Set which members are watched; those that stay watched keep their times."""
    for record in table.records.values():
        if record.incarnation not in incarnations:
            record.watched_s = record.unreached_s = None
        elif record.watched_s is None:
            record.watched_s = now_s


def shift_times(table, by_s):
    """Move all times of silence forward after the own process was paused for `by_s` seconds."""
    for record in table.records.values():
        if record.watched_s is not None:
            record.watched_s += by_s
        if record.heard_s is not None:
            record.heard_s += by_s
        if record.unreached_s is not None:
            record.unreached_s += by_s
        record.evidence_s += by_s
