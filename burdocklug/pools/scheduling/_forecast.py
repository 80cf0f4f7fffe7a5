"""Forecast of when tasks that do not fit now can start, from the expected ends of runs."""

__all__ = ["CapacityForecast", "expected_ends"]

# Assumed wait for a slot if no task runs; endpoints that missed a report are back by then or gone.
EMPTY_POOL_WAIT_S = 0.3


class CapacityForecast:
    """Forecasts and reserves the slots that running tasks will free, the earliest first.

    The end of each run frees one slot, as tasks of one service are of similar size.

    Parameters
    ----------
    now_s : float
        The current time.
    ends_s : iterable of float
        Expected ends of active runs; read only when a slot that is not free is requested.

    Examples
    --------
    >>> forecast = CapacityForecast(10.0, [10.4, 10.1])
    >>> forecast.start_s(1), forecast.start_s(2)
    (10.1, 10.4)
    >>> forecast.reserve(1)
    >>> forecast.start_s(1)
    10.4
    >>> round(forecast.start_s(2), 2)  # second use of the slot that becomes free at 10.1
    10.6
    """

    def __init__(self, now_s, ends_s):
        self._now_s = now_s
        self._unsorted_ends_s = ends_s
        self._sorted_ends_s = None
        self._reserved = 0

    @property
    def _ends_s(self):
        if self._sorted_ends_s is None:
            self._sorted_ends_s = sorted(max(end_s, self._now_s) for end_s in self._unsorted_ends_s)
        return self._sorted_ends_s

    def start_s(self, count):
        """Return the time at which the last of `count` further tasks can start."""
        if count <= 0:
            return self._now_s
        number = self._reserved + count - 1
        slots = len(self._ends_s)
        if not slots:
            return self._now_s + EMPTY_POOL_WAIT_S
        rounds, slot = divmod(number, slots)
        round_s = 2 * (sum(self._ends_s) / slots - self._now_s)
        return self._ends_s[slot] + rounds * round_s

    def reserve(self, count):
        """Reserve the next `count` slots."""
        self._reserved += count


def expected_ends(runs, now_s, expected_end_s):
    """Yield the expected ends of active runs.

    Parameters
    ----------
    runs : iterable of tuple
        Pairs of a `Task` and the `PoolEndpoint` where it runs.
    now_s : float
        The current time.
    expected_end_s : callable
        Takes a task, its endpoint and the current time, and returns when its run should end.
    """
    for task, endpoint in runs:
        yield expected_end_s(task, endpoint, now_s)
