"""Record of recently refused jobs: why each was refused, and which jobs got the room."""

from collections import Counter, deque

__all__ = ["RecentRefusals"]

MAX_RECENT = 200  # bound on memory and on the state dump


class RecentRefusals:
    """The last refused jobs, as plain data for the state dump."""

    def __init__(self):
        self._rows = deque(maxlen=MAX_RECENT)

    def add(self, job, reason, now_s, *, plan=None):
        """Add a job that was refused, or ended because it could not be answered in time.

        Parameters
        ----------
        job : Job
            The job.
        reason : str
            Why it was refused.
        now_s : float
            The current time.
        plan : Plan, optional
            Plan of the pass that refused it.

        Returns
        -------
        dict
            The record.
        """
        row = {
            "job": job.job_id,
            "classes": ["/".join(key) for key in job.account_keys[1:]],
            "reason": reason,
            "age_s": round(now_s - job.received_s, 3),
            "at_s": round(now_s, 3),
        }
        if plan is not None and plan.is_contended:
            row["gave_way_to"] = plan.displaced.get(job.job_id, "")
            row["room_went_to"] = room_by_queue(plan)
        self._rows.append(row)
        return row

    def rows(self):
        """Return the records, the latest last."""
        return list(self._rows)


def room_by_queue(plan):
    """Return the number of jobs of each queue that a plan found room for."""
    if plan.served_by_queue is None:
        taken = plan.jobs[: plan.taken_jobs]
        plan.served_by_queue = dict(Counter(job.spec.queue.name for job in taken))
    return plan.served_by_queue
