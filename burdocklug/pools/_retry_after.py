"""Bounds of the retry delay that refused jobs are given."""

__all__ = ["MAX_RETRY_S", "MIN_RETRY_S", "bounded_retry_s"]

# Retries come from the second half of a burst of load to about its end.
MIN_RETRY_S, MAX_RETRY_S = 1.0, 4.0


def bounded_retry_s(seconds):
    """Return a retry delay clamped to `MIN_RETRY_S` and `MAX_RETRY_S`.

    Examples
    --------
    >>> bounded_retry_s(0.2), bounded_retry_s(2.5), bounded_retry_s(60.0)
    (1.0, 2.5, 4.0)
    """
    return min(max(MIN_RETRY_S, seconds), MAX_RETRY_S)
