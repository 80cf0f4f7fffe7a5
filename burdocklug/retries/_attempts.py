"""Runs one attempt to its one outcome: sends once, asks when silent, never sends again."""

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
    EndpointSilent,
    MaybeStarted,
    NotStarted,
    Outcome,
    OutcomeKind,
)
from burdocklug.retries._actions import ACTIONS, Action, FailedPhase, backoff_s, phase_of_state

__all__ = ["Finished", "NotRun", "Unknown", "health_outcome", "run_attempt"]

ASK_WAIT_S = 1.0  # the endpoint holds a question about a running attempt for so long
ASK_TIMEOUT_S = 1.0  # for connection and answer, on top of the wait
ANSWER_GRACE_S = 0.005  # the first answer may be right behind the answer to a question

log = structlog.get_logger(__name__)


class Finished(msgspec.Struct, frozen=True):
    """The task ran; `result` tells whether it succeeded."""

    result: AttemptResult


class NotRun(msgspec.Struct, frozen=True):
    """The task was not started by this attempt and won't be.

    Parameters
    ----------
    reason : str
        Value of the `FailedPhase`.
    free_slots : int or None
        Free slots of the endpoint where it told them.
    """

    reason: str
    free_slots: int | None = None


class Unknown(msgspec.Struct, frozen=True):
    """Whether the task ran can't be known before the caller gives up.

    Parameters
    ----------
    why : str
        Value of the `FailedPhase`.
    last_phase : str
        Value of the `FailedPhase` before the deadline: `ask_running` for a straggler.
    """

    why: str
    last_phase: str = ""


