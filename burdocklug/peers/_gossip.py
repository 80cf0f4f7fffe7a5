"""Gossip messages of the member table, and the comparison of a table with a peer's digest."""

import hashlib
from math import ceil

import msgspec

from burdocklug.peers._membership import Status

__all__ = [
    "DeclaredDead",
    "Entries",
    "Entry",
    "Heartbeat",
    "Hello",
    "SilenceAnswer",
    "SilenceQuestion",
    "TableDigest",
    "Unwatched",
    "make_digest",
    "make_entries",
    "merge_digest",
    "recent_records",
    "short_id",
]

SHORT_ID_BYTES = 6


class Heartbeat(msgspec.Struct, array_like=True, tag="hb", frozen=True):
    """Sent to each watched member once per heartbeat period.

    `requests_link` is true if the sender chose the receiver as a link and wants heartbeats back.
    """

    sequence: int
    requests_link: bool
    draining: bool
    parts: dict[str, msgspec.Raw]


class Unwatched(msgspec.Struct, array_like=True, tag="unwatched", frozen=True):
    """Answers a heartbeat from a member to which the sender sends no heartbeats.

    The receiver then drops the sender's link request and expects no heartbeats from it.
    """


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """First message to a seed address or an unknown peer; answered with the whole table."""

    heartbeat: Heartbeat


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """State of one member; `age_s` is the time since any process heard from it."""

    incarnation: str
    name: str
    failure_domain: str
    status: Status
    successor: str | None
    age_s: float


class Entries(msgspec.Struct, array_like=True, tag="entries", frozen=True):
    """Entries that are new to the receiver or have a higher status than in its table."""

    entries: list[Entry]


class TableDigest(msgspec.Struct, array_like=True, tag="digest", frozen=True):
    """Short id, status and age in whole seconds of each entry in the sender's table.

    A digest that is itself a reply (`is_reply`) is not answered with another digest.
    """

    rows: list[tuple[bytes, int, int]]
    is_reply: bool = False


class SilenceQuestion(msgspec.Struct, array_like=True, tag="silent?", frozen=True):
    """Asks for a vote on a member from which the sender no longer hears."""

    incarnation: str


class SilenceAnswer(msgspec.Struct, array_like=True, tag="silent", frozen=True):
    """Vote on whether a member is dead; `silent` is true if the sender does not hear from it."""

    incarnation: str
    silent: bool


class DeclaredDead(msgspec.Struct, array_like=True, tag="dead", frozen=True):
    """Tells the receiver that the sender's member table lists it as dead."""

    incarnation: str


def short_id(incarnation):
    """Return the hash that stands for an incarnation in digests.

    Examples
    --------
    >>> len(short_id("127.0.0.1:7000~00000000000000ff0123abcd"))
    6
    """
    return hashlib.blake2b(incarnation.encode(), digest_size=SHORT_ID_BYTES).digest()


def _entry(record, now_s):
    return Entry(
        record.incarnation,
        record.name,
        record.failure_domain,
        record.status,
        record.successor,
        max(0.0, now_s - record.evidence_s),
    )


def make_entries(records, now_s):
    """Return the `Entries` message for the given records."""
    return Entries([_entry(record, now_s) for record in records])


def recent_records(table, now_s, settings):
    """Yield the records with evidence recent enough to be gossiped."""
    for record in table.records.values():
        if now_s - record.evidence_s <= settings.forget_after_s / 2:
            yield record


def make_digest(table, now_s, settings, *, is_reply=False):
    """Return the digest of a table; members without recent evidence are omitted."""
    # Ages are rounded up: rounded down, two processes that exchange digests would keep
    # refreshing the evidence of a silent member.
    rows = [
        (short_id(record.incarnation), record.status, max(0, ceil(now_s - record.evidence_s)))
        for record in recent_records(table, now_s, settings)
    ]
    return TableDigest(rows, is_reply)


def merge_digest(table, digest, now_s, settings):
    """Apply the evidence ages of a peer's digest and find the differences between the tables.

    Returns
    -------
    missing : list of Record
        Records that are missing in the digest or have a lower status there.
    is_behind : bool
        Whether the digest has a member or a higher status that this table lacks.
    """
    rows = {row[0]: row for row in digest.rows}
    rows.pop(short_id(table.own_incarnation), None)
    missing, known = [], 0
    for record in table.records.values():
        row = rows.get(short_id(record.incarnation))
        if row is None:
            if now_s - record.evidence_s <= settings.forget_after_s / 2:
                missing.append(record)
            continue
        known += row[1] <= record.status
        record.evidence_s = max(record.evidence_s, now_s - row[2])
        if row[1] < record.status:
            missing.append(record)
    return missing, known < len(rows)
