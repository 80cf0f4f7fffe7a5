"""Messages that spread the member table, and what two tables have to tell each other."""

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
    "entries_of",
    "make_digest",
    "missing_in_digest",
    "short_id",
    "told_records",
]

SHORT_ID_BYTES = 6


class Heartbeat(msgspec.Struct, array_like=True, tag="hb", frozen=True):
    """Sent to each watched member once a heartbeat period.

    `chosen` is true if the sender chose the receiver for a link and wants heartbeats back.
    """

    sequence: int
    chosen: bool
    draining: bool
    parts: dict[str, msgspec.Raw]


class Unwatched(msgspec.Struct, array_like=True, tag="unwatched", frozen=True):
    """Answers the heartbeat of a member that the sender sends none of its own to.

    The receiver then stops to expect heartbeats from the sender.
    """


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """Sent to a seed address instead of a heartbeat; answered by the whole table."""

    heartbeat: Heartbeat


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One member; `age_s` is the time since any process heard it."""

    incarnation: str
    name: str
    failure_domain: str
    status: Status
    successor: str | None
    age_s: float


class Entries(msgspec.Struct, array_like=True, tag="entries", frozen=True):
    """Entries that the receiver lacks or has in a lower status."""

    entries: list[Entry]


class TableDigest(msgspec.Struct, array_like=True, tag="digest", frozen=True):
    """Short id, status and age in whole seconds of each entry of the sender.

    An answering digest (`answers` true) is not answered by a digest again.
    """

    rows: list[tuple[bytes, int, int]]
    answers: bool = False


class SilenceQuestion(msgspec.Struct, array_like=True, tag="silent?", frozen=True):
    """Asks whether the receiver hears a member that the sender doesn't."""

    incarnation: str


class SilenceAnswer(msgspec.Struct, array_like=True, tag="silent", frozen=True):
    """Whether the sender of the answer hears the member."""

    incarnation: str
    silent: bool


class DeclaredDead(msgspec.Struct, array_like=True, tag="dead", frozen=True):
    """Tells the receiver that it is dead in the table of the sender."""

    incarnation: str


def short_id(incarnation):
    """Return a short id for digests.

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


def entries_of(records, now_s):
    """Return the message that tells of the given records."""
    return Entries([_entry(record, now_s) for record in records])


def told_records(table, now_s, settings):
    """Yield the records that are told to others."""
    for record in table.records.values():
        if now_s - record.evidence_s <= settings.forget_after_s / 2:
            yield record


def make_digest(table, now_s, settings, *, answers=False):
    """Return the digest of a table; members without recent evidence are left out."""
    # Ages are rounded up, so that two processes can't keep evidence young between them.
    rows = [
        (short_id(record.incarnation), record.status, max(0, ceil(now_s - record.evidence_s)))
        for record in told_records(table, now_s, settings)
    ]
    return TableDigest(rows, answers)


def missing_in_digest(table, digest, now_s, settings):
    """Take in the ages of a digest and return the records that its sender lacks.

    Returns
    -------
    missing : list of Record
        Records that the sender of the digest lacks or has in a lower status.
    lacking : bool
        Whether the sender has something that this table lacks.
    """
    rows = {row[0]: row for row in digest.rows}
    rows.pop(short_id(table.own), None)
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
