"""Circuit breaker: stops calls to a failing store and tries again with jittered backoff."""

import enum
from dataclasses import dataclass, replace

__all__ = [
    "Breaker",
    "BreakerState",
    "allows_call",
    "backoff_s",
    "begin_call",
    "end_call",
]

FAILURES_TO_OPEN = 3
BASE_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0


class BreakerState(enum.StrEnum):
    """Whether calls go through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, slots=True)
class Breaker:
    """A circuit breaker at one moment.

    Parameters
    ----------
    state : BreakerState
        Closed: calls go. Open: none goes until `retry_at_s`. Half-open: one trial is under way.
    failures : int
        Consecutive failures while closed.
    opened : int
        Times it opened since it was last closed.
    retry_at_s : float
        Time from which an open breaker lets one trial through, seconds.
    """

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    opened: int = 0
    retry_at_s: float = 0.0


def backoff_s(opened, jitter):
    """Return how long the breaker stays open.

    Parameters
    ----------
    opened : int
        Times it opened since it was last closed, this one included.
    jitter : float
        Random number from 0 to 1; it spreads the wait over half to one and a half times the
        nominal one, so that processes which failed together do not come back together.

    Examples
    --------
    >>> [backoff_s(opened, 0.5) for opened in (1, 2, 3, 10)]
    [0.25, 0.5, 1.0, 4.0]
    """
    nominal_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** min(opened - 1, 16))
    return nominal_s * (0.5 + jitter)


def allows_call(breaker, now_s):
    """Return whether a call may go now."""
    if breaker.state is BreakerState.OPEN:
        return now_s >= breaker.retry_at_s
    return breaker.state is BreakerState.CLOSED


def begin_call(breaker):
    """Return the breaker after an allowed call has begun, and whether the call is the trial."""
    if breaker.state is BreakerState.CLOSED:
        return breaker, False
    return replace(breaker, state=BreakerState.HALF_OPEN), True


def end_call(breaker, *, trial, answered, now_s, jitter):
    """Return the breaker after a call has ended.

    Parameters
    ----------
    breaker : Breaker
        The breaker before.
    trial : bool
        Whether the call was the trial of a half-open breaker. Calls that began before the
        breaker opened change nothing once it is open.
    answered : bool
        Whether the store gave a valid answer, a refusal such as a version mismatch included.
    now_s : float
        Current time, seconds.
    jitter : float
        Random number from 0 to 1.
    """
    if trial:
        return Breaker() if answered else _open(breaker, now_s, jitter)
    if breaker.state is not BreakerState.CLOSED:
        return breaker
    if answered:
        return replace(breaker, failures=0)
    failed = replace(breaker, failures=breaker.failures + 1)
    return _open(failed, now_s, jitter) if failed.failures >= FAILURES_TO_OPEN else failed


def _open(breaker, now_s, jitter):
    opened = breaker.opened + 1
    return Breaker(
        state=BreakerState.OPEN, opened=opened, retry_at_s=now_s + backoff_s(opened, jitter)
    )
