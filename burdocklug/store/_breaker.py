"""Circuit breaker: rejects calls to a failing store and probes it with jittered backoff."""

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
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, slots=True)
class Breaker:
    """Immutable state of a circuit breaker.

    Parameters
    ----------
    state : BreakerState
        Closed: calls are allowed. Open: no call is allowed before `retry_at_s`. Half-open: one
        probe is in flight and no other call is allowed.
    failures : int
        Consecutive failures while closed.
    open_count : int
        Number of times the breaker opened since it was last closed.
    retry_at_s : float
        Time from which an open breaker allows one probe, in seconds.
    """

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    open_count: int = 0
    retry_at_s: float = 0.0


def backoff_s(open_count, jitter):
    """Return how long the breaker stays open, in seconds.

    Parameters
    ----------
    open_count : int
        Number of times the breaker opened since it was last closed, this time included.
    jitter : float
        Random number from 0 to 1. It spreads the backoff over half to one and a half times its
        nominal value, so that processes that failed together do not retry together.

    Examples
    --------
    >>> [backoff_s(open_count, 0.5) for open_count in (1, 2, 3, 10)]
    [0.25, 0.5, 1.0, 4.0]
    """
    nominal_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** min(open_count - 1, 16))
    return nominal_s * (0.5 + jitter)


def allows_call(breaker, now_s):
    """Return whether a call is allowed at `now_s`."""
    if breaker.state is BreakerState.OPEN:
        return now_s >= breaker.retry_at_s
    return breaker.state is BreakerState.CLOSED


def begin_call(breaker):
    """Return the breaker after an allowed call has started, and whether the call is a probe."""
    if breaker.state is BreakerState.CLOSED:
        return breaker, False
    return replace(breaker, state=BreakerState.HALF_OPEN), True


def end_call(breaker, *, is_probe, answered, now_s, jitter):
    """Return the breaker after a call has finished.

    Parameters
    ----------
    breaker : Breaker
        The breaker before the call finished.
    is_probe : bool
        Whether the call was the probe of a half-open breaker. Other calls started before the
        breaker opened; they are ignored unless it is closed.
    answered : bool
        Whether the store gave a valid response; a refusal such as a version mismatch is one.
    now_s : float
        Current time in seconds.
    jitter : float
        Random number from 0 to 1; see `backoff_s`.
    """
    if is_probe:
        return Breaker() if answered else _open(breaker, now_s, jitter)
    if breaker.state is not BreakerState.CLOSED:
        return breaker
    if answered:
        return replace(breaker, failures=0)
    failed = replace(breaker, failures=breaker.failures + 1)
    return _open(failed, now_s, jitter) if failed.failures >= FAILURES_TO_OPEN else failed


def _open(breaker, now_s, jitter):
    open_count = breaker.open_count + 1
    return Breaker(
        state=BreakerState.OPEN,
        open_count=open_count,
        retry_at_s=now_s + backoff_s(open_count, jitter),
    )
