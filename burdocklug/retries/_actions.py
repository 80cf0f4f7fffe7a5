"""Decisions on a failed attempt: its phase, the action that follows, and the retry backoff."""

import enum

from burdocklug.endpoints import AttemptPhase

__all__ = ["ACTIONS", "Action", "FailedPhase", "backoff_s", "phase_of_state"]

BACKOFF_BASE_S = 0.02  # upper bound of the first delay
BACKOFF_CAP_S = 1.0  # upper bound of every delay
MAX_DOUBLINGS = 16  # keeps the power of 2 finite as a float


class FailedPhase(enum.StrEnum):
    """The phase in which an attempt failed to yield a result."""

    REFUSED = "refused"  # no connection was made and nothing was sent
    FULL = "full"  # the endpoint had no free slot
    LEAVING = "leaving"  # the endpoint accepts no new tasks
    FENCED = "fenced"  # the endpoint has been told never to start the attempt
    SILENT = "silent"  # sent, but not answered in the expected time
    BROKEN = "broken"  # sent, but the answer was incomplete or invalid
    QUERY_SILENT = "ask_silent"  # no valid answer to a status query
    QUERY_RUNNING = "ask_running"  # the endpoint is running the attempt
    QUERY_NOT_STARTED = "ask_not_started"  # the endpoint had not received the attempt and fenced it
    QUERY_FORGOTTEN = "ask_forgotten"  # the endpoint restarted since the attempt was sent
    DEADLINE = "deadline"  # sent, and still unresolved at the deadline
    TASK_FAILED = "task_failed"  # the task ran and failed


class Action(enum.StrEnum):
    """The action that follows a failed phase."""

    RETRY_ELSEWHERE = "retry_elsewhere"  # as a new attempt, within the retry budget
    QUERY_STATUS = "ask"  # query the status on a new connection; never send the attempt again
    FAIL_UNKNOWN = "fail_unknown"  # the job fails, and whether the task ran is unknown
    FAIL = "fail"  # the job fails; the task ran


ACTIONS: dict[FailedPhase, Action] = {
    FailedPhase.REFUSED: Action.RETRY_ELSEWHERE,
    FailedPhase.FULL: Action.RETRY_ELSEWHERE,
    FailedPhase.LEAVING: Action.RETRY_ELSEWHERE,
    FailedPhase.FENCED: Action.RETRY_ELSEWHERE,
    FailedPhase.SILENT: Action.QUERY_STATUS,
    FailedPhase.BROKEN: Action.QUERY_STATUS,
    FailedPhase.QUERY_SILENT: Action.QUERY_STATUS,
    FailedPhase.QUERY_RUNNING: Action.QUERY_STATUS,
    FailedPhase.QUERY_NOT_STARTED: Action.RETRY_ELSEWHERE,
    FailedPhase.QUERY_FORGOTTEN: Action.FAIL_UNKNOWN,
    FailedPhase.DEADLINE: Action.FAIL_UNKNOWN,
    FailedPhase.TASK_FAILED: Action.FAIL,
}


def phase_of_state(state, elapsed_s):
    """Return the phase that an endpoint's answer to a status query implies.

    Parameters
    ----------
    state : AttemptState
        Answer to the status query.
    elapsed_s : float
        Time from before the attempt was sent until after the answer was read, in seconds.

    Returns
    -------
    FailedPhase or None
        None for a finished attempt whose task succeeded.

    Notes
    -----
    An endpoint that restarted after the attempt was sent has no record of it, but may have run it.

    Examples
    --------
    >>> from burdocklug.endpoints import AttemptState
    >>> state = AttemptState(AttemptPhase.NOT_STARTED, None, history_s=3.0)
    >>> phase_of_state(state, 2.0).value, phase_of_state(state, 4.0).value
    ('ask_not_started', 'ask_forgotten')
    """
    if state.phase is AttemptPhase.RUNNING:
        return FailedPhase.QUERY_RUNNING
    if state.phase is AttemptPhase.FINISHED:
        return None if state.result.ok else FailedPhase.TASK_FAILED
    if state.history_s < elapsed_s:
        return FailedPhase.QUERY_FORGOTTEN
    return FailedPhase.QUERY_NOT_STARTED


def backoff_s(attempt, rng, *, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S):
    """Return a random delay with exponential growth and full jitter, in seconds.

    Parameters
    ----------
    attempt : int
        Index of the delay, from 0 for the first one.
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
