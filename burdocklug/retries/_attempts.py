"""Runs one attempt: sends it once, and queries its status if the answer is late or broken."""

import random
import time
from dataclasses import dataclass

import eventlet
import eventlet.hubs
import msgspec
import structlog

from burdocklug.endpoints import (
    AttemptPhase,
    AttemptResult,
    EndpointUnresponsive,
    MaybeStarted,
    NotStarted,
    Outcome,
    OutcomeKind,
)
from burdocklug.retries._actions import ACTIONS, Action, FailedPhase, backoff_s, phase_of_state

__all__ = ["Finished", "NotRun", "Unknown", "health_outcome", "run_attempt"]

QUERY_WAIT_S = 1.0  # time for which the endpoint holds a status query of a running attempt
QUERY_TIMEOUT_S = 1.0  # time for connection and answer, on top of the wait
# Wait for the start's answer after a status query found the result, as it may arrive just after.
START_ANSWER_GRACE_S = 0.005

log = structlog.get_logger(__name__)


class Finished(msgspec.Struct, frozen=True):
    """The task ran; `result.ok` is true if it succeeded."""

    result: AttemptResult


class NotRun(msgspec.Struct, frozen=True):
    """The task was not started by this attempt and can no longer be started by it.

    Parameters
    ----------
    reason : str
        Value of the `FailedPhase`.
    free_slots : int or None
        Free slots of the endpoint, if its answer has them.
    """

    reason: str
    free_slots: int | None = None


class Unknown(msgspec.Struct, frozen=True):
    """Whether the task ran can't be determined before the deadline.

    Parameters
    ----------
    reason : str
        Value of the `FailedPhase`.
    last_phase : str
        Value of the last `FailedPhase` before the deadline, such as `ask_running` for a straggler.
    """

    reason: str
    last_phase: str = ""


def health_outcome(outcome, expected_s, *, job=""):
    """Return the health observation of an endpoint that an attempt's outcome gives, if any.

    Parameters
    ----------
    outcome : Finished or NotRun or Unknown
        The attempt's outcome. Outcomes of cancelled attempts must not be passed, as they are no
        evidence of the endpoint's health.
    expected_s : float
        Expected run time of the task in seconds.
    job : str, optional
        Key of the task's job; `EndpointHealth` distinguishes failures by job.

    Returns
    -------
    Outcome or None
        Observation for `EndpointHealth`; None if the outcome is no evidence.

    Examples
    --------
    >>> health_outcome(NotRun("full"), 0.2) is None
    True
    >>> health_outcome(Unknown("deadline", "ask_silent"), 0.2).kind.value
    'silent'
    """
    match outcome:
        case Finished(result):
            if not result.ok:
                return Outcome(OutcomeKind.FAILED, job=job)
            return Outcome(OutcomeKind.SUCCEEDED, result.run_s, expected_s)
        case NotRun(FailedPhase.REFUSED):
            return Outcome(OutcomeKind.REFUSED)
        case Unknown(FailedPhase.DEADLINE, FailedPhase.QUERY_SILENT):
            return Outcome(OutcomeKind.SILENT)
    return None


class _ResolvedByQuery(BaseException):
    """Interrupts the start request once a status query has found the outcome."""


class _Race:
    """One attempt, with its start request in this greenlet and status queries in another one.

    Parameters
    ----------
    ctx : _AttemptContext
        The attempt, its endpoint, and the clock and counters to use.
    """

    def __init__(self, ctx):
        self.ctx = ctx
        self.start_greenlet = eventlet.getcurrent()
        self.start_done = False  # whether the start request has returned or raised
        self.outcome = None
        self.query_greenlet = None

    def start_queries_if_silent(self):
        """Start the status queries if the start is unanswered; called after the expected time."""
        if not self.start_done:
            self.ctx.counts["silent_starts"] += 1
            self.query_greenlet = eventlet.spawn(self._resolve_by_query)

    def _resolve_by_query(self):
        outcome = _query_until_resolved(self.ctx, FailedPhase.SILENT)
        if isinstance(outcome, Finished) and not self.start_done:
            eventlet.sleep(START_ANSWER_GRACE_S)
        if self.start_done:
            return outcome
        self.outcome = outcome
        if not isinstance(outcome, Unknown):
            self.ctx.protocol.retire(self.ctx.address)
            self.ctx.counts["silent_links"] += 1
        eventlet.hubs.get_hub().schedule_call_global(0, self._interrupt_start)
        return outcome

    def _interrupt_start(self):
        if not self.start_done:
            self.start_greenlet.throw(_ResolvedByQuery())

    def stop_queries(self):
        """Kill the greenlet that queries the status, if it still runs."""
        if self.query_greenlet is not None and not self.query_greenlet.dead:
            self.query_greenlet.kill()


@dataclass(slots=True)
class _AttemptContext:
    """One attempt, its endpoint, and the clock, jitter and counters to use."""

    protocol: object
    address: str
    attempt: object
    deadline_s: float
    sent_s: float
    now: object
    rng: object
    counts: object

    def remaining_s(self):
        """Return the seconds until the deadline."""
        return self.deadline_s - self.now()


