"""Selection of the waiting jobs that are served when not all can be in time.

Jobs are taken in the order of their latest start; when the tasks taken so far exceed the openings
up to a latest start, the job that needs the most slot time is put back, among those of the lowest
priority (Moore 1968, with the openings of many slots in place of one machine). That serves the most
callers. Jobs of underserved classes and jobs that have started are put back last or never.
"""

import heapq
from dataclasses import dataclass, field

from burdocklug.pools.contention._lateness import latest_start_s, latest_useful_end_s, priority_key

__all__ = ["Plan", "order", "plan"]


@dataclass(slots=True)
class Plan:
    """The jobs that can be in time together, and those that must give way.

    Parameters
    ----------
    jobs : list of Job
        All waiting jobs in the order in which they are offered room.
    displaced : dict
        By id of each job that gives way, the id of the job for which it does.
    preferred : frozenset of str
        Ids of the jobs that belong to an underserved class.
    supply : Supply or None
        The openings for all these jobs; None if all can be in time.
    taken_jobs, taken : int
        Number of the jobs that can be in time together, which come first, and of their tasks.
    asked_tasks_per_s : float
        Rate at which further tasks are expected.
    served_by_queue : dict or None
        Number of these jobs by queue, once it has been asked for.
    """

    jobs: list
    displaced: dict = field(default_factory=dict)
    preferred: frozenset = frozenset()
    supply: object = None
    taken: int = 0
    taken_jobs: int = 0
    asked_tasks_per_s: float = 0.0
    served_by_queue: dict | None = None

    @property
    def is_contended(self):
        """Whether some jobs give way to others."""
        return bool(self.displaced) and self.taken_jobs > 0

    def is_crowded_out(self, job, now_s):
        """Return whether other jobs need the room up to the latest useful start of a job.

        These are the jobs that can be in time and those that are expected until then.
        """
        if not self.is_contended or job.job_id in self.preferred:
            return False
        start_by_s = latest_useful_end_s(job) - job.remaining_s()
        expected = self.asked_tasks_per_s * max(0.0, start_by_s - now_s)
        return self.supply.openings(start_by_s) < self.taken + expected + job.next_wave()


def plan(jobs, now_s, accounts, supply):
    """Return the plan for waiting jobs that compete for the same slots.

    Parameters
    ----------
    jobs : iterable of Job
        Jobs with waiting tasks.
    now_s : float
        The current time.
    accounts : Accounts
        What each class of jobs got lately.
    supply : Supply or None
        The openings for these jobs; None if all their tasks fit now.
    """
    jobs = list(jobs)
    if supply is None:
        return Plan(sorted(jobs, key=lambda job: priority_key(job, now_s)))
    underserved = accounts.underserved(now_s)
    preferred = frozenset(
        job.job_id for job in jobs if underserved and not underserved.isdisjoint(job.account_keys)
    )
    start_by_s = [latest_start_s(job) for job in jobs]
    timely = sorted((start_s, n) for n, start_s in enumerate(start_by_s) if start_s >= now_s)
    displaced_by, taken = _displace(jobs, timely, supply, preferred)
    if not displaced_by:
        return Plan(sorted(jobs, key=lambda job: priority_key(job, now_s)))
    taken_numbers = [n for _, n in timely if n not in displaced_by]
    others = sorted(
        (jobs[n] for n in set(range(len(jobs))).difference(taken_numbers)),
        key=lambda job: (job.job_id not in preferred, priority_key(job, now_s)),
    )
    return Plan(
        [*(jobs[n] for n in taken_numbers), *others],
        {jobs[n].job_id: jobs[other].job_id for n, other in displaced_by.items()},
        preferred,
        supply,
        taken=taken,
        taken_jobs=len(taken_numbers),
        asked_tasks_per_s=accounts.asked_tasks_per_s(now_s),
    )


def _displace(jobs, timely, supply, preferred):
    """Return the displaced jobs, with the job that each gives way to, and the tasks that stay.

    Jobs are named by their numbers; `timely` has their latest starts and numbers, in this order.
    """
    displaced_by, candidates, new, taken, openings = {}, [], [], 0, 0.0
    for start_by_s, n in timely:
        job = jobs[n]
        taken += job.next_wave()
        if not job.started:
            new.append(n)
        if taken <= openings:  # those up to an earlier time suffice
            continue
        openings = supply.openings(start_by_s)
        if taken <= openings:
            continue
        for number in new:
            heapq.heappush(candidates, (*_displacement_key(jobs[number], preferred), number))
        new.clear()
        while taken > openings and candidates:
            other = heapq.heappop(candidates)[-1]
            taken -= jobs[other].next_wave()
            displaced_by[other] = n
    return displaced_by, taken


def _displacement_key(job, preferred):
    """Return the sort key of a job that may give way; the lowest gives way first."""
    task_s = len(job.waiting) * job.waiting[0].estimate_s
    is_preferred = job.job_id in preferred
    return is_preferred, job.has_returned, -job.spec.queue.priority, -task_s


def order(jobs, now_s, accounts, supply=None):
    """Return waiting jobs in the order in which they are offered room; see `plan`."""
    return plan(jobs, now_s, accounts, supply).jobs
