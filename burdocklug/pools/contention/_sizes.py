"""Sizes of jobs, as the tenth of the recent jobs of their queue that they belong to."""

from bisect import bisect_left
from collections import deque

__all__ = ["SizeTenths"]

SAMPLES = 200  # recent jobs of a queue by which sizes are classed
MIN_SAMPLES = 20  # below this, the sizes of a queue are not known
REFRESH_PERIOD = 20  # jobs after which the boundaries are computed again
MAX_QUEUES = 200  # bound on memory


class SizeTenths:
    """Classes jobs by their size within their queue.

    Examples
    --------
    >>> sizes = SizeTenths()
    >>> for work in range(100):
    ...     _ = sizes.add("checks", float(work))
    >>> sizes.add("checks", 99.0), sizes.add("checks", 1.0)
    ('9', '0')
    """

    def __init__(self):
        self._samples = {}
        self._boundaries = {}
        self._added = {}

    def add(self, queue, work):
        """Add a job's work and return its tenth, "0" to "9"; None while the sizes are not known."""
        samples = self._samples.get(queue)
        if samples is None:
            if len(self._samples) >= MAX_QUEUES:
                return None
            samples = self._samples[queue] = deque(maxlen=SAMPLES)
            self._added[queue] = 0
        samples.append(work)
        self._added[queue] += 1
        if len(samples) < MIN_SAMPLES:
            return None
        if queue not in self._boundaries or self._added[queue] % REFRESH_PERIOD == 0:
            ranked = sorted(samples)
            self._boundaries[queue] = [ranked[n * len(ranked) // 10] for n in range(1, 10)]
        return str(bisect_left(self._boundaries[queue], work))
