"""The table from failed phase to action, and the pure rules around it."""

import enum

from burdocklug.endpoints import AttemptPhase

__all__ = ["ACTIONS", "Action", "FailedPhase", "backoff_s", "phase_of_state"]

BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0
MAX_DOUBLINGS = 16


class FailedPhase(enum.StrEnum):
    """Where an attempt failed to give its result."""

    REFUSED = "refused"  # no connection, nothing was sent
    FULL = "full"  # the endpoint had no free slot
    LEAVING = "leaving"  # the endpoint takes no new tasks
    FENCED = "fenced"  # the endpoint was told never to start the attempt
    SILENT = "silent"  # sent, no answer in the expected time
    BROKEN = "broken"  # sent, then no whole valid answer
    ASK_SILENT = "ask_silent"  # no valid answer to a question
    ASK_RUNNING = "ask_running"  # the endpoint runs it
    ASK_NOT_STARTED = "ask_not_started"  # the endpoint never saw it and fenced it
    ASK_FORGOTTEN = "ask_forgotten"  # the endpoint restarted since the attempt was sent
    DEADLINE = "deadline"  # sent, unresolved when the caller gives up
    TASK_FAILED = "task_failed"  # it ran and failed


class Action(enum.StrEnum):
    """What to do about a failed phase."""

    RETRY_ELSEWHERE = "retry_elsewhere"  # within the retry budget, as a new attempt
    ASK = "ask"  # on a new connection, never send again
    FAIL_UNKNOWN = "fail_unknown"  # the job fails, the outcome is unknown
    FAIL = "fail"  # the job fails, the task ran


ACTIONS: dict[FailedPhase, Action] = {
    FailedPhase.REFUSED: Action.RETRY_ELSEWHERE,
    FailedPhase.FULL: Action.RETRY_ELSEWHERE,
    FailedPhase.LEAVING: Action.RETRY_ELSEWHERE,
    FailedPhase.FENCED: Action.RETRY_ELSEWHERE,
    FailedPhase.SILENT: Action.ASK,
    FailedPhase.BROKEN: Action.ASK,
    FailedPhase.ASK_SILENT: Action.ASK,
    FailedPhase.ASK_RUNNING: Action.ASK,
    FailedPhase.ASK_NOT_STARTED: Action.RETRY_ELSEWHERE,
    FailedPhase.ASK_FORGOTTEN: Action.FAIL_UNKNOWN,
    FailedPhase.DEADLINE: Action.FAIL_UNKNOWN,
    FailedPhase.TASK_FAILED: Action.FAIL,
}


def phase_of_state(state, elapsed_s):
    """Return the phase that an endpoint's answer to a question proves.

    Parameters
    ----------
    state : AttemptState
        The endpoint's answer.
    elapsed_s : float
        Seconds from before the attempt was sent until after the answer was read.

    Returns
    -------
    FailedPhase or None
        None for a finished attempt whose task succeeded.

    Notes
    -----
    An endpoint that lost its memory since the attempt was sent may have run it.

    Examples
    --------
    >>> from burdocklug.endpoints import AttemptState
    >>> state = AttemptState(AttemptPhase.NOT_STARTED, None, memory_s=3.0)
    >>> phase_of_state(state, 2.0).value, phase_of_state(state, 4.0).value
    ('ask_not_started', 'ask_forgotten')
    """
    if state.phase is AttemptPhase.RUNNING:
        return FailedPhase.ASK_RUNNING
    if state.phase is AttemptPhase.FINISHED:
        return None if state.result.ok else FailedPhase.TASK_FAILED
    if state.memory_s < elapsed_s:
        return FailedPhase.ASK_FORGOTTEN
    return FailedPhase.ASK_NOT_STARTED


def backoff_s(attempt, rng, *, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S):
    """Return a delay with exponential growth and full jitter.

    Parameters
    ----------
    attempt : int
        Number of failed tries so far, from 0.
    rng : random.Random
        Source of the jitter.
    base_s, cap_s : float
        Upper bound of the first delay and of every delay, in seconds.

    Examples
    --------
    >>> import random
    >>> 0 <= backoff_s(0, random.Random(1)) <= 0.02
    True
    """
    return rng.uniform(0.0, min(cap_s, base_s * 2 ** min(attempt, MAX_DOUBLINGS)))
