"""The submission ledger: the submissions that this process has received, and their answers.

A session is owned by one process incarnation, so that process alone can tell whether a key is new.
A record is kept until the caller acknowledges it or a bound evicts it. The session's low-water mark
then rises to the record's sequence, and every sequence at or below the mark is refused for good.
"""

import collections
import enum
from dataclasses import dataclass, field

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["Ledger", "Record", "RecordState", "Session"]

RECORD_BYTES = 500  # memory charged for a record in addition to its answer


class RecordState(enum.StrEnum):
    """State of one submission."""

    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True)
class Record:
    """One submission: the digest of its body, its job while running, then its answer."""

    key: str
    digest: bytes | None
    state: RecordState = RecordState.RUNNING
    status: int = 0
    answer: bytes = b""
    retry_after_s: float | None = None
    job: object = None
    waiters: list = field(default_factory=list)

    @property
    def size_bytes(self):
        """Memory charged for the record, in bytes."""
        return RECORD_BYTES + len(self.answer)


@dataclass(slots=True)
class Session:
    """One caller session: its low-water mark and its records by sequence."""

    session_id: str
    last_used_s: float
    low_water_mark: int = 0
    records: dict[int, Record] = field(default_factory=dict)


class Ledger:
    """The submissions that this process owns.

    Parameters
    ----------
    max_sessions : int
        Maximum number of sessions; a new one replaces the one that is idle longest.
    max_records : int
        Maximum number of records in one session.
    max_bytes : int
        Maximum memory of all records, in bytes.
    idle_s : float
        Idle time after which a session without a running job is dropped, in seconds.

    Notes
    -----
    Memory is bounded by `max_bytes` plus the running jobs, whose number the queue limits bound.

    Examples
    --------
    >>> ledger = Ledger(max_sessions=10, max_records=10, max_bytes=10_000, idle_s=60)
    >>> ledger.open_session("s", now_s=0.0)
    >>> record, is_new = ledger.get_or_add("s", 1, b"digest", now_s=1.0)
    >>> ledger.finish(record, 200, b"{}")
    >>> ledger.get_or_add("s", 1, b"digest", now_s=2.0)[1]
    False
    """

    def __init__(self, *, max_sessions, max_records, max_bytes, idle_s):
        self.max_sessions = max_sessions
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.idle_s = idle_s
        self.sessions = collections.OrderedDict()
        self.caller_key_records = {}
        self.bytes = 0
        self._finished = collections.OrderedDict()

    def open_session(self, session_id, *, now_s):
        """Add a session, dropping the one that is idle longest if `max_sessions` is reached.

        Raises
        ------
        BurdocklugError
            Of kind ``queue_full`` if every session has running jobs.
        """
        self.drop_idle(now_s=now_s)
        if len(self.sessions) >= self.max_sessions and not self._drop_idlest_session():
            raise BurdocklugError(
                ErrorKind.QUEUE_FULL, f"all {self.max_sessions} sessions have running jobs"
            )
        self.sessions[session_id] = Session(session_id, now_s)

    def _drop_idlest_session(self):
        for session in self.sessions.values():
            if not _has_running_job(session):
                self._drop_session(session)
                return True
        return False

    def _drop_session(self, session):
        for record in session.records.values():
            self._remove_finished(record)
        del self.sessions[session.session_id]

    def _remove_finished(self, record):
        """Subtract the memory of a record that is dropped, and remove it from the finished ones."""
        self.bytes -= record.size_bytes
        self._finished.pop(record.key, None)

    def drop_idle(self, *, now_s):
        """Drop sessions idle for `idle_s` without a running job and return their number."""
        dropped = 0
        while self.sessions:
            session = next(iter(self.sessions.values()))
            if session.last_used_s + self.idle_s > now_s:
                break
            if _has_running_job(session):
                self._update_last_used(session, now_s)
                continue
            self._drop_session(session)
            dropped += 1
        return dropped

    def _update_last_used(self, session, now_s):
        session.last_used_s = now_s
        self.sessions.move_to_end(session.session_id)

    def find(self, session_id, sequence):
        """Return the record of a key, or None if the key is new.

        Raises
        ------
        BurdocklugError
            Of kind ``session_unknown``, or ``key_expired`` for a sequence without a record at or
            below the low-water mark.
        """
        session = self.sessions.get(session_id)
        if session is None:
            raise BurdocklugError(ErrorKind.SESSION_UNKNOWN, f"session {session_id} is unknown")
        record = session.records.get(sequence)
        if record is None and sequence <= session.low_water_mark:
            raise BurdocklugError(
                ErrorKind.KEY_EXPIRED,
                f"sequence {sequence} is not above the low-water mark {session.low_water_mark}",
            )
        return record

    def get_or_add(self, session_id, sequence, digest, *, now_s):
        """Return the record of a key, adding it if the key is new, and whether it was added.

        Parameters
        ----------
        session_id : str
            Id of the session.
        sequence : int
            Number of the submission within the session.
        digest : bytes or None
            Digest of the body; None if the submission was refused before its body was read.
        now_s : float
            Monotonic time, in seconds.

        Raises
        ------
        BurdocklugError
            Of kind ``session_unknown``, ``key_expired``, or ``key_conflict`` if the key was used
            with another body.
        """
        record = self.find(session_id, sequence)
        session = self.sessions[session_id]
        self._update_last_used(session, now_s)
        if record is not None:
            check_digest(record, digest)
            return record, False
        record = Record(f"{session_id}~{sequence}", digest)
        session.records[sequence] = record
        self.bytes += record.size_bytes
        self._enforce_max_records(session)
        return record, True

    def add_caller_key_record(self, key_text, digest):
        """Add the record of a caller key whose claim this process has just acquired."""
        record = Record(key_text, digest)
        self.caller_key_records[key_text] = record
        self.bytes += record.size_bytes
        return record

    def find_caller_key_record(self, key_text):
        """Return the record of a caller key, or None."""
        return self.caller_key_records.get(key_text)

    def finish(self, record, status, answer, retry_after_s=None):
        """Store the answer of a record and wake the greenlets that wait for it."""
        self.bytes += len(answer)
        record.state = RecordState.FINISHED
        record.status = status
        record.answer = answer
        record.retry_after_s = retry_after_s
        record.job = None
        self._finished[record.key] = record
        waiters, record.waiters = record.waiters, []
        for waiter in waiters:
            waiter.send(None)
        self._enforce_max_bytes()

    def acknowledge(self, session_id, sequence):
        """Raise a session's low-water mark to `sequence` and drop finished records up to it."""
        session = self.sessions.get(session_id)
        if session is None or sequence <= session.low_water_mark:
            return
        session.low_water_mark = sequence
        for number in [n for n in session.records if n <= sequence]:
            self._drop_if_finished(session, number)

    def adopt_session(self, session_id, low_water_mark, copies, *, now_s):
        """Add a session, or further records of it, handed over by a process that shuts down.

        Parameters
        ----------
        session_id : str
            Id of the session.
        low_water_mark : int
            The low-water mark at the sender.
        copies : iterable of RecordCopy
            Finished records.
        now_s : float
            Monotonic time, in seconds.
        """
        session = self.sessions.get(session_id)
        if session is None:
            session = self.sessions[session_id] = Session(session_id, now_s)
        session.low_water_mark = max(session.low_water_mark, low_water_mark)
        for copy in copies:
            if copy.sequence not in session.records:
                record = Record(f"{session_id}~{copy.sequence}", copy.digest)
                session.records[copy.sequence] = record
                self._finish_copy(record, copy)

    def adopt_caller_key_record(self, key_text, copy):
        """Add the finished record of a caller key, handed over by another process."""
        if key_text not in self.caller_key_records:
            record = self.caller_key_records[key_text] = Record(key_text, copy.digest)
            self._finish_copy(record, copy)

    def _finish_copy(self, record, copy):
        self.bytes += record.size_bytes
        self.finish(record, copy.status, copy.answer)

    def _drop_if_finished(self, session, number):
        record = session.records[number]
        if record.state is RecordState.RUNNING:
            return
        session.low_water_mark = max(session.low_water_mark, number)
        self._remove_finished(record)
        del session.records[number]

    def _enforce_max_records(self, session):
        while len(session.records) > self.max_records:
            finished = (n for n, r in session.records.items() if r.state is RecordState.FINISHED)
            number = next(finished, None)
            if number is None:
                return
            self._drop_if_finished(session, number)

    def _enforce_max_bytes(self):
        while self.bytes > self.max_bytes and self._finished:
            self._evict(next(iter(self._finished.values())))

    def _evict(self, record):
        if self.caller_key_records.get(record.key) is record:
            del self.caller_key_records[record.key]
            self._remove_finished(record)
            return
        session_id, _, number = record.key.rpartition("~")
        self._drop_if_finished(self.sessions[session_id], int(number))


def _has_running_job(session):
    return any(record.state is RecordState.RUNNING for record in session.records.values())


def check_digest(record, digest):
    """Raise ``key_conflict`` if `digest` differs from the digest of the record's body."""
    if record.digest is None or digest is None or record.digest == digest:
        return
    raise BurdocklugError(
        ErrorKind.KEY_CONFLICT, f"key {record.key} was used with another body", ran="no"
    )
