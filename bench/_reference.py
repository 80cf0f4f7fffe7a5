"""A fixed piece of work, so that figures of a shared machine can be compared.

Processor time of the same code differs by a factor of two on a machine that others use, since cores
share units and clock. Figures relative to this work, run in the same second, differ less.
"""

import statistics
import time

__all__ = ["REFERENCE_S", "reference_s", "scaled_median"]

REFERENCE_S = 0.02  # figures are scaled to a machine that needs so long
REPEATS = 15_000


class _Pair:
    __slots__ = ("first", "second")

    def __init__(self, first, second):
        self.first = first
        self.second = second


def reference_s():
    """Return the processor time of the reference work, in seconds."""
    began_s = time.process_time()
    pairs = {}
    for number in range(REPEATS):
        pair = _Pair(number, str(number))
        pairs[pair.second] = pair
        text = f"{number}/{pairs.pop(pair.second).first}"
        text.encode().find(b"/")
    return time.process_time() - began_s


def scaled_median(measure, slices):
    """Return the median of a measurement, each slice scaled by the reference work around it.

    Parameters
    ----------
    measure : callable
        Takes the number of the slice and returns a processor time.
    slices : int
        Number of measurements.
    """
    values = []
    for number in range(slices):
        before_s = reference_s()
        value = measure(number)
        values.append(value * REFERENCE_S / ((before_s + reference_s()) / 2))
    return statistics.median(values)
