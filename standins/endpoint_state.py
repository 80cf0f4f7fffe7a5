"""State of one stand-in endpoint: slots, attempts, faults and the record of what happened.

Every method takes the time as an argument and does no I/O.
"""

import enum
import hashlib
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

__all__ = ["AttemptRecord", "EndpointState", "Fate", "Faults", "answer_digest"]

MAX_ATTEMPTS = 200_000
MAX_EVENTS = 500_000
DIGEST_CHARS = 16


def answer_digest(task_id):
    """Return the digest of a task id that its answer carries.

    Examples
    --------
    >>> answer_digest("s.1/0")
    '17fa81e04017e758'
    """
    return hashlib.sha256(task_id.encode()).hexdigest()[:DIGEST_CHARS]


class Fate(enum.StrEnum):
    """What has become of an attempt."""

    FENCED = "not_started"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True)
class AttemptRecord:
    """One attempt that the endpoint remembers."""

    attempt_id: str
    task_id: str | None
    fate: Fate
    since_s: float
    answer: dict | None = None
    waiters: list = field(default_factory=list)
    cancelled: bool = False
    claimed: bool = False  # a handler runs it


@dataclass(slots=True)
class Faults:
    """Faults that are switched on; the field names are the keys of ``POST /faults``.

    Parameters
    ----------
    fail_all : bool
        Every task fails at once.
    slow_factor : float
        Factor on every run time.
    accept_and_never_answer : bool
        Requests of the dispatcher are read, nothing is started, nothing is answered.
    hold_answers : bool
        Starts run, their answer is never sent and the connection stays open; fences work.
    refuse : bool
        Every start is refused as full.
    lies_about_free_slots : bool
        Every answer reports all slots as free.
    lose_answers : bool
        Starts run, then the connection is closed without an answer.
    lose_answers_early : bool
        Starts run, the connection is closed at once without an answer.
    delay_before_start_s : float
        Seconds between the arrival of a start and its admission.
    leaving : bool
        Starts are refused and every answer says that the endpoint is leaving.
    down : bool
        The listener and all connections are closed; the control address stays reachable.
    crossed : bool
        Starts are answered with the answer of the attempt before.
    answer_twice : bool
        Each answer to a start is sent twice on its connection.
    half_answer : bool
        Starts run, half of the answer is sent and the connection is closed.
    garbage : bool
        Starts run, the answer's body is no JSON.
    redirect : str
        Starts are not run but redirected to this address.
    close_after_answer : bool
        The connection is closed without notice after each answer.
    """

    fail_all: bool = False
    slow_factor: float = 1.0
    accept_and_never_answer: bool = False
    hold_answers: bool = False
    refuse: bool = False
    lies_about_free_slots: bool = False
    lose_answers: bool = False
    lose_answers_early: bool = False
    delay_before_start_s: float = 0.0
    leaving: bool = False
    down: bool = False
    crossed: bool = False
    answer_twice: bool = False
    half_answer: bool = False
    garbage: bool = False
    redirect: str = ""
    close_after_answer: bool = False


