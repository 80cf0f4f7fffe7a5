"""Jobs that a process may still submit but that must not run, and how long they are remembered."""

import itertools

__all__ = ["Cancellations", "forget_after_s"]

# A caller may send a job again for this time after its connection broke or its deadline passed.
RESUBMISSION_S = 10.0
BATCH = 500  # job ids in one message
MAX_CANCELLATIONS = 20_000  # two minutes of 10,000 cancellations a minute


def forget_after_s(ended_s, *, expires_s=float("-inf")):
    """Return the time from which nobody submits a job any more.

    Parameters
    ----------
    ended_s : float
        When the job ended.
    expires_s : float, optional
        When the last caller that may have submitted it stops waiting; its process may have been cut
        off until then.

    Examples
    --------
    >>> forget_after_s(100.0), forget_after_s(100.0, expires_s=130.0)
    (110.0, 140.0)
    """
    return max(ended_s, expires_s) + RESUBMISSION_S


class Cancellations:
    """Ids of jobs that were cancelled, or that went to another cell, each until a time.

    At `MAX_CANCELLATIONS` the oldest one is dropped.

    Examples
    --------
    >>> cancellations = Cancellations()
    >>> cancellations.add("j1", 140.0)
    >>> cancellations.has("j1", 139.0), cancellations.has("j1", 141.0)
    (True, False)
    """

    def __init__(self):
        self._until_s = {}

    def __len__(self):
        return len(self._until_s)

    def add(self, job_id, until_s):
        """Remember a job until a time."""
        self._until_s[job_id] = max(until_s, self._until_s.pop(job_id, until_s))
        if len(self._until_s) > MAX_CANCELLATIONS:
            del self._until_s[next(iter(self._until_s))]

    def add_all(self, other):
        """Remember the jobs of another `Cancellations`."""
        for job_id, until_s in other._until_s.items():
            self.add(job_id, until_s)

    def has(self, job_id, now_s):
        """Return whether a job is remembered."""
        return self._until_s.get(job_id, float("-inf")) >= now_s

    def forget(self, now_s):
        """Drop the jobs whose time is over."""
        over = [job_id for job_id, until_s in self._until_s.items() if until_s < now_s]
        for job_id in over:
            del self._until_s[job_id]

    def clear(self):
        """Drop all jobs."""
        self._until_s.clear()

    def batches(self):
        """Yield all ids in tuples of at most `BATCH`."""
        ids = iter(self._until_s)
        while batch := tuple(itertools.islice(ids, BATCH)):
            yield batch
