"""The member table of one process: plain functions over records, without input or output.

The status of a record only ever rises: alive, dead, left. Joining two tables by the higher
status gives the same result in any order.
"""

import enum
from dataclasses import dataclass, field

from burdocklug.peers._incarnation import address_of, started_ns

__all__ = [
    "MemberTable",
    "Record",
    "Status",
    "forget",
    "join_entry",
    "mark_dead",
    "note_answer",
    "note_heartbeat",
    "note_unchosen",
    "replace_older",
    "successor_of",
]

MAX_TOMBSTONES = 4096
MAX_SUCCESSORS = 4096
MAX_OLD_ADDRESSES = 64
OLD_ADDRESS_KEEP_S = 6 * 3600.0


class Status(enum.IntEnum):
    """What a process tells others of a member; the higher one wins."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


@dataclass(slots=True, eq=False)
class Record:
    """What is known of one member; times are of the own monotonic clock.

    Parameters
    ----------
    incarnation, name, failure_domain : str
        Who it is.
    status : Status
        What is told to others.
    evidence_s : float
        Last time at which any process heard it, as far as known here.
    heard_s : float or None
        Last time at which its heartbeat came here.
    watched_s : float or None
        Since when heartbeats are exchanged with it; None for one that is not watched.
    unreached_s : float or None
        Since when it acknowledges nothing.
    chose_s : float or None
        Last heartbeat that said that the member chose this process for a link.
    ended_s : float or None
        When it was found dead or to have left.
    replaced : bool
        Whether another incarnation is known to run at its address.
    asked_s : float or None
        When others were asked whether they hear it.
    confirmed_by, denied_by : set of str
        Who does not, and does, hear it.
    """

    incarnation: str
    name: str
    failure_domain: str
    evidence_s: float
    status: Status = Status.ALIVE
    successor: str | None = None
    draining: bool = False
    sequence: int = 0
    heard_s: float | None = None
    watched_s: float | None = None
    unreached_s: float | None = None
    chose_s: float | None = None
    ended_s: float | None = None
    replaced: bool = False
    asked_s: float | None = None
    confirmed_by: set = field(default_factory=set)
    denied_by: set = field(default_factory=set)


@dataclass(slots=True)
class MemberTable:
    """Records of all members but the own process.

    Parameters
    ----------
    own : str
        The own incarnation.
    failure_domain : str
        The own failure domain.
    records : dict
        Records by incarnation.
    tombstones : dict
        Incarnations that ended and were forgotten, oldest first.
    successors : dict
        Successors by incarnation that left, oldest first.
    old_addresses : dict
        Addresses of members that were forgotten without having ended, and when.
    """

    own: str
    failure_domain: str
    records: dict = field(default_factory=dict)
    tombstones: dict = field(default_factory=dict)
    successors: dict = field(default_factory=dict)
    old_addresses: dict = field(default_factory=dict)


def _put_bounded(table, key, value, limit):
    table.pop(key, None)
    table[key] = value
    while len(table) > limit:
        del table[next(iter(table))]


def join_entry(table, entry, now_s):
    """Take in what another process tells of a member; return the record if it changed.

    Parameters
    ----------
    entry : Entry
        Identity, status, successor and age of the last evidence.
    now_s : float
        Time of the own clock.
    """
    incarnation = entry.incarnation
    if incarnation == table.own or incarnation in table.tombstones:
        return None
    if address_of(incarnation) is None:
        return None
    evidence_s = now_s - entry.age_s
    record = table.records.get(incarnation)
    if record is None:
        record = Record(incarnation, entry.name, entry.failure_domain, evidence_s)
        table.records[incarnation] = record
        _end(table, record, entry.status, entry.successor, now_s)
        replace_older(table, record, now_s)
        return record
    record.evidence_s = max(record.evidence_s, evidence_s)
    if entry.status <= record.status:
        return None
    _end(table, record, entry.status, entry.successor, now_s)
    return record


def _end(table, record, status, successor, now_s):
    if status is Status.ALIVE:
        return
    record.status = status
    record.ended_s = now_s
    record.watched_s = None
    if status is Status.LEFT and successor:
        record.successor = successor
        _put_bounded(table.successors, record.incarnation, successor, MAX_SUCCESSORS)


def mark_dead(table, record, now_s, *, replaced=False):
    """Note that a member is dead; return whether that is new."""
    record.replaced = record.replaced or replaced
    if record.status is not Status.ALIVE:
        return False
    _end(table, record, Status.DEAD, None, now_s)
    return True


def replace_older(table, newer, now_s):
    """Mark older incarnations at the address of `newer` as dead; return their records."""
    address = address_of(newer.incarnation)
    older = []
    for record in table.records.values():
        if record is newer or address_of(record.incarnation) != address:
            continue
        if started_ns(record.incarnation) < started_ns(newer.incarnation):
            if mark_dead(table, record, now_s, replaced=True):
                older.append(record)
    return older


def note_heartbeat(table, incarnation, heartbeat, now_s, *, name, failure_domain):
    """Take in a heartbeat; return the record and whether the member is new.

    Notes
    -----
    An ended member stays ended whatever it sends. Its record is returned as it is, and None if
    it was already forgotten.
    """
    if incarnation in table.tombstones:
        return None, False
    record = table.records.get(incarnation)
    is_new = record is None
    if is_new:
        record = Record(incarnation, name, failure_domain, now_s)
        table.records[incarnation] = record
    if record.status is not Status.ALIVE or heartbeat.sequence <= record.sequence:
        return record, is_new
    record.sequence = heartbeat.sequence
    record.draining = heartbeat.draining
    record.heard_s = record.evidence_s = now_s
    record.asked_s = None
    record.confirmed_by.clear()
    record.denied_by.clear()
    record.chose_s = now_s if heartbeat.chosen else None
    return record, is_new


def note_answer(table, incarnation, now_s):
    """Note that a member answered a heartbeat by something else than its own heartbeat."""
    record = table.records.get(incarnation)
    if record is not None and record.status is Status.ALIVE:
        record.heard_s = record.evidence_s = now_s


def note_unchosen(table, incarnation):
    """Note that a member has no link to this process any more."""
    record = table.records.get(incarnation)
    if record is not None:
        record.chose_s = None


def forget(table, now_s, settings):
    """Drop records of members that ended or were silent for long; return how many."""
    limit_s = settings.forget_after_s
    dropped = []
    for record in table.records.values():
        if record.status is not Status.ALIVE:
            if now_s - record.ended_s > limit_s:
                dropped.append(record)
                _put_bounded(table.tombstones, record.incarnation, record.status, MAX_TOMBSTONES)
        elif now_s - record.evidence_s > limit_s:
            dropped.append(record)
            address = address_of(record.incarnation)
            _put_bounded(table.old_addresses, address, now_s, MAX_OLD_ADDRESSES)
    for address, since_s in list(table.old_addresses.items()):
        if now_s - since_s > OLD_ADDRESS_KEEP_S:
            del table.old_addresses[address]
    for record in dropped:
        del table.records[record.incarnation]
    return len(dropped)


def successor_of(table, incarnation):
    """Return the last incarnation in the chain of successors, or None if there is none.

    Examples
    --------
    >>> table = MemberTable("me", "perg", successors={"a": "b", "b": "c"})
    >>> successor_of(table, "a"), successor_of(table, "c")
    ('c', None)
    """
    passed = {incarnation}
    successor = table.successors.get(incarnation)
    while successor is not None:
        further = table.successors.get(successor)
        if further is None or further in passed:
            return successor
        passed.add(successor)
        successor = further
    return None
