"""Bounds retries to a share of first sends, so that a fault can't multiply the load."""

from collections import deque

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.1
FLOOR_PER_WINDOW = 3
WINDOW_S = 1.0
BUCKETS = 20


class RetryBudget:
    """Allows retries up to a share of the first sends of the last second.

    Parameters
    ----------
    share : float
        Retries allowed per first send.
    floor : int
        Retries allowed in a window whatever the traffic.
    window_s : float
        Length of the sliding window in seconds.

    Notes
    -----
    Retries are counted exactly, first sends in buckets of a twentieth of the window of which
    the oldest is left out: the bound errs on the side of fewer retries.

    Examples
    --------
    >>> budget = RetryBudget(floor=1)
    >>> budget.note_first_sends(0.5, count=20)
    >>> [budget.try_retry(0.6) for _ in range(3)]
    [True, True, False]
    >>> budget.try_retry(1.7), budget.try_retry(1.7)
    (True, False)
    """

    def __init__(self, *, share=RETRY_SHARE, floor=FLOOR_PER_WINDOW, window_s=WINDOW_S):
        self.share = share
        self.floor = floor
        self.window_s = window_s
        self.refused = 0
        self._bucket_s = window_s / BUCKETS
        self._sends = deque()  # pairs of bucket number and count
        self._sent = 0
        self._retries = deque()  # times

    def note_first_sends(self, now_s, count=1):
        """Count first sends."""
        bucket = int(now_s / self._bucket_s)
        if self._sends and self._sends[-1][0] == bucket:
            self._sends[-1][1] += count
        else:
            self._expire(now_s)
            self._sends.append([bucket, count])
        self._sent += count

    def _expire(self, now_s):
        oldest = int(now_s / self._bucket_s) - BUCKETS + 1
        while self._sends and self._sends[0][0] < oldest:
            self._sent -= self._sends.popleft()[1]
        while self._retries and self._retries[0] <= now_s - self.window_s:
            self._retries.popleft()

    def try_retry(self, now_s):
        """Take one retry from the budget; return whether there was one."""
        self._expire(now_s)
        if len(self._retries) >= max(self.floor, int(self.share * self._sent)):
            self.refused += 1
            return False
        self._retries.append(now_s)
        return True
