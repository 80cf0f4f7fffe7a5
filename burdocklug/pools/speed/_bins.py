"""Logarithmic bins of ratios, shared by the estimates of endpoints and of queues."""

import math

__all__ = ["BINS_PER_OCTAVE", "bin_of", "density", "exact_bin", "interpolated_quantile"]

BINS_PER_OCTAVE = 4  # a bin is 19 % wide, less than the errors of estimates


def bin_of(ratio):
    """Return the number of the bin of a ratio; that of 1 is 0.

    Examples
    --------
    >>> bin_of(1.0), bin_of(2.0), bin_of(0.5)
    (0, 4, -4)
    """
    return round(exact_bin(ratio))


def exact_bin(ratio):
    """Return where a ratio lies among the centres of bins."""
    return BINS_PER_OCTAVE * math.log2(ratio)


def density(first, last, spread):
    """Return the shares of bins of a log-normal distribution around 1 with a given spread."""
    width = math.log(2) / BINS_PER_OCTAVE
    shares = [math.exp(-0.5 * (number * width / spread) ** 2) for number in range(first, last + 1)]
    total = sum(shares)
    return [share / total for share in shares]


def interpolated_quantile(shares, wanted, first):
    """Return the ratio below which a sum of shares lies, interpolated within its bin.

    Parameters
    ----------
    shares : list of float
        Shares of the bins.
    wanted : float
        The sum of the shares below the ratio.
    first : int
        Number of the first bin.
    """
    below = 0.0
    for index, share in enumerate(shares):
        if below + share >= wanted:
            bins = first + index - 0.5 + (wanted - below) / share
            return 2.0 ** (bins / BINS_PER_OCTAVE)
        below += share
    return 2.0 ** ((first + len(shares) - 0.5) / BINS_PER_OCTAVE)
