"""Real run times of a queue's tasks as multiples of their estimates."""

from burdocklug.pools.speed._bins import bin_of, density, exact_bin, interpolated_quantile

__all__ = ["FIRST_BIN", "QueueTimes"]

FIRST_BIN, LAST_BIN = -32, 40  # ratios from 1/256 to 1024; those beyond are counted at the edge
TAIL_FACTOR = 3.0  # multiple of the median from which a run belongs to the tail
# What is assumed of a queue without runs: errors of estimates, and tasks that take far longer.
PRIOR_SPREAD = 0.4
PRIOR_TAIL_SHARE = 0.05
PRIOR_TAIL_BINS = 16  # from `TAIL_FACTOR` on, which ends at about 50 times the estimate
PRIOR_RUNS = 30.0  # weight of that, in runs
MEMORY_RUNS = 1000  # a run counts a third after as many others
RATIO_PERIOD_RUNS = 4  # the median is computed anew after as many runs
MAX_WEIGHT = 1e9  # weights grow in place of the decay of all counts, and are scaled down then
FLOOR_SHARE = 1e-4  # least share of a bin, so that no run is impossible


def _prior_counts():
    tail_bin = bin_of(TAIL_FACTOR) - FIRST_BIN
    counts = density(FIRST_BIN, LAST_BIN, PRIOR_SPREAD)
    for index in range(tail_bin, tail_bin + PRIOR_TAIL_BINS):
        counts[index] += PRIOR_TAIL_SHARE / PRIOR_TAIL_BINS
    scale = PRIOR_RUNS / sum(counts)
    return [scale * count for count in counts]


PRIOR_COUNTS = _prior_counts()
PRIOR_MEDIAN = interpolated_quantile(PRIOR_COUNTS, 0.5 * PRIOR_RUNS, FIRST_BIN)


class QueueTimes:
    """Decaying histogram of real run time over estimate, on an endpoint of usual speed.

    Attributes
    ----------
    ratio : float
        Median of real run time over estimate; 1 before any run.
    runs : int
        Number of runs counted.

    Examples
    --------
    >>> times = QueueTimes()
    >>> for _ in range(300):
    ...     times.add(1.3)
    >>> round(times.ratio, 1), times.tail_share() < 0.02
    (1.3, True)
    """

    def __init__(self):
        self.ratio = 1.0
        self.runs = 0
        self._counts = list(PRIOR_COUNTS)
        self._total = PRIOR_RUNS
        self._weight = 1.0

    def add(self, ratio):
        """Count a run whose real time was a multiple of its estimate."""
        place = min(max(exact_bin(ratio), FIRST_BIN), LAST_BIN - 1) - FIRST_BIN
        index = int(place)
        self._weight *= 1 + 1 / MEMORY_RUNS
        self._counts[index] += (1 - place + index) * self._weight
        self._counts[index + 1] += (place - index) * self._weight
        self._total += self._weight
        self.runs += 1
        if self._weight > MAX_WEIGHT:
            self._counts = [count / self._weight for count in self._counts]
            self._total /= self._weight
            self._weight = 1.0
        if self.runs % RATIO_PERIOD_RUNS == 0:
            self.ratio = round(self.quantile(0.5) / PRIOR_MEDIAN, 3)

    def likelihoods(self, ratio, first, last):
        """Return how likely a run's ratio is at the speeds of bins, up to a common factor.

        Parameters
        ----------
        ratio : float
            Real run time over estimate.
        first, last : int
            First and last bin of the endpoint's slowness.
        """
        number = min(max(bin_of(ratio), FIRST_BIN + last + 1), LAST_BIN + first) - FIRST_BIN
        floor = FLOOR_SHARE * self._total
        return [count + floor for count in self._counts[number - first : number - last - 1 : -1]]

    def quantile(self, share):
        """Return the ratio of real run time to estimate below which a share of the runs lies."""
        return interpolated_quantile(self._counts, share * self._total, FIRST_BIN)

    def tail_share(self):
        """Return the share of runs that take `TAIL_FACTOR` times the median or longer."""
        index = min(bin_of(TAIL_FACTOR * self.ratio) - FIRST_BIN, len(self._counts))
        return sum(self._counts[index:]) / self._total
