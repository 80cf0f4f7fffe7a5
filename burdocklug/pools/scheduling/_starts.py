"""Decisions on waiting jobs: which tasks start where, and which jobs are refused or expire."""

from dataclasses import dataclass

from burdocklug.pools.contention import (
    Offer,
    Verdict,
    is_too_late,
    latest_start_s,
    latest_useful_end_s,
    verdict,
)
from burdocklug.pools.scheduling._placement import count_free_slots, place_tasks
from burdocklug.pools.scheduling._run_times import exclude_slow

__all__ = [
    "Expire",
    "PoolView",
    "Refuse",
    "Start",
    "decide",
    "endpoints_with_capacity",
    "least_waiting_cpu",
]


@dataclass(frozen=True, slots=True)
class Start:
    """Decision to start a task on an endpoint."""

    task: object
    endpoint: object


@dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse a job of which no task has started.

    Parameters
    ----------
    job : Job
        The job.
    reason : str
        Why it is refused.
    plan : Plan or None
        The plan under which it competes, if not all jobs can be in time.
    """

    job: object
    reason: str
    plan: object = None


@dataclass(frozen=True, slots=True)
class Expire:
    """Decision to end a job whose caller has stopped waiting."""

    job: object


def least_waiting_cpu(jobs):
    """Return the processor that the smallest waiting task needs, in thousandths of a core."""
    return min((job.waiting[0].demand.cpu for job in jobs if job.waiting), default=0)


def endpoints_with_capacity(endpoints, least_cpu, now_s):
    """Return the available endpoints with at least `least_cpu` of free processor."""
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.free.cpu >= least_cpu and endpoint.is_available(now_s)
    ]


@dataclass(frozen=True, slots=True)
class PoolView:
    """State of a pool's endpoints on which decisions are based.

    Parameters
    ----------
    now_s : float
        The current time.
    endpoints : list of PoolEndpoint
        Endpoints with capacity for a task; those that become full during a pass are removed.
    least_cpu : int
        Processor that the smallest waiting task needs.
    forecast : CapacityForecast
        When further slots become free.
    is_reconciled : bool
        Whether the runs of an earlier scheduler are known; until then, no job is refused for lack
        of capacity.
    reserved_slots : int
        Slots that late jobs leave free.
    distance_factor : float
        Factor on the run time of a task outside the rack of its data.
    median_slowness : float
        Median slowness of all endpoints.
    plan_pass : callable
        Takes the waiting jobs and the view, and returns a `PassPlan`.
    may_start : callable
        Takes a waiting task and returns whether no other run of it can be active.
    """

    now_s: float
    endpoints: list
    least_cpu: int
    forecast: object
    is_reconciled: bool
    reserved_slots: int
    distance_factor: float
    median_slowness: float
    plan_pass: object
    may_start: object

    def remove_full(self):
        """Remove the endpoints that have become full, so that other jobs do not consider them."""
        self.endpoints[:] = endpoints_with_capacity(self.endpoints, self.least_cpu, self.now_s)

    def endpoints_in_time(self, job, deadline_s):
        """Return the endpoints except slow ones on which a job's next task ends too late."""
        return exclude_slow(
            job.waiting[0],
            self.endpoints,
            self.now_s,
            deadline_s,
            median_slowness=self.median_slowness,
            distance_factor=self.distance_factor,
        )


def decide(jobs, view):
    """Yield decisions; the caller must apply each one before it asks for the next.

    Jobs are offered capacity in the order of the pass's plan. A job gets it if its next wave of
    tasks can start in time, on free slots or on slots that running tasks are expected to free. Late
    jobs get the remaining capacity except for a reserve for jobs still in time.

    Parameters
    ----------
    jobs : iterable of Job
        Jobs with waiting tasks.
    view : PoolView
        State of the endpoints.

    Yields
    ------
    Start, Refuse or Expire
    """
    late_jobs, now_s = [], view.now_s
    plan = view.plan_pass(list(jobs), view)
    for job in plan.jobs:
        if job.expires_s < now_s:
            yield Expire(job)
        elif job.hold is not None:
            is_hold_known = view.is_reconciled and not job.started
            if is_hold_known and is_too_late(job, max(now_s, job.hold.earliest_s)):
                yield Refuse(job, "held_too_long")
        elif job.waiting:
            endpoints = view.endpoints_in_time(job, job.due_s)
            if plan.goes_first(job):
                useful_end_s = latest_useful_end_s(job)
                yield from _start_tasks(job, view.endpoints_in_time(job, useful_end_s), view)
            elif _can_start_in_time(job, endpoints, view):
                yield from _start_tasks(job, endpoints, view)
            else:
                late_jobs.append(job)
    for job in late_jobs:
        yield from _start_or_refuse_late(
            job, view.endpoints_in_time(job, latest_useful_end_s(job)), view, plan.of(job)
        )


def _can_start_in_time(job, endpoints, view):
    need = job.next_wave()
    slots = count_free_slots(job.waiting[0], endpoints, view.now_s, limit=need)
    return view.forecast.start_s(need - slots) <= latest_start_s(job)


def _start_tasks(job, endpoints, view):
    """Yield starts of the waiting tasks that fit, and reserve forecast slots for the others."""
    tasks = [task for task in job.waiting if view.may_start(task)]
    factor = view.distance_factor
    for task, endpoint in place_tasks(tasks, endpoints, view.now_s, distance_factor=factor):
        yield Start(task, endpoint)
    view.forecast.reserve(job.next_wave())
    view.remove_full()


def _start_or_refuse_late(job, endpoints, view, plan):
    """Yield the starts of a late job in the remaining capacity, or its refusal.

    A job that has not started must leave the reserved slots free; while it waits for that, its next
    wave is reserved in the forecast.
    """
    need = job.next_wave()
    limit = need + view.reserved_slots
    start_s = view.forecast.start_s(need) if view.is_reconciled else view.now_s
    free = count_free_slots(job.waiting[0], endpoints, view.now_s, limit=limit)
    offer = Offer(start_s, start_s + job.remaining_s(), free)
    if job.started or free >= limit:
        yield from _start_tasks(job, endpoints, view)
    elif verdict(job, offer, view.now_s, plan=plan) is Verdict.REFUSE:
        yield Refuse(job, "too_late" if is_too_late(job, start_s) else "room_needed", plan)
    else:
        view.forecast.reserve(need)
