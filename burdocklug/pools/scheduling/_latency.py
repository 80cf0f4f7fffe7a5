"""Latency histograms by label."""

import bisect
from collections import Counter

__all__ = ["BUCKET_BOUNDS_S", "LatencyCounts", "merge_counts"]

BUCKET_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)  # upper bounds of the buckets


class LatencyCounts:
    """A latency histogram with fixed buckets for each label.

    Examples
    --------
    >>> latencies = LatencyCounts()
    >>> for seconds in (0.07, 0.3, 9.0):
    ...     latencies.add("checks", seconds)
    >>> latencies.counts()["checks"]["le_0.4"], latencies.counts()["checks"]["count"]
    (2, 3)
    """

    def __init__(self):
        self._buckets = {}

    def add(self, label, seconds):
        """Add one latency to the histogram of a label."""
        buckets = self._buckets.setdefault(label, Counter())
        buckets[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1

    def counts(self):
        """Return the cumulative bucket counts and the total count by label, as plain data."""
        shown = {}
        for label, buckets in self._buckets.items():
            up_to = {
                f"le_{bound:g}": sum(buckets[n] for n in range(number + 1))
                for number, bound in enumerate(BUCKET_BOUNDS_S)
            }
            shown[label] = {**up_to, "count": sum(buckets.values())}
        return shown


def merge_counts(parts):
    """Return the sums of several results of `LatencyCounts.counts`, by label.

    Examples
    --------
    >>> merge_counts([{"checks": {"count": 2}}, {"checks": {"count": 1}, "plans": {"count": 4}}])
    {'checks': {'count': 3}, 'plans': {'count': 4}}
    """
    merged = {}
    for part in parts:
        for label, counts in part.items():
            merged.setdefault(label, Counter()).update(counts)
    return {label: dict(counts) for label, counts in merged.items()}