def run_attempt(
    protocol,
    address,
    attempt,
    deadline_s,
    expected_s,
    *,
    counts,
    now=time.monotonic,
    rng=random,
    timers=None,
):
    """Run one attempt and return its outcome.

    Parameters
    ----------
    protocol : EndpointProtocol
        Protocol of the endpoint.
    address : str
        Address of the endpoint.
    attempt : Attempt
        Attempt to run; it is sent exactly once.
    deadline_s : float
        Time, by the clock `now`, at which the caller gives up.
    expected_s : float
        Seconds without an answer after which the attempt's status is queried on a new connection.
    counts : collections.Counter
        Receives `silent_starts`, `silent_links`, `asks`, `crossed_answers`, `late_answers`,
        and `broken_<cause>`.
    now : callable, optional
        Returns monotonic seconds.
    rng : random.Random, optional
        Source of the backoff's jitter.
    timers : CoarseTimers, optional
        Timers that start the status queries; the event loop's timers by default.

    Returns
    -------
    Finished or NotRun or Unknown
        The outcome. Any other answer to the same attempt is dropped.

    Notes
    -----
    The task may be sent again, as a new attempt, only after `NotRun`.
    """
    sent_s = now()
    ctx = _AttemptContext(protocol, address, attempt, deadline_s, sent_s, now, rng, counts)
    if ctx.remaining_s() <= 0:
        return NotRun(FailedPhase.DEADLINE.value)
    race = _Race(ctx)
    after = eventlet.hubs.get_hub().schedule_call_global if timers is None else timers.after
    timer = after(expected_s, race.start_queries_if_silent)
    try:
        return _start(ctx, race)
    except _ResolvedByQuery:
        return race.outcome
    finally:
        race.start_done = True
        timer.cancel()
        race.stop_queries()


def _start(ctx, race):
    try:
        result = ctx.protocol.start(ctx.address, ctx.attempt, timeout_s=ctx.remaining_s())
        race.start_done = True
    except NotStarted as exc:
        race.start_done = True
        return NotRun(exc.reason, exc.free_slots)
    except MaybeStarted as exc:
        race.start_done = True
        return _resolve_broken_start(ctx, race, exc.cause)
    if _matches_attempt(ctx, result):
        # The result is stronger evidence than the answer to a query that came just before it.
        ctx.counts["late_answers"] += race.outcome is not None
        return Finished(result)
    return _resolve_broken_start(ctx, race, "crossed")


def _resolve_broken_start(ctx, race, cause):
    ctx.counts[f"broken_{cause}"] += 1
    if race.query_greenlet is not None:
        return race.query_greenlet.wait()
    return _query_until_resolved(ctx, FailedPhase.BROKEN)


def _matches_attempt(ctx, result):
    """Return whether a result belongs to this attempt; a crossed answer belongs to another."""
    own = (ctx.attempt.attempt_id, ctx.attempt.task_id)
    if (result.attempt_id, result.task_id) == own:
        return True
    ctx.counts["crossed_answers"] += 1
    log.warning("crossed_answer", address=ctx.address, expected=own, got=result.task_id)
    return False


def _query_until_resolved(ctx, phase):
    """Query with backoff until an answer resolves the attempt or the deadline has passed."""
    unanswered_queries = 0
    last_phase = phase
    while ACTIONS[phase] is Action.QUERY_STATUS:
        if phase is FailedPhase.QUERY_SILENT:
            delay_s = backoff_s(unanswered_queries, ctx.rng)
            eventlet.sleep(max(0.0, min(delay_s, ctx.remaining_s())))
            unanswered_queries += 1
        last_phase = phase
        if ctx.remaining_s() <= 0:
            phase = FailedPhase.DEADLINE
            break
        phase, result = _query_once(ctx)
        if result is not None:
            return Finished(result)
    if ACTIONS[phase] is Action.RETRY_ELSEWHERE:
        return NotRun(phase.value)
    return Unknown(phase.value, last_phase.value)


def _query_once(ctx):
    """Query the status once; return the phase, and the result if the attempt has finished."""
    ctx.counts["asks"] += 1
    remaining_s = ctx.remaining_s()
    wait_s = min(QUERY_WAIT_S, remaining_s)
    timeout_s = min(wait_s + QUERY_TIMEOUT_S, remaining_s)
    try:
        state = ctx.protocol.query_attempt(
            ctx.address, ctx.attempt.attempt_id, timeout_s=timeout_s, wait_s=wait_s
        )
    except EndpointUnresponsive:
        return FailedPhase.QUERY_SILENT, None
    if state.phase is AttemptPhase.FINISHED and not _matches_attempt(ctx, state.result):
        return FailedPhase.QUERY_SILENT, None
    return phase_of_state(state, ctx.now() - ctx.sent_s), state.result
