"""When tasks that find no room now can begin: a forecast from the runs under way."""

__all__ = ["RoomForecast", "expected_ends"]

NO_PLACE_S = 0.3  # endpoints that miss a report are back by then, or are gone
OVERDUE_S = 0.03  # a run that is over its expected time may end at any moment


class RoomForecast:
    """Hands out the places that running tasks leave, the earliest first.

    Each end gives room for one task, as tasks of one service are of like size.

    Parameters
    ----------
    now_s : float
        The time.
    ends_s : iterable of float
        Expected ends of the runs under way; not read before a place that isn't free is asked for.

    Examples
    --------
    >>> forecast = RoomForecast(10.0, [10.4, 10.1])
    >>> forecast.begin_s(1), forecast.begin_s(2)
    (10.1, 10.4)
    >>> forecast.take(1)
    >>> forecast.begin_s(1)
    10.4
    >>> round(forecast.begin_s(2), 2)  # the place that was free at 10.1 is free again
    10.6
    """

    def __init__(self, now_s, ends_s):
        self._now_s = now_s
        self._source = ends_s
        self._sorted = None
        self._taken = 0

    @property
    def _ends_s(self):
        if self._sorted is None:
            self._sorted = sorted(max(end_s, self._now_s) for end_s in self._source)
        return self._sorted

    def begin_s(self, count):
        """Return when the last of `count` further tasks can begin."""
        if count <= 0:
            return self._now_s
        number = self._taken + count - 1
        places = len(self._ends_s)
        if not places:
            return self._now_s + NO_PLACE_S
        rounds, place = divmod(number, places)
        round_s = 2 * (sum(self._ends_s) / places - self._now_s)
        return self._ends_s[place] + rounds * round_s

    def take(self, count):
        """Reserve the next `count` places."""
        self._taken += count


def expected_ends(runs, now_s, expected_s):
    """Yield the expected ends of runs.

    Parameters
    ----------
    runs : iterable of tuple
        Pairs of `Task` and the `EndpointRoom` where it runs.
    now_s : float
        The time.
    expected_s : callable
        Takes a pair's parts and returns the run time to expect, in seconds.
    """
    for task, room in runs:
        yield max(task.started_s + expected_s(task, room), now_s + OVERDUE_S)
