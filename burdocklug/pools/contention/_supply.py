"""The slots that become free for waiting jobs, from free slots and the expected ends of runs."""

from bisect import bisect_right
from itertools import accumulate

__all__ = ["MIN_RUN_S", "Supply"]

MIN_RUN_S = 0.01  # lower bound of a mean run time, which is a divisor


class Supply:
    """Openings, times at which a task can start in a slot, within a time from now.

    Each slot opens when its run ends, and again after each further run of mean length.

    Parameters
    ----------
    now_s : float
        The current time.
    free : int
        Slots that are free now.
    ends_s : iterable of float
        Expected ends of the active runs.

    Attributes
    ----------
    built_s : float
        The time for which it was built.
    started : int
        Number of tasks that have started since.

    Examples
    --------
    >>> supply = Supply(10.0, 2, [10.1, 10.3])
    >>> [round(supply.openings(until_s, mean_run_s=0.4), 2) for until_s in (10.0, 10.1, 10.3)]
    [2.0, 3.0, 4.5]
    >>> supply.note_start()
    >>> round(supply.openings(10.1, mean_run_s=0.4), 2)
    2.0
    """

    def __init__(self, now_s, free, ends_s):
        self.built_s = now_s
        self.started = 0
        self._opens_s = [now_s] * free + sorted(max(end_s, now_s) for end_s in ends_s)
        self._sums_s = [0.0, *accumulate(self._opens_s)]

    def note_start(self):
        """Count a task that has started since, and took an opening."""
        self.started += 1

    def openings(self, until_s, *, mean_run_s):
        """Return how many tasks of a mean length can start in the slots up to a time."""
        mean_run_s = max(mean_run_s, MIN_RUN_S)
        first = bisect_right(self._opens_s, until_s)
        # A run that began in a slot is on average half done within half of its length.
        repeat_until_s = until_s - mean_run_s / 2
        again = bisect_right(self._opens_s, repeat_until_s)
        spare_s = again * repeat_until_s - self._sums_s[again]
        return first + spare_s / mean_run_s - self.started