def health_outcome(outcome, expected_s, *, job=""):
    """Return what an attempt's outcome shows of its endpoint, or None for nothing.

    Parameters
    ----------
    outcome : Finished or NotRun or Unknown
        The attempt's outcome; a cancelled attempt shows nothing and isn't to be passed.
    expected_s : float
        Expected run time of the task in seconds.
    job : str, optional
        Key of the task's job, by which failures are told apart.

    Returns
    -------
    Outcome or None
        To be noted by `EndpointHealth`.

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
        case Unknown(FailedPhase.DEADLINE, FailedPhase.ASK_SILENT):
            return Outcome(OutcomeKind.SILENT)
    return None


class _Resolved(BaseException):
    """Ends a start whose outcome a question has found out."""


class _Race:
    """One attempt: its start in this greenlet, and the questions about it in another.

    Parameters
    ----------
    run : _Run
        The attempt and everything around it.
    """

    def __init__(self, run):
        self.run = run
        self.starter = eventlet.getcurrent()
        self.started = False  # the start has returned or raised
        self.outcome = None
        self.asker = None

    def ask_when_silent(self):
        """Begin to ask; called by the loop when the expected time has passed."""
        if not self.started:
            self.run.counts["silent_starts"] += 1
            self.asker = eventlet.spawn(self._resolve)

    def _resolve(self):
        outcome = _ask_until_settled(self.run, FailedPhase.SILENT)
        if isinstance(outcome, Finished) and not self.started:
            eventlet.sleep(ANSWER_GRACE_S)
        if self.started:
            return outcome
        self.outcome = outcome
        if not isinstance(outcome, Unknown):
            self.run.protocol.retire(self.run.address)
            self.run.counts["silent_links"] += 1
        eventlet.hubs.get_hub().schedule_call_global(0, self._end_start)
        return outcome

    def _end_start(self):
        if not self.started:
            self.starter.throw(_Resolved())

    def stop(self):
        """End the questions."""
        if self.asker is not None and not self.asker.dead:
            self.asker.kill()


@dataclass(slots=True)
class _Run:
    """The attempt, where it goes, and the clock and counters of its run."""

    protocol: object
    address: str
    attempt: object
    deadline_s: float
    sent_s: float
    now: object
    rng: object
    counts: object

    def left_s(self):
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
    """Run one attempt and return its only outcome.

    Parameters
    ----------
    protocol : EndpointProtocol
        How to reach the endpoint.
    address : str
        The endpoint.
    attempt : Attempt
        What to run; sent once and never again.
    deadline_s : float
        Time, by the clock `now`, at which the caller gives up.
    expected_s : float
        Seconds after which a silent attempt is asked after on a new connection.
    counts : collections.Counter
        Receives `silent_starts`, `silent_links`, `asks`, `crossed_answers`, `late_answers`,
        and `broken_<cause>`.
    now : callable, optional
        Returns monotonic seconds.
    rng : random.Random, optional
        Source of the backoff's jitter.
    timers : CoarseTimers, optional
        Begin to ask; the loop's own timers by default.

    Returns
    -------
    Finished or NotRun or Unknown
        One outcome; every other answer to the same attempt is dropped.

    Notes
    -----
    Only `NotRun` allows that the task is sent again, as a new attempt.
    """
    sent_s = now()
    run = _Run(protocol, address, attempt, deadline_s, sent_s, now, rng, counts)
    if run.left_s() <= 0:
        return NotRun(FailedPhase.DEADLINE.value)
    race = _Race(run)
    after = eventlet.hubs.get_hub().schedule_call_global if timers is None else timers.after
    timer = after(expected_s, race.ask_when_silent)
    try:
        return _start(run, race)
    except _Resolved:
        return race.outcome
    finally:
        race.started = True
        timer.cancel()
        race.stop()


def _start(run, race):
    try:
        result = run.protocol.start(run.address, run.attempt, timeout_s=run.left_s())
        race.started = True
    except NotStarted as exc:
        race.started = True
        return NotRun(exc.reason, exc.free_slots)
    except MaybeStarted as exc:
        race.started = True
        return _after_broken_start(run, race, exc.cause)
    if _is_own(run, result):
        # The result proves more than the answer to a question that came just before it.
        run.counts["late_answers"] += race.outcome is not None
        return Finished(result)
    return _after_broken_start(run, race, "crossed")


def _after_broken_start(run, race, cause):
    run.counts[f"broken_{cause}"] += 1
    if race.asker is not None:
        return race.asker.wait()
    return _ask_until_settled(run, FailedPhase.BROKEN)


def _is_own(run, result):
    own = (run.attempt.attempt_id, run.attempt.task_id)
    if (result.attempt_id, result.task_id) == own:
        return True
    run.counts["crossed_answers"] += 1
    log.warning("crossed_answer", address=run.address, expected=own, got=result.task_id)
    return False


def _ask_until_settled(run, phase):
    """Ask with backoff until an answer settles the attempt or the deadline has passed."""
    silent_asks = 0
    last_phase = phase
    while ACTIONS[phase] is Action.ASK:
        if phase is FailedPhase.ASK_SILENT:
            delay_s = backoff_s(silent_asks, run.rng)
            eventlet.sleep(max(0.0, min(delay_s, run.left_s())))
            silent_asks += 1
        last_phase = phase
        if run.left_s() <= 0:
            phase = FailedPhase.DEADLINE
            break
        phase, result = _ask(run)
        if result is not None:
            return Finished(result)
    if ACTIONS[phase] is Action.RETRY_ELSEWHERE:
        return NotRun(phase.value)
    return Unknown(phase.value, last_phase.value)


def _ask(run):
    """Ask once and return the phase and, of a finished attempt, the result."""
    run.counts["asks"] += 1
    left_s = run.left_s()
    wait_s = min(ASK_WAIT_S, left_s)
    timeout_s = min(wait_s + ASK_TIMEOUT_S, left_s)
    try:
        state = run.protocol.ask(
            run.address, run.attempt.attempt_id, timeout_s=timeout_s, wait_s=wait_s
        )
    except EndpointSilent:
        return FailedPhase.ASK_SILENT, None
    if state.phase is AttemptPhase.FINISHED and not _is_own(run, state.result):
        return FailedPhase.ASK_SILENT, None
    return phase_of_state(state, run.now() - run.sent_s), state.result
