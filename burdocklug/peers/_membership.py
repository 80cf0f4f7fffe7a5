"""The member table of one process: functions over its records, without I/O.

The status of a record only increases, in the order alive, dead, left. Merging takes the higher
status, so that the result doesn't depend on the order in which entries arrive.
"""

import enum
from dataclasses import dataclass, field

from burdocklug.peers._incarnation import address_of, started_ns

__all__ = [
    "MemberTable",
    "Record",
    "Status",
    "apply_heartbeat",
    "clear_link_request",
    "forget",
    "mark_dead",
    "mark_heard",
    "mark_older_dead",
    "merge_entry",
    "successor_of",
]

MAX_TOMBSTONES = 4096
MAX_SUCCESSORS = 4096
MAX_EXPIRED_ADDRESSES = 64
EXPIRED_ADDRESS_RETENTION_S = 6 * 3600.0


class Status(enum.IntEnum):
    """The gossiped status of a member; of two, the higher one wins."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


@dataclass(slots=True, eq=False)
class Record:
    """The local state of one member; timestamps are readings of this process's monotonic clock.

    Parameters
    ----------
    incarnation, name, failure_domain : str
        Identity of the member.
    evidence_s : float
        Latest time at which any process heard from the member, as known from gossip.
    status : Status
        The gossiped status.
    successor : str or None
        Incarnation that took over from a member that left.
    draining : bool
        Whether the last heartbeat announced that the member drains.
    sequence : int
        Sequence number of the last heartbeat; older ones are ignored.
    heard_s : float or None
        Time at which this process last heard from the member.
    watched_s : float or None
        Start of the heartbeat exchange with the member; None while it is not watched.
    unreachable_since_s : float or None
        Time from which the member has acknowledged nothing.
    link_requested_s : float or None
        Time of the last heartbeat, if it said that the member chose this process as a link.
    ended_s : float or None
        Time at which this process learned that the member died or left.
    replaced : bool
        Whether another incarnation is known to run at its address.
    vote_requested_s : float or None
        Time at which other members were asked to vote on the member's silence.
    confirming_voters, denying_voters : set of str
        Voters to which the member is silent, and those that have heard it.
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
    unreachable_since_s: float | None = None
    link_requested_s: float | None = None
    ended_s: float | None = None
    replaced: bool = False
    vote_requested_s: float | None = None
    confirming_voters: set = field(default_factory=set)
    denying_voters: set = field(default_factory=set)


@dataclass(slots=True)
class MemberTable:
    """Records of all members but the own process.

    Parameters
    ----------
    own_incarnation : str
        Incarnation of this process.
    failure_domain : str
        Failure domain of this process.
    records : dict
        Records by incarnation.
    tombstones : dict
        Status of members that died or left and whose records were dropped, by incarnation, oldest
        first. They keep a late message from adding the member again.
    successors : dict
        Successors by incarnation that left, oldest first.
    expired_addresses : dict
        Time of dropping the record, by address, of members that were silent for long but neither
        declared dead nor known to have left. They are contacted like seeds.
    """

    own_incarnation: str
    failure_domain: str
    records: dict = field(default_factory=dict)
    tombstones: dict = field(default_factory=dict)
    successors: dict = field(default_factory=dict)
    expired_addresses: dict = field(default_factory=dict)


def _insert_bounded(table, key, value, limit):
    table.pop(key, None)
    table[key] = value
    while len(table) > limit:
        del table[next(iter(table))]


