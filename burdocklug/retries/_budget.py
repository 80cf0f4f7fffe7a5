"""A retry budget: bounds retries to a share of first attempts, so faults don't multiply load."""

from collections import deque

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.1  # retries allowed per first attempt
MIN_RETRIES_PER_WINDOW = 3
WINDOW_S = 1.0
BUCKETS_PER_WINDOW = 20


class RetryBudget:
    """Allows retries up to a share of the first attempts within a sliding window.

    Parameters
    ----------
    share : float
        Retries allowed per first attempt.
    floor : int
        Retries allowed per window however few first attempts there are.
    window_s : float
        Length of the sliding window in seconds.

    Notes
    -----
    Retries are counted exactly. First attempts of tasks are counted in buckets of a twentieth of
    the window, and the oldest, partly expired bucket is left out, so that the bound errs towards
    fewer retries.

    Examples
    --------
    >>> budget = RetryBudget(floor=1)
    >>> budget.note_first_attempts(0.5, count=20)
    >>> [budget.try_retry(0.6) for _ in range(3)]
    [True, True, False]
    >>> budget.try_retry(1.7), budget.try_retry(1.7)
    (True, False)
    """

    def __init__(self, *, share=RETRY_SHARE, floor=MIN_RETRIES_PER_WINDOW, window_s=WINDOW_S):
        self.share = share
        self.floor = floor
        self.window_s = window_s
        self.refused_retries = 0
        self._bucket_s = window_s / BUCKETS_PER_WINDOW
        self._attempt_buckets = deque()  # lists of bucket number and count
        self._first_attempts = 0
        self._retries = deque()  # times of the retries in the window

    def note_first_attempts(self, now_s, count=1):
        """Count the first attempts of `count` tasks."""
        bucket = int(now_s / self._bucket_s)
        if self._attempt_buckets and self._attempt_buckets[-1][0] == bucket:
            self._attempt_buckets[-1][1] += count
        else:
            self._expire(now_s)
            self._attempt_buckets.append([bucket, count])
        self._first_attempts += count

    def _expire(self, now_s):
        oldest = int(now_s / self._bucket_s) - BUCKETS_PER_WINDOW + 1
        while self._attempt_buckets and self._attempt_buckets[0][0] < oldest:
            self._first_attempts -= self._attempt_buckets.popleft()[1]
        while self._retries and self._retries[0] <= now_s - self.window_s:
            self._retries.popleft()

    def try_retry(self, now_s):
        """Take one retry from the budget; return False if the budget is used up."""
        self._expire(now_s)
        if len(self._retries) >= max(self.floor, int(self.share * self._first_attempts)):
            self.refused_retries += 1
            return False
        self._retries.append(now_s)
        return True
