"""Selection of the waiting jobs that are served when not all can be in time.

Jobs are taken by the operators' priority, and within one by their latest start. When the tasks
taken so far exceed the openings up to a latest start, the job that needs the most slot time is put
back, among those of the same priority (Moore 1968, with the openings of many slots in place of one
machine). That serves the most callers. Jobs that have started are taken first, since giving them up
wastes their runs, and with them those of underserved classes.
"""

import heapq
import math
from dataclasses import dataclass, field

from burdocklug.pools.contention._lateness import latest_start_s, latest_useful_end_s, priority_key
from burdocklug.pools.contention._supply import MIN_RUN_S

__all__ = ["Plan", "can_all_be_in_time", "plan"]

# Part of a job's estimated time by which it is planned to start before its latest start; estimates
# are rough, and a job that starts at the last moment often ends late.
START_MARGIN = 0.3
FIRST = -math.inf  # rank before every priority


@dataclass(frozen=True, slots=True)
class RankNeed:
    """The tasks up to a rank that can be in time, and the mean run time of all tasks up to it."""

    taken: int
    mean_run_s: float


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
    first : frozenset of str
        Ids of the started jobs that are still useful to their callers.
    supply : Supply or None
        The openings for all these jobs; None if all can be in time.
    started : int
        Number of starts that its openings do not include any more.
    taken_jobs : int
        Number of the jobs that can be in time together, which come first.
    by_rank : dict
        What jobs up to each rank need, as `RankNeed`, in ascending order.
    asked_load : dict
        Slots that further jobs are expected to need, by priority.
    served_by_queue : dict or None
        Number of these jobs by queue, once it has been asked for.
    """

    jobs: list
    displaced: dict = field(default_factory=dict)
    preferred: frozenset = frozenset()
    first: frozenset = frozenset()
    supply: object = None
    started: int = 0
    taken_jobs: int = 0
    by_rank: dict = field(default_factory=dict)
    asked_load: dict = field(default_factory=dict)
    served_by_queue: dict | None = None

    @property
    def is_contended(self):
        """Whether not all jobs can be in time."""
        return bool(self.displaced)

    def is_crowded_out(self, job, now_s):
        """Return whether other jobs need the room up to the latest useful start of a job.

        These are the jobs that can be in time and those that are expected until then; for a job
        that could be in time itself, only those that are not less urgent.
        """
        if not self.displaced or not self.taken_jobs or job.job_id in self.preferred:
            return False
        priority = job.spec.queue.priority
        lowest = priority if latest_start_s(job) >= now_s else math.inf
        needs = [need for rank, need in self.by_rank.items() if rank <= lowest]
        need = needs[-1] if needs else RankNeed(0, job.waiting[0].estimate_s)
        load = sum(slots for rank, slots in self.asked_load.items() if rank <= lowest)
        start_by_s = latest_useful_end_s(job) - job.remaining_s()
        expected = load * max(0.0, start_by_s - now_s) / need.mean_run_s
        openings = self.supply.openings(start_by_s, mean_run_s=need.mean_run_s)
        openings += self.supply.started - self.started
        return openings < need.taken + expected + job.next_wave()


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
    load = accounts.asked_load(now_s)
    ranked = _rank_timely(jobs, now_s, preferred)
    displaced_by, by_rank = _displace(jobs, ranked, now_s, supply, load)
    if not displaced_by:
        return Plan(sorted(jobs, key=lambda job: priority_key(job, now_s)))
    timely = sorted(
        (rank, n in displaced_by, _task_s(jobs[n]) if n in displaced_by else start_s, n)
        for rank, start_s, n in ranked
    )
    late = sorted(
        (jobs[n] for n in set(range(len(jobs))).difference(n for *_, n in ranked)),
        key=lambda job: (job.job_id not in preferred, priority_key(job, now_s)),
    )
    return Plan(
        [*(jobs[n] for *_, n in timely), *late],
        {jobs[n].job_id: jobs[other].job_id for n, other in displaced_by.items()},
        preferred,
        frozenset(jobs[n].job_id for rank, _, n in ranked if rank == FIRST and jobs[n].started),
        supply,
        started=supply.started,
        taken_jobs=len(ranked) - len(displaced_by),
        by_rank=by_rank,
        asked_load=load,
    )


def can_all_be_in_time(jobs, now_s, supply):
    """Return whether the openings suffice for all waiting jobs that are not late yet."""
    taken = 0
    task_s = sum(job.next_wave() * job.waiting[0].estimate_s for job in jobs)
    mean_run_s = task_s / max(1, sum(job.next_wave() for job in jobs))
    timely = ((latest_start_s(job), job.next_wave()) for job in jobs)
    for start_by_s, tasks in sorted(row for row in timely if row[0] >= now_s):
        taken += tasks
        if taken > supply.openings(start_by_s, mean_run_s=mean_run_s):
            return False
    return True


def _rank_timely(jobs, now_s, preferred):
    """Return rank, latest start and number of the jobs that may be in time, sorted."""
    ranked = []
    for n, job in enumerate(jobs):
        start_by_s = latest_start_s(job)
        if job.started and now_s < latest_useful_end_s(job):
            ranked.append((FIRST, start_by_s, n))
        elif start_by_s >= now_s:
            rank = FIRST if job.job_id in preferred else job.spec.queue.priority
            ranked.append((rank, start_by_s, n))
    ranked.sort()
    return ranked


def _displace(jobs, ranked, now_s, supply, load):
    """Return the displaced jobs with those that they give way to, and the `RankNeed` of each rank.

    Jobs are named by their numbers. Openings that jobs of a higher priority are expected to take
    until the latest start of a job are not counted for it.
    """
    displaced_by, candidates, by_rank = {}, [], {}
    mean_by_rank = _mean_run_by_rank(jobs, ranked)
    taken, rank, load_above, mean_run_s = 0, None, 0.0, 0.0
    for job_rank, start_by_s, n in ranked:
        job = jobs[n]
        if job_rank != rank:
            rank, candidates, mean_run_s = job_rank, [], mean_by_rank[job_rank]
            load_above = sum(slots for priority, slots in load.items() if priority < rank)
        taken += job.next_wave()
        if not job.started:
            heapq.heappush(candidates, (job.has_returned, -_task_s(job), n))
        start_by_s = max(now_s, start_by_s - START_MARGIN * job.remaining_s())
        expected = load_above * (start_by_s - now_s) / mean_run_s
        openings = supply.openings(start_by_s, mean_run_s=mean_run_s) - expected
        while taken > openings and candidates:
            other = heapq.heappop(candidates)[-1]
            taken -= jobs[other].next_wave()
            displaced_by[other] = n
        by_rank[rank] = RankNeed(taken, mean_run_s)
    return displaced_by, by_rank


def _task_s(job):
    """Return the slot time that the waiting tasks of a job need, in seconds."""
    return len(job.waiting) * job.waiting[0].estimate_s


def _mean_run_by_rank(jobs, ranked):
    """Return the mean run time of the tasks of all jobs up to each rank, in seconds."""
    means, task_s, tasks = {}, 0.0, 0
    for rank, _, n in ranked:
        wave = jobs[n].next_wave()
        tasks += wave
        task_s += wave * jobs[n].waiting[0].estimate_s
        means[rank] = max(task_s / tasks, MIN_RUN_S)
    return means