def merge_entry(table, entry, now_s):
    """Merge a gossiped entry into the table.

    Parameters
    ----------
    entry : Entry
        Identity, status, successor and age of the last evidence.
    now_s : float
        Monotonic time of this process.

    Returns
    -------
    Record or None
        The record if it is new or its status rose.
    """
    incarnation = entry.incarnation
    if incarnation == table.own_incarnation or incarnation in table.tombstones:
        return None
    if address_of(incarnation) is None:
        return None
    evidence_s = now_s - entry.age_s
    record = table.records.get(incarnation)
    if record is None:
        record = Record(incarnation, entry.name, entry.failure_domain, evidence_s)
        table.records[incarnation] = record
        _apply_status(table, record, entry.status, entry.successor, now_s)
        mark_older_dead(table, record, now_s)
        return record
    record.evidence_s = max(record.evidence_s, evidence_s)
    if entry.status <= record.status:
        return None
    _apply_status(table, record, entry.status, entry.successor, now_s)
    return record


def _apply_status(table, record, status, successor, now_s):
    if status is Status.ALIVE:
        return
    record.status = status
    record.ended_s = now_s
    record.watched_s = None
    if status is Status.LEFT and successor:
        record.successor = successor
        _insert_bounded(table.successors, record.incarnation, successor, MAX_SUCCESSORS)


def mark_dead(table, record, now_s, *, replaced=False):
    """Mark a member as dead; return False if it was dead or had left already."""
    record.replaced = record.replaced or replaced
    if record.status is not Status.ALIVE:
        return False
    _apply_status(table, record, Status.DEAD, None, now_s)
    return True


def mark_older_dead(table, newer, now_s):
    """Mark older incarnations at the address of `newer` as dead; return the changed records."""
    address = address_of(newer.incarnation)
    older = []
    for record in table.records.values():
        if record is newer or address_of(record.incarnation) != address:
            continue
        if started_ns(record.incarnation) < started_ns(newer.incarnation):
            if mark_dead(table, record, now_s, replaced=True):
                older.append(record)
    return older


def apply_heartbeat(table, incarnation, heartbeat, now_s, *, name, failure_domain):
    """Apply a received heartbeat; return the sender's record and whether it is new.

    Notes
    -----
    A member that is dead or has left stays so whatever it sends: its record is returned
    unchanged, or None if only its tombstone remains.
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
    record.vote_requested_s = None
    record.confirming_voters.clear()
    record.denying_voters.clear()
    record.link_requested_s = now_s if heartbeat.requests_link else None
    return record, is_new


def mark_heard(table, incarnation, now_s):
    """Record that a member answered a heartbeat with a message other than a heartbeat."""
    record = table.records.get(incarnation)
    if record is not None and record.status is Status.ALIVE:
        record.heard_s = record.evidence_s = now_s


def clear_link_request(table, incarnation):
    """Record that a member no longer uses this process as a link."""
    record = table.records.get(incarnation)
    if record is not None:
        record.link_requested_s = None


def forget(table, now_s, settings):
    """Drop records that ended or lack evidence for `forget_after_s`; return their number."""
    limit_s = settings.forget_after_s
    dropped = []
    for record in table.records.values():
        if record.status is not Status.ALIVE:
            if now_s - record.ended_s > limit_s:
                dropped.append(record)
                _insert_bounded(table.tombstones, record.incarnation, record.status, MAX_TOMBSTONES)
        elif now_s - record.evidence_s > limit_s:
            dropped.append(record)
            address = address_of(record.incarnation)
            _insert_bounded(table.expired_addresses, address, now_s, MAX_EXPIRED_ADDRESSES)
    for address, since_s in list(table.expired_addresses.items()):
        if now_s - since_s > EXPIRED_ADDRESS_RETENTION_S:
            del table.expired_addresses[address]
    for record in dropped:
        del table.records[record.incarnation]
    return len(dropped)


def successor_of(table, incarnation):
    """Return the last incarnation in the chain of successors, or None if there is no successor.

    Examples
    --------
    >>> table = MemberTable("me", "perg", successors={"a": "b", "b": "c"})
    >>> successor_of(table, "a"), successor_of(table, "c")
    ('c', None)
    """
    visited = {incarnation}
    successor = table.successors.get(incarnation)
    while successor is not None:
        following = table.successors.get(successor)
        if following is None or following in visited:
            return successor
        visited.add(successor)
        successor = following
    return None
