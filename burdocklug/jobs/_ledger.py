"""The submission ledger: which submissions this process has seen, and their answers.

A session is owned by one process incarnation, so that the answer to "was this key seen" needs no
other process. A record is kept until the caller acknowledges it or a bound is reached; then the
session's low-water mark rises, and every key at or under the mark is refused for good.
"""

import collections
import enum
from dataclasses import dataclass, field

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["Ledger", "Record", "RecordState", "Session"]

RECORD_BYTES = 500  # fixed cost of a record beside its answer


class RecordState(enum.StrEnum):
    """State of one submission."""

    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True)
class Record:
    """One submission: the digest of its body, its job while running, its answer afterwards."""

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
        """Memory the record is charged with."""
        return RECORD_BYTES + len(self.answer)


@dataclass(slots=True)
class Session:
    """One caller session: its low-water mark and the records above it."""

    session: str
    touched_s: float
    mark: int = 0
    records: dict[int, Record] = field(default_factory=dict)


class Ledger:
    """All submissions that this process owns.

    Parameters
    ----------
    max_sessions : int
        Most sessions at a time; the longest idle one is dropped for a new one.
    max_records : int
        Most records of one session.
    max_bytes : int
        Most bytes of all records.
    idle_s : float
        Seconds after which an unused session without a running job is dropped.

    Notes
    -----
    Memory is bounded by `max_bytes` plus the running jobs, which the queue bounds limit.

    Examples
    --------
    >>> ledger = Ledger(max_sessions=10, max_records=10, max_bytes=10_000, idle_s=60)
    >>> ledger.open_session("s", now_s=0.0)
    >>> record, is_new = ledger.enter("s", 1, b"digest", now_s=1.0)
    >>> ledger.finish(record, 200, b"{}")
    >>> ledger.enter("s", 1, b"digest", now_s=2.0)[1]
    False
    """

    def __init__(self, *, max_sessions, max_records, max_bytes, idle_s):
        self.max_sessions = max_sessions
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.idle_s = idle_s
        self.sessions = collections.OrderedDict()
        self.claims = {}
        self.bytes = 0
        self._finished = collections.OrderedDict()

    def open_session(self, session, *, now_s):
        """Add a session; at the bound, the session that is idle longest makes room.

        Raises
        ------
        BurdocklugError
            Of kind ``queue_full`` where every session has running jobs.
        """
        self.drop_idle(now_s=now_s)
        if len(self.sessions) >= self.max_sessions and not self._drop_one_session():
            raise BurdocklugError(ErrorKind.QUEUE_FULL, f"{self.max_sessions} sessions are busy")
        self.sessions[session] = Session(session, now_s)

    def _drop_one_session(self):
        for session in self.sessions.values():
            if not _has_running(session):
                self._drop_session(session)
                return True
        return False

    def _drop_session(self, session):
        for record in session.records.values():
            self._release(record)
        del self.sessions[session.session]

    def _release(self, record):
        self.bytes -= record.size_bytes
        self._finished.pop(record.key, None)

    def drop_idle(self, *, now_s):
        """Drop sessions unused for `idle_s` that have no running job; return their count."""
        dropped = 0
        while self.sessions:
            session = next(iter(self.sessions.values()))
            if session.touched_s + self.idle_s > now_s:
                break
            if _has_running(session):
                self._touch(session, now_s)
                continue
            self._drop_session(session)
            dropped += 1
        return dropped

    def _touch(self, session, now_s):
        session.touched_s = now_s
        self.sessions.move_to_end(session.session)

    def find(self, session_id, sequence):
        """Return the record of a key, or None where it was never seen.

        Raises
        ------
        BurdocklugError
            Of kind ``session_unknown`` or ``key_expired``.
        """
        session = self.sessions.get(session_id)
        if session is None:
            raise BurdocklugError(ErrorKind.SESSION_UNKNOWN, f"session {session_id} is not known")
        record = session.records.get(sequence)
        if record is None and sequence <= session.mark:
            raise BurdocklugError(
                ErrorKind.KEY_EXPIRED, f"sequence {sequence} is not above the mark {session.mark}"
            )
        return record

    def enter(self, session_id, sequence, digest, *, now_s):
        """Return the record of a key and whether it was made by this call.

        Parameters
        ----------
        session_id : str
            The session.
        sequence : int
            The submission's number within the session.
        digest : bytes or None
            Digest of the body; None for a refusal made before the body was read.
        now_s : float
            Monotonic seconds.

        Raises
        ------
        BurdocklugError
            Of kind ``session_unknown``, ``key_expired``, or ``key_conflict`` for the same key
            with another body.
        """
        record = self.find(session_id, sequence)
        session = self.sessions[session_id]
        self._touch(session, now_s)
        if record is not None:
            check_digest(record, digest)
            return record, False
        record = Record(f"{session_id}~{sequence}", digest)
        session.records[sequence] = record
        self.bytes += record.size_bytes
        self._shrink_session(session)
        return record, True

    def enter_claim(self, key_text, digest):
        """Like `enter`, for a caller key whose claim this process has just won."""
        record = Record(key_text, digest)
        self.claims[key_text] = record
        self.bytes += record.size_bytes
        return record

    def find_claim(self, key_text):
        """Return the record of a caller key, or None."""
        return self.claims.get(key_text)

    def finish(self, record, status, answer, retry_after_s=None):
        """Store the answer of a record and wake everyone who waits for it."""
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
        self._shrink_total()

    def acknowledge(self, session_id, sequence):
        """Raise the mark of a session to `sequence` and drop the finished records under it."""
        session = self.sessions.get(session_id)
        if session is None or sequence <= session.mark:
            return
        session.mark = sequence
        for number in [n for n in session.records if n <= sequence]:
            self._forget(session, number)

    def adopt_session(self, session_id, mark, copies, *, now_s):
        """Take over a session, or more records of it, from a process that shuts down.

        Parameters
        ----------
        session_id : str
            The session.
        mark : int
            Its low-water mark.
        copies : iterable of RecordCopy
            Finished records.
        now_s : float
            Monotonic seconds.
        """
        session = self.sessions.get(session_id)
        if session is None:
            session = self.sessions[session_id] = Session(session_id, now_s)
        session.mark = max(session.mark, mark)
        for copy in copies:
            if copy.sequence not in session.records:
                record = Record(f"{session_id}~{copy.sequence}", copy.digest)
                session.records[copy.sequence] = record
                self._fill(record, copy)

    def adopt_claim(self, key_text, copy):
        """Take over the finished record of a caller key."""
        if key_text not in self.claims:
            record = self.claims[key_text] = Record(key_text, copy.digest)
            self._fill(record, copy)

    def _fill(self, record, copy):
        self.bytes += record.size_bytes
        self.finish(record, copy.status, copy.answer)

    def _forget(self, session, number):
        record = session.records[number]
        if record.state is RecordState.RUNNING:
            return
        session.mark = max(session.mark, number)
        self._release(record)
        del session.records[number]

    def _shrink_session(self, session):
        while len(session.records) > self.max_records:
            finished = (n for n, r in session.records.items() if r.state is RecordState.FINISHED)
            number = next(finished, None)
            if number is None:
                return
            self._forget(session, number)

    def _shrink_total(self):
        while self.bytes > self.max_bytes and self._finished:
            self._evict(next(iter(self._finished.values())))

    def _evict(self, record):
        if self.claims.get(record.key) is record:
            del self.claims[record.key]
            self._release(record)
            return
        session_id, _, number = record.key.rpartition("~")
        self._forget(self.sessions[session_id], int(number))


def _has_running(session):
    return any(record.state is RecordState.RUNNING for record in session.records.values())


def check_digest(record, digest):
    """Raise ``key_conflict`` where `digest` differs from the one that `record` was made with."""
    if record.digest is None or digest is None or record.digest == digest:
        return
    raise BurdocklugError(
        ErrorKind.KEY_CONFLICT, f"key {record.key} was used with another body", ran="no"
    )
