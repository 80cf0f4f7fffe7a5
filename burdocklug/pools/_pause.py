"""Detection of pauses of this process, after which a lease or a claim may have run out."""

import time

__all__ = ["CHECK_PERIOD_S", "MAX_PAUSE_S", "PauseDetector"]

CHECK_PERIOD_S = 0.1
MAX_PAUSE_S = 0.6  # after a longer pause, leases may lapse before they are renewed


def _boot_now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects that this process was stopped, or that its host was suspended.

    `take_pause_s` has to be called each `CHECK_PERIOD_S`. After a pause other callbacks may run
    first; `is_paused` tells them that a pause has not been handled yet.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds, which does not count a suspension of the host.
    boot_now : callable, optional
        Returns the seconds since the host booted, suspensions included.
    """

    def __init__(self, now, *, boot_now=_boot_now):
        self._now = now
        self._boot_now = boot_now
        self._checked_s, self._boot_s = now(), boot_now()
        self._last_pause_s = 0.0  # length of the pause that the last check found

    def _pause_s(self):
        elapsed_s = max(self._now() - self._checked_s, self._boot_now() - self._boot_s)
        return elapsed_s - CHECK_PERIOD_S

    def is_paused(self):
        """Return whether a pause of more than `MAX_PAUSE_S` has not been handled yet."""
        return self._pause_s() > MAX_PAUSE_S

    def take_pause_s(self):
        """Return for how long the process was paused since the last call, in seconds."""
        pause_s = self._last_pause_s = self._pause_s()
        self._checked_s, self._boot_s = self._now(), self._boot_now()
        return pause_s

    def recent_pause_s(self):
        """Return the length of a pause that has just ended, handled or not, in seconds; else 0."""
        return max((p for p in (self._pause_s(), self._last_pause_s) if p > MAX_PAUSE_S), default=0)
