"""Capacity of a process to run the scheduler: its cores, and whether its host is overloaded."""

import structlog

from burdocklug.pools._pause import CHECK_PERIOD_S

__all__ = ["HostCapacity"]

OVERLOAD_LAG_S = 0.05  # mean lag of the event loop; a few milliseconds at healthy schedulers
MEAN_WEIGHT = 0.1  # weight of one sample; at ten samples a second the mean adapts in about 1 s
# Weight of one sample in the lag reported to others, which thus covers about 0.25 s.
RECENT_WEIGHT = 0.4
MAX_LAG_S = 0.5  # upper bound of one sample, so that a single pause does not count as overload
LATE_LOOP_S = 0.1  # lag from which a timeout may be due to this process and not to its peer
OVERLOAD_HOLD_S = 10.0  # time after an overload in which the host is no candidate for scheduler

log = structlog.get_logger(__name__)


class HostCapacity:
    """Usable cores of this process, by its processor share and its event loop's lag.

    Parameters
    ----------
    cores : float
        Processor share of this process, in cores of usual speed.

    Attributes
    ----------
    recent_lag_s : float
        Moving average of the event loop's lag over the last samples, in seconds.
    """

    def __init__(self, cores):
        self.recent_lag_s = 0.0
        self._cores = cores
        self._max_lag_s = 0.0
        self._mean_lag_s = 0.0
        self._overloaded_until_s = float("-inf")
        self._checked_s = float("inf")
        self._late_s = float("-inf")

    def note_lag(self, lag_s, now_s):
        """Record a sample of the event loop's lag; there are ten samples per second."""
        self._checked_s = now_s
        if lag_s >= LATE_LOOP_S:
            self._late_s = now_s
        lag_s = min(max(0.0, lag_s), MAX_LAG_S)
        self._max_lag_s = max(self._max_lag_s, lag_s)
        self.recent_lag_s += RECENT_WEIGHT * (lag_s - self.recent_lag_s)
        self._mean_lag_s += MEAN_WEIGHT * (lag_s - self._mean_lag_s)
        if self._mean_lag_s < OVERLOAD_LAG_S:
            return
        if now_s >= self._overloaded_until_s:
            log.warning("host_overloaded", mean_late_s=round(self._mean_lag_s, 3))
        self._overloaded_until_s = now_s + OVERLOAD_HOLD_S

    def was_late_since(self, since_s, now_s):
        """Return whether the event loop was late at some time since then, or is now.

        Examples
        --------
        >>> host = HostCapacity(1.0)
        >>> host.note_lag(0.3, 10.0)
        >>> host.note_lag(0.0, 10.1)
        >>> host.was_late_since(9.9, 10.2), host.was_late_since(10.05, 10.2)
        (True, False)
        >>> host.was_late_since(10.05, 10.4)  # a sample is overdue
        True
        """
        is_late = now_s - self._checked_s >= CHECK_PERIOD_S + LATE_LOOP_S
        return is_late or self._late_s >= since_s

    def usable_cores(self, now_s):
        """Return the cores, 0 while the host is overloaded and for some time after."""
        return 0.0 if now_s < self._overloaded_until_s else self._cores

    def take_max_lag_s(self):
        """Return the greatest lag since the last call of this method, in seconds."""
        max_lag_s, self._max_lag_s = self._max_lag_s, 0.0
        return max_lag_s
