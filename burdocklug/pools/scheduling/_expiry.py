"""Jobs that are given up because their callers can't be answered in time."""

import structlog

from burdocklug.pools._models import JobOutcome
from burdocklug.pools.contention import UNPLACEABLE, find_hopeless_reason
from burdocklug.pools.scheduling._job_registry import JobRegistry

__all__ = ["JobExpiry"]

log = structlog.get_logger(__name__)


class JobExpiry(JobRegistry):
    """Jobs by id, which are refused or ended in time; base class of `RunEstimates`."""

    def expire_overdue(self):
        """End the jobs whose callers have stopped waiting or can't be answered before they do."""
        now = self._now()
        for job in list(self.jobs.values()):
            if job.outcome is not None or job.suspended:
                continue
            if job.expires_s < now:
                self.give_up(job, "deadline")
            elif reason := find_hopeless_reason(job, now):
                self.give_up(job, reason)

    def refuse_unplaceable(self, find_obstacle):
        """Refuse the jobs without a started task for which `find_obstacle` returns a reason."""
        self._slot_counts.invalidate()
        for job in list(self._waiting.values()):
            if not job.started and job.hold is None:
                job.obstacle = find_obstacle(job.spec)
                if job.obstacle:
                    self.give_up(job, UNPLACEABLE)

    def suspend_unplaceable(self, find_obstacle):
        """Suspend the waiting jobs without a run for which `find_obstacle` returns a reason."""
        for job in list(self._waiting.values()):
            if not any(task.state.is_placed for task in job.tasks) and find_obstacle(job.spec):
                self.suspend(job)

    def give_up(self, job, reason, *, plan=None):
        """Refuse a job of which no task has started, or end it as expired.

        Parameters
        ----------
        job : Job
            The job.
        reason : str
            Why it can't be answered in time.
        plan : Plan, optional
            Plan of the pass that refuses it, if other jobs need the room.
        """
        now = self._now()
        row = self.contention.note_refused(job, reason, now, plan=plan)
        if job.started:
            self.end_job(job, JobOutcome.EXPIRED, reason=reason)
            return
        self.counts["jobs_refused"] += 1
        log.info(
            "job_refused",
            job=job.job_id,
            queue=job.spec.queue.name,
            reason=job.obstacle or reason,
            gave_way_to=row.get("gave_way_to"),
            age_s=row["age_s"],
            tasks=len(job.tasks),
            waiting=len(self._waiting),
        )
        self.drop_job(job)
        self.notify_callers(job)
