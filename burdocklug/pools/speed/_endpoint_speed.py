"""The speed of one endpoint, estimated from its runs."""

from burdocklug.pools.speed._bins import BINS_PER_OCTAVE, bin_of, density, interpolated_quantile

__all__ = ["EndpointSpeed", "SLOW_FACTOR"]

SLOW_FACTOR = 2.25  # multiple of the median slowness; sound endpoints differ by 0.6 to 1.6
FIRST_BIN, LAST_BIN = -2 * BINS_PER_OCTAVE, 4 * BINS_PER_OCTAVE  # slowness from 1/4 to 16
# What is assumed of an endpoint without runs: most are alike, some of another kind, few are slow.
PRIOR_PARTS = ((0.85, 0.15), (0.12, 0.5))  # share and spread
PRIOR_SLOW_SHARE = 0.03
CHANGE_SHARE = 0.05  # probability that an endpoint's speed has changed between two runs
IDLE_CHANGE_SHARE = 0.2  # the same in a second without runs


def _prior_shares():
    shares = [0.0] * (LAST_BIN - FIRST_BIN + 1)
    for part, spread in PRIOR_PARTS:
        for index, value in enumerate(density(FIRST_BIN, LAST_BIN, spread)):
            shares[index] += part * value
    slow = range(bin_of(SLOW_FACTOR) - FIRST_BIN, len(shares))
    for index in slow:
        shares[index] += PRIOR_SLOW_SHARE / len(slow)
    return shares


PRIOR_SHARES = _prior_shares()
PRIOR_MEDIAN = interpolated_quantile(PRIOR_SHARES, 0.5 * sum(PRIOR_SHARES), FIRST_BIN)


class EndpointSpeed:
    """Probabilities of an endpoint's slowness, updated with each run.

    Attributes
    ----------
    slowness : float
        Median of the slowness, the run time as a multiple of that on usual endpoints.
    held : list
        Long runs whose cause is not known yet: pairs of the queue's times and the ratio.
    """

    __slots__ = ("held", "slowness", "_shares")

    def __init__(self):
        self.slowness = 1.0
        self.held = []
        self._shares = PRIOR_SHARES

    def add(self, ratio, times):
        """Update the probabilities with one run.

        Parameters
        ----------
        ratio : float
            Real run time over estimate.
        times : QueueTimes
            What the run's queue takes on usual endpoints.
        """
        likelihoods = times.likelihoods(ratio, FIRST_BIN, LAST_BIN)
        products = [share * value for share, value in zip(self._shares, likelihoods, strict=True)]
        self._mix((1 - CHANGE_SHARE) / sum(products), products, CHANGE_SHARE)

    def forget(self):
        """Move the probabilities of an idle endpoint towards those of one without runs."""
        self._mix(1 - IDLE_CHANGE_SHARE, self._shares, IDLE_CHANGE_SHARE)

    def _mix(self, factor, shares, prior_factor):
        self._shares = [
            factor * share + prior_factor * prior
            for share, prior in zip(shares, PRIOR_SHARES, strict=True)
        ]
        median = interpolated_quantile(self._shares, 0.5, FIRST_BIN)
        self.slowness = round(median / PRIOR_MEDIAN, 3)
