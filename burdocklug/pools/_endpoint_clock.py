"""The steady clock of an endpoint, as far as its answers tell it."""

__all__ = ["EndpointClock"]


class EndpointClock:
    """Goes on from the last time that an endpoint has told.

    Parameters
    ----------
    now : callable
        Returns monotonic seconds of this process.

    Attributes
    ----------
    noted_ms : int
        The last time that was told, in milliseconds.

    Examples
    --------
    >>> seconds = [7.0]
    >>> clock = EndpointClock(lambda: seconds[0])
    >>> clock.note(50_000)
    >>> seconds[0] += 0.25
    >>> clock.now_ms()
    50250
    """

    def __init__(self, now):
        self.noted_ms = 0
        self._now = now
        self._noted_s = 0.0

    def note(self, clock_ms):
        """Take in the endpoint's time, in milliseconds."""
        self.noted_ms, self._noted_s = clock_ms, self._now()

    def now_ms(self):
        """Return the endpoint's time now, in milliseconds."""
        return self.noted_ms + int((self._now() - self._noted_s) * 1000)
