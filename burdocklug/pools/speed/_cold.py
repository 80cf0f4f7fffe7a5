"""Endpoints that are slow for a time after their start: run times and rate of starts."""

from dataclasses import dataclass

__all__ = ["ColdPace", "cold_extra_s"]

COLD_RUN_FACTOR = 2.0  # assumed run time on a cold endpoint as a multiple of that on a warm one
RAMP_START_PER_S = 4.0  # first rate of starts where none is configured
RAMP_DOUBLING_S = 1.0  # time in which that rate doubles
MAX_DOUBLINGS = 10
# Starts saved up while there was none: one, and those of the 0.1 s between two passes over the
# waiting tasks. Operators tolerate more than `MAX_BURST` starts beyond the rate.
BURST_S = 0.1
MAX_BURST = 3.0
ROUNDING = 1e-9


@dataclass(slots=True)
class ColdPace:
    """Token bucket for the starts on an endpoint while it is cold.

    Without a configured rate, the rate begins at `RAMP_START_PER_S` and doubles each second.

    Parameters
    ----------
    rate_per_s : float
        Configured rate of starts; 0 if none is.

    Examples
    --------
    >>> pace = ColdPace(rate_per_s=2.0)
    >>> pace.begin(100.0)
    >>> pace.take(100.0)
    >>> pace.starts(100.4), pace.starts(100.5)
    (0, 1)
    """

    rate_per_s: float = 0.0
    since_s: float = 0.0
    filled_s: float = 0.0
    tokens: float = 1.0

    def begin(self, now_s):
        """Begin a cold time, with a single start available at once."""
        self.since_s = self.filled_s = now_s
        self.tokens = 1.0

    def starts(self, now_s):
        """Return how many starts are available now."""
        return int(self._level(now_s) + ROUNDING)

    def take(self, now_s):
        """Take one start out of the bucket."""
        self.tokens = self._level(now_s) - 1.0
        self.filled_s = now_s

    def _rate(self, now_s):
        if self.rate_per_s > 0:
            return self.rate_per_s
        doublings = (now_s - self.since_s) / RAMP_DOUBLING_S
        return RAMP_START_PER_S * 2 ** min(doublings, MAX_DOUBLINGS)

    def _level(self, now_s):
        rate = self._rate(now_s)
        burst = min(1.0 + rate * BURST_S, MAX_BURST)
        return min(self.tokens + rate * max(0.0, now_s - self.filled_s), burst)


def cold_extra_s(run_s, cold_s):
    """Return how much longer a run takes that begins on an endpoint that is still cold.

    Until the endpoint is warm, the run advances at 1 / `COLD_RUN_FACTOR` of its speed.

    Parameters
    ----------
    run_s : float
        Run time on the endpoint when it is warm, in seconds.
    cold_s : float
        How much longer the endpoint is cold, in seconds.

    Examples
    --------
    >>> cold_extra_s(0.2, 10.0), cold_extra_s(0.2, 0.1), cold_extra_s(0.2, 0.0)
    (0.2, 0.05, 0.0)
    """
    return min(run_s * (COLD_RUN_FACTOR - 1), cold_s * (1 - 1 / COLD_RUN_FACTOR))
