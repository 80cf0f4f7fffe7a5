"""Return times of refused callers, spread over the room that becomes free.

Callers that are refused together and told the same delay come back together and are refused again.
Each refused job therefore books the first interval whose room is not given away yet, as Breakwater
(Cho et al. 2020) does with credits, but ahead of time.
"""

import math
from collections import OrderedDict

__all__ = ["Returns"]

INTERVAL_S = 0.25  # width of the intervals in which returns are booked
MAX_SPREAD_S = 3.0  # time after the earliest return within which all returns are booked
# Share of the rate of ends that returns may book; new jobs get the rest.
RETURNS_SHARE = 0.5
RATE_WINDOW_S = 1.0  # time constant of the rate of ends
MIN_ENDS_PER_S = 10.0  # lower bound of that rate, so that an empty pool books something
EARLY_S = 0.2  # a job that returns this much before its time is taken as punctual
KEPT_S = 3.0  # time for which a returning job is preferred after its return time
MAX_PROMISES = 4096  # bound on memory; the oldest are dropped


class Returns:
    """Books the returns of refused jobs, and recognizes jobs that return at their time.

    Examples
    --------
    >>> returns = Returns()
    >>> [returns.book("a", 5, 10.0, earliest_s=1.0), returns.book("b", 5, 10.0, earliest_s=1.0)]
    [1.0, 1.25]
    >>> returns.has_returned("a", 10.5), returns.has_returned("a", 11.0)
    (False, True)
    """

    def __init__(self):
        self._booked = {}  # tasks by number of the interval
        self._promises = OrderedDict()  # return time by job id
        self._ends_per_s = 0.0
        self._updated_s = 0.0
        self.kept = 0

    def note_end(self, now_s):
        """Count the end of a run, which frees a slot."""
        self._decay(now_s)
        self._ends_per_s += 1.0 / RATE_WINDOW_S

    def book(self, job_id, tasks, now_s, *, earliest_s):
        """Book the return of a refused job, and return the delay to tell its caller, in seconds.

        Parameters
        ----------
        job_id : str
            The job.
        tasks : int
            Number of its tasks.
        now_s, earliest_s : float
            The current time, and the shortest delay.
        """
        self._decay(now_s)
        self._forget(now_s)
        room = INTERVAL_S * RETURNS_SHARE * max(self._ends_per_s, MIN_ENDS_PER_S)
        first = math.ceil((now_s + earliest_s) / INTERVAL_S)
        numbers = range(first, first + int(MAX_SPREAD_S / INTERVAL_S) + 1)
        free = (n for n in numbers if not self._booked.get(n) or self._booked[n] + tasks <= room)
        number = next(free, None)
        if number is None:
            number = min(numbers, key=lambda n: self._booked[n])
        self._booked[number] = self._booked.get(number, 0) + tasks
        self._promises[job_id] = number * INTERVAL_S
        self._promises.move_to_end(job_id)
        if len(self._promises) > MAX_PROMISES:
            self._promises.popitem(last=False)
        return number * INTERVAL_S - now_s

    def has_returned(self, job_id, now_s):
        """Return whether a job was refused here and comes back at the time that it was told."""
        return_s = self._promises.get(job_id)
        return return_s is not None and return_s - EARLY_S <= now_s <= return_s + KEPT_S

    def take_returned(self, job_id, now_s):
        """Return what `has_returned` does, and use the promise up if it is kept."""
        if not self.has_returned(job_id, now_s):
            return False
        del self._promises[job_id]
        self.kept += 1
        return True

    def dump(self, now_s):
        """Return the booked tasks by seconds from now, and how many returns are expected."""
        booked = {
            round(n * INTERVAL_S - now_s, 2): tasks for n, tasks in sorted(self._booked.items())
        }
        return {"booked": booked, "expected": len(self._promises), "returned": self.kept}

    def _forget(self, now_s):
        past = math.floor(now_s / INTERVAL_S)
        for number in [n for n in self._booked if n < past]:
            del self._booked[number]
        for job_id, return_s in list(self._promises.items())[:8]:
            if return_s + KEPT_S < now_s:
                del self._promises[job_id]

    def _decay(self, now_s):
        passed_s = max(0.0, now_s - self._updated_s)
        self._ends_per_s *= math.exp(-passed_s / RATE_WINDOW_S)
        self._updated_s = now_s
