"""State of one scheduler for its decisions under contention; a new scheduler begins with none."""

from dataclasses import dataclass, field
from functools import partial

import structlog

from burdocklug.pools.contention._accounts import Accounts
from burdocklug.pools.contention._lateness import priority_key
from burdocklug.pools.contention._plan import can_all_be_in_time, plan
from burdocklug.pools.contention._refusals import RecentRefusals
from burdocklug.pools.contention._returns import Returns
from burdocklug.pools.contention._supply import Supply

__all__ = ["UNPLACEABLE", "Contention", "PassPlan"]

UNPLACEABLE = "unplaceable"  # reason of a refusal: no endpoint can ever hold the job

CONTENTION_LOG_S = 1.0  # minimum time between log lines on contention
# Time for which jobs are planned after they could not all be in time. A plan keeps the queue so
# short that they could the next moment, though the load has not changed.
CONTENTION_HOLD_S = 0.3
# Time for which the openings are not counted again while jobs are planned; that is most of a plan's
# cost, and starts are subtracted meanwhile.
SUPPLY_LIFETIME_S = 0.02
DEMAND_SAMPLES = 20  # tasks of which the median demand stands for all waiting ones

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class PassPlan:
    """Plans of one pass: the jobs in the order in which they are offered room.

    Parameters
    ----------
    jobs : list of Job
        All waiting jobs.
    by_service : dict
        Plan of each service whose jobs can't all be in time.
    """

    jobs: list
    by_service: dict = field(default_factory=dict)

    def of(self, job):
        """Return the plan under which a job competes, or None if its service has no contention."""
        return self.by_service.get(job.spec.queue.service)

    def goes_first(self, job):
        """Return whether a job that has started gets room before jobs that are still in time."""
        plan = self.of(job)
        return plan is not None and job.started and job.job_id in plan.first


class Contention:
    """Accounts, booked returns and recent refusals of one scheduler.

    Parameters
    ----------
    counts : Counter
        Counts of events by name.
    """

    def __init__(self, counts):
        self.accounts = Accounts()
        self.returns = Returns()
        self.refusals = RecentRefusals()
        self._counts = counts
        self._contended_until_s = {}
        self._supplies = {}
        self._logged_s = float("-inf")

    def note_asked(self, job, now_s):
        """Count a new job, and recognize one that returns when it was told to."""
        job.has_returned = self.returns.take_returned(job.job_id, now_s)
        self._counts["jobs_returned"] += job.has_returned
        self.accounts.note_asked(job, now_s)

    def note_start(self, task, now_s):
        """Count the start of a task."""
        self.accounts.note_served(task.job, now_s)
        supply = self._supplies.get(task.job.spec.queue.service)
        if supply is not None:
            supply.note_start()

    def note_refused(self, job, reason, now_s, *, plan=None):
        """Count and record a refused or hopeless job, and return its record."""
        if reason != UNPLACEABLE:  # no other job got its room
            self.accounts.note_refused(job, now_s)
        self._counts[f"unanswered_{reason}"] += 1
        return self.refusals.add(job, reason, now_s, plan=plan)

    def plan_pass(self, jobs, now_s, *, count_free, expected_ends):
        """Return the plan of a pass over waiting jobs.

        Parameters
        ----------
        jobs : list of Job
            Jobs with waiting tasks.
        now_s : float
            The current time.
        count_free : callable
            ``count_free(task, limit)`` returns how many tasks like one fit now, up to a limit.
        expected_ends : callable
            Takes the name of a service and returns the expected ends of the runs there.
        """
        groups = {}
        for job in jobs:
            if job.hold is None and job.expires_s >= now_s:
                groups.setdefault(job.spec.queue.service, []).append(job)
        plans = {}
        for service, group in groups.items():
            supply = self._supplies.get(service)
            if not self._is_supply_usable(service, supply, now_s):
                supply = _find_supply(group, now_s, count_free, partial(expected_ends, service))
                self._supplies[service] = supply
            if supply is None or not self._is_contended(service, group, now_s, supply):
                continue
            found = plan(group, now_s, self.accounts, supply)
            if found.is_contended:
                plans[service] = found
        if plans:
            self._note_contention(plans, now_s)
        planned = [job for found in plans.values() for job in found.jobs]
        planned_ids = {job.job_id for job in planned}
        others = [job for job in jobs if job.job_id not in planned_ids]
        others.sort(key=lambda job: priority_key(job, now_s))
        return PassPlan(planned + others, plans)

    def _is_supply_usable(self, service, supply, now_s):
        is_planning = now_s <= self._contended_until_s.get(service, now_s - 1.0)
        return supply is not None and is_planning and now_s - supply.built_s < SUPPLY_LIFETIME_S

    def _is_contended(self, service, jobs, now_s, supply):
        """Return whether not all jobs of a service can be in time, now or a moment ago."""
        if now_s <= self._contended_until_s.get(service, now_s - 1.0):
            return True
        if can_all_be_in_time(jobs, now_s, supply):
            return False
        self._contended_until_s[service] = now_s + CONTENTION_HOLD_S
        return True

    def _note_contention(self, plans, now_s):
        self._counts["contended_passes"] += 1
        if now_s < self._logged_s + CONTENTION_LOG_S:
            return
        self._logged_s = now_s
        for service, found in plans.items():
            log.info(
                "pool_contended",
                service=service,
                waiting=len(found.jobs),
                displaced=len(found.displaced),
                preferred=len(found.preferred),
                asked_load=round(sum(found.asked_load.values())),
            )

    def dump(self, now_s):
        """Return the shares served, the booked returns and the recent refusals as plain data."""
        return {
            "shares_served": self.accounts.shares(now_s),
            "returns": self.returns.dump(now_s),
            "recent_refusals": self.refusals.rows(),
        }


def _find_supply(jobs, now_s, count_free, expected_ends):
    """Return the openings for jobs of one service; None if all fit now, or no slot is known."""
    wanted = sum(job.next_wave() for job in jobs)
    sample = [job.waiting[0] for job in jobs[:: 1 + len(jobs) // DEMAND_SAMPLES]]
    sample.sort(key=lambda task: task.demand.cpu)
    free = count_free(sample[len(sample) // 2], wanted)
    if free >= wanted:
        return None
    ends_s = list(expected_ends())
    if not free and not ends_s:
        return None  # no endpoint is known to take tasks now, which says nothing of those to come
    return Supply(now_s, free, ends_s)