class EndpointState:
    """Admission, memory of attempts and record of one stand-in endpoint.

    Parameters
    ----------
    slots : int
        Tasks that may run at once.
    max_connections : int
        Connections that may be open at once.
    now_s : float
        Time at which the endpoint's memory of attempts begins.

    Examples
    --------
    >>> state = EndpointState(slots=1)
    >>> state.begin("a1", "t1", now_s=0.0).fate.value
    'running'
    >>> state.begin("a2", "t2", now_s=0.1)
    'full'
    >>> state.fence("a3", now_s=0.2).fate.value, state.begin("a3", "t3", now_s=0.3)
    ('not_started', 'fenced')
    """

    def __init__(self, *, slots=8, max_connections=64, now_s=0.0):
        self.slots = slots
        self.remembers_from_s = now_s
        self.max_connections = max_connections
        self.faults = Faults()
        self.attempts = OrderedDict()
        self.running = 0
        self.connections = 0
        self.last_answer = None
        self.reset()

    def reset(self):
        """Clear the record; attempts and fences stay."""
        self.starts = []
        self.dropped_starts = 0
        self.finished = Counter()
        self.refusals = Counter()
        self.messages = Counter()
        self.cancelled = []
        self.duplicates = 0
        self.max_running = self.running
        self.max_connections_seen = self.connections

    def connect(self):
        """Count a new connection; return False when it exceeds the limit."""
        if self.connections >= self.max_connections:
            self.refusals["connections"] += 1
            return False
        self.connections += 1
        self.max_connections_seen = max(self.max_connections_seen, self.connections)
        return True

    def disconnect(self):
        """Count a closed connection."""
        self.connections -= 1

    def free_slots(self):
        """Return the number of free slots that answers report."""
        if self.faults.lies_about_free_slots:
            return self.slots
        return max(0, self.slots - self.running)

    def begin(self, attempt_id, task_id, *, now_s):
        """Admit a start; return its record, or the cause of the refusal."""
        known = self.attempts.get(attempt_id)
        if known is not None and known.fate is not Fate.FENCED:
            self.duplicates += 1
            return known
        cause = None
        if known is not None:
            cause = "fenced"
        elif self.faults.leaving:
            cause = "leaving"
        elif self.faults.refuse or self.running >= self.slots:
            cause = "full"
        if cause is not None:
            self.refusals[cause] += 1
            return cause
        record = self._remember(AttemptRecord(attempt_id, task_id, Fate.RUNNING, now_s))
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self._record_start(record, now_s)
        return record

    def _record_start(self, record, now_s):
        if len(self.starts) >= MAX_EVENTS:
            self.dropped_starts += 1
            return
        self.starts.append((record.task_id, record.attempt_id, now_s, self.running))

    def finish(self, record, *, ok, value, run_s):
        """End a running attempt and keep its answer."""
        self.running -= 1
        self.finished["ok" if ok else "failed"] += 1
        record.fate = Fate.FINISHED
        record.answer = {
            "attempt_id": record.attempt_id,
            "task_id": record.task_id,
            "ok": ok,
            "value": value,
            "run_s": run_s,
        }
        waiters, record.waiters = record.waiters, []
        for wake in waiters:
            wake()

    def answer(self, record):
        """Return the body of a finished attempt with the endpoint's present load."""
        return dict(record.answer, free_slots=self.free_slots(), leaving=self.faults.leaving)

    def fence(self, attempt_id, *, now_s):
        """Return the attempt's record; an unknown attempt is fenced first."""
        record = self.attempts.get(attempt_id)
        if record is None:
            record = self._remember(AttemptRecord(attempt_id, None, Fate.FENCED, now_s))
        return record

    def cancel(self, attempt_ids, *, now_s):
        """Stop running attempts, fence unknown ones, and return the number stopped."""
        stopped = 0
        for attempt_id in attempt_ids:
            record = self.fence(attempt_id, now_s=now_s)
            if record.fate is Fate.RUNNING and not record.cancelled:
                record.cancelled = True
                self.cancelled.append((attempt_id, now_s))
                stopped += 1
                waiters, record.waiters = record.waiters, []
                for wake in waiters:
                    wake()
        return stopped

    def _remember(self, record):
        self.attempts[record.attempt_id] = record
        if len(self.attempts) > MAX_ATTEMPTS:
            _, oldest = self.attempts.popitem(last=False)
            self.remembers_from_s = max(self.remembers_from_s, oldest.since_s)
        return record

    def memory_s(self, *, now_s):
        """Return the seconds for which every attempt has been remembered."""
        return max(0.0, now_s - self.remembers_from_s)

    def status(self):
        """Return the body of ``GET /v1/status``."""
        return {
            "slots": self.slots,
            "free_slots": self.free_slots(),
            "leaving": self.faults.leaving,
        }

    def record(self, since=0):
        """Return the whole record; `since` skips that many starts.

        Notes
        -----
        ``next`` is the value of `since` that continues after this answer. Each start is
        ``[task_id, attempt_id, time, running at once]``.
        """
        return {
            "starts": self.starts[since:],
            "next": len(self.starts),
            "dropped_starts": self.dropped_starts,
            "finished": dict(self.finished),
            "cancelled": self.cancelled,
            "refusals": dict(self.refusals),
            "messages": dict(self.messages),
            "duplicates": self.duplicates,
            "running": self.running,
            "max_running": self.max_running,
            "connections": self.connections,
            "max_connections": self.max_connections_seen,
        }
