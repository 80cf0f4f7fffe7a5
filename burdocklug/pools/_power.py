"""How much scheduling the host of a process can carry: its size, and whether it is choked."""

import structlog

__all__ = ["HostPower"]

CHOKED_S = 0.05  # mean lateness of the loop; healthy schedulers are late by a few milliseconds
LATENESS_WEIGHT = 0.1  # of one look; with ten looks a second the mean follows within about 1 s
RECENT_WEIGHT = 0.4  # of one look in the lateness that others are told, so that it is of 0.25 s
MAX_LATE_S = 0.5  # of one look that counts, so that one pause is no load
CHOKED_KEEP_S = 10.0  # a host that was choked gets no scheduling for so long

log = structlog.get_logger(__name__)


class HostPower:
    """What a host can carry, in cores.

    Parameters
    ----------
    cores : float
        Processor that the host gives this process, in usual cores.

    Attributes
    ----------
    recent_late_s : float
        By how much the loop was late within the last looks, in the mean.
    """

    def __init__(self, cores):
        self.recent_late_s = 0.0
        self._cores = cores
        self._latest_s = 0.0
        self._mean_late_s = 0.0
        self._choked_until_s = float("-inf")

    def note_late(self, late_s, now_s):
        """Take in by how much the loop was late at a look; there are ten looks a second."""
        late_s = min(max(0.0, late_s), MAX_LATE_S)
        self._latest_s = max(self._latest_s, late_s)
        self.recent_late_s += RECENT_WEIGHT * (late_s - self.recent_late_s)
        self._mean_late_s += LATENESS_WEIGHT * (late_s - self._mean_late_s)
        if self._mean_late_s < CHOKED_S:
            return
        if now_s >= self._choked_until_s:
            log.warning("host_choked", mean_late_s=round(self._mean_late_s, 3))
        self._choked_until_s = now_s + CHOKED_KEEP_S

    def power(self, now_s):
        """Return the cores, 0 while the host is choked."""
        return 0.0 if now_s < self._choked_until_s else self._cores

    def take_latest_s(self):
        """Return by how much the loop was late at most since this was asked last."""
        latest_s, self._latest_s = self._latest_s, 0.0
        return latest_s
