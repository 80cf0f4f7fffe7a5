"""Estimate of an endpoint's monotonic clock from its answers."""

__all__ = ["EndpointClock"]


class EndpointClock:
    """Extrapolates the time of an endpoint from its last answer.

    Parameters
    ----------
    now : callable
        Returns the monotonic time of this process in seconds.

    Attributes
    ----------
    last_ms : int
        Time of the endpoint in its last answer, in milliseconds.

    Examples
    --------
    >>> seconds = [7.0]
    >>> clock = EndpointClock(lambda: seconds[0])
    >>> clock.update(50_000)
    >>> seconds[0] += 0.25
    >>> clock.now_ms()
    50250
    """

    def __init__(self, now):
        self.last_ms = 0
        self._now = now
        self._updated_s = 0.0

    def update(self, clock_ms):
        """Set the endpoint's current time, in milliseconds."""
        self.last_ms, self._updated_s = clock_ms, self._now()

    def now_ms(self):
        """Return the endpoint's estimated current time, in milliseconds."""
        return self.last_ms + int((self._now() - self._updated_s) * 1000)
