"""Accounts of what each class of jobs asked for and got lately.

A class is a queue, the callers of a failure domain, or a size: a tenth of the recent jobs of a
queue, by work. An account decays within seconds, so that it follows the present load.
"""

import math
from dataclasses import dataclass

from burdocklug.pools.contention._sizes import SizeTenths

__all__ = ["DECAY_S", "WHOLE", "Accounts", "ClassCounts"]

DECAY_S = 5.0  # time constant of the counts; longer than any caller of a sub-second job waits
RATE_WINDOW_S = 1.0  # time constant of the rate at which tasks are asked for
# Share served of a class, as a multiple of the share served of the whole, below which the class is
# preferred. It is above the bound of a half because jobs that are refused count at once, and those
# that are preferred count only when they start.
PREFERENCE_RATIO = 0.8
MIN_SETTLED = 4.0  # jobs that have started or were refused, below which a share means nothing
NEGLIGIBLE_COUNT = 0.01  # accounts that have decayed to less than this are removed
MAX_CLASSES = 2000  # bound on memory; classes beyond it are not counted until others have decayed
WHOLE = ("all",)


@dataclass(slots=True)
class ClassCounts:
    """Decayed counts of one class of jobs."""

    updated_s: float
    asked: float = 0.0
    served: float = 0.0
    refused: float = 0.0

    def decay(self, now_s):
        """Decay the counts up to `now_s`."""
        factor = math.exp(-max(0.0, now_s - self.updated_s) / DECAY_S)
        self.asked *= factor
        self.served *= factor
        self.refused *= factor
        self.updated_s = now_s

    @property
    def settled(self):
        """Number of jobs that were served or refused."""
        return self.served + self.refused

    @property
    def share(self):
        """Share of the settled jobs that were served; 1 if none has settled."""
        return self.served / self.settled if self.settled > 0.0 else 1.0


class Accounts:
    """Counts of the jobs that were asked for, served and refused, by class.

    A job counts as served when its first task starts, and as refused instead if it is ended before
    it is done because its caller can't be answered in time.

    Examples
    --------
    >>> accounts = Accounts()
    >>> accounts.is_idle(100.0)
    True
    """

    def __init__(self):
        self._counts = {}
        self._sizes = SizeTenths()
        self._asked_load = {}  # task-seconds a second, by priority
        self._rate_updated_s = 0.0

    def note_asked(self, job, now_s):
        """Count a new job, and assign its classes to it."""
        queue = job.spec.queue.name
        keys = [WHOLE, ("queue", queue)]
        if job.caller_domain:
            keys.append(("domain", job.caller_domain))
        tenth = self._sizes.add(queue, work_core_s(job.spec))
        if tenth is not None:
            keys.append(("size", queue, tenth))
        job.account_keys = tuple(keys)
        for counts in self._counts_of(job, now_s):
            counts.asked += 1.0
        self._decay_rate(now_s)
        priority = job.spec.queue.priority
        load = sum(task.estimate_s for task in job.tasks) / RATE_WINDOW_S
        self._asked_load[priority] = self._asked_load.get(priority, 0.0) + load

    def note_served(self, job, now_s):
        """Count a job as served, once."""
        if job.is_counted_served:
            return
        job.is_counted_served = True
        for counts in self._counts_of(job, now_s):
            counts.served += 1.0

    def note_refused(self, job, now_s):
        """Count a job as refused, also if it was counted as served before."""
        for counts in self._counts_of(job, now_s):
            counts.refused += 1.0
            if job.is_counted_served:
                counts.served = max(0.0, counts.served - 1.0)
        job.is_counted_served = False

    def asked_load(self, now_s):
        """Return the slots that the jobs asked for lately need, by priority."""
        self._decay_rate(now_s)
        return dict(self._asked_load)

    def is_idle(self, now_s):
        """Return whether no job was refused lately."""
        whole = self._counts.get(WHOLE)
        if whole is None:
            return True
        whole.decay(now_s)
        return whole.refused < NEGLIGIBLE_COUNT

    def underserved(self, now_s):
        """Return the keys of the classes that are served much less often than the whole.

        Queues and failure domains are compared with all jobs, sizes with the jobs of their queue.
        """
        if self.is_idle(now_s):
            return frozenset()
        for counts in self._counts.values():
            counts.decay(now_s)
        return frozenset(
            key
            for key, counts in self._counts.items()
            if counts.settled >= MIN_SETTLED
            and counts.share < PREFERENCE_RATIO * self._reference_share(key)
        )

    def shares(self, now_s, *, has_sizes=True):
        """Return the shares served of the classes with enough settled jobs, by class name.

        Parameters
        ----------
        now_s : float
            The current time.
        has_sizes : bool, optional
            Whether to include the sizes of the queues.
        """
        shares = {}
        for key, counts in sorted(self._counts.items()):
            counts.decay(now_s)
            is_listed = has_sizes or key[0] != "size"
            if is_listed and counts.settled >= MIN_SETTLED:
                shares["/".join(key)] = round(counts.share, 2)
        return shares

    def _reference_share(self, key):
        reference = self._counts.get(("queue", key[1]) if key[0] == "size" else WHOLE)
        return reference.share if reference is not None else 0.0

    def _counts_of(self, job, now_s):
        """Return the counts of a job's classes, decayed, within the bound on their number."""
        found = []
        for key in job.account_keys:
            counts = self._counts.get(key)
            if counts is None:
                if len(self._counts) >= MAX_CLASSES:
                    self._remove_negligible(now_s)
                if len(self._counts) >= MAX_CLASSES:
                    continue
                counts = self._counts[key] = ClassCounts(now_s)
            counts.decay(now_s)
            found.append(counts)
        return found

    def _remove_negligible(self, now_s):
        for key, counts in list(self._counts.items()):
            counts.decay(now_s)
            if counts.asked + counts.settled < NEGLIGIBLE_COUNT:
                del self._counts[key]

    def _decay_rate(self, now_s):
        passed_s = max(0.0, now_s - self._rate_updated_s)
        factor = math.exp(-passed_s / RATE_WINDOW_S)
        for priority in self._asked_load:
            self._asked_load[priority] *= factor
        self._rate_updated_s = now_s


def work_core_s(spec):
    """Return the estimated work of a job, in core-seconds."""
    return sum(step.count * step.estimate_s * step.demand.cpu / 1000 for step in spec.steps)
