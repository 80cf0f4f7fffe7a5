"""The running jobs of this process, and the four ways in which a job ends.

A job ends with its last task, its first failed task, its deadline or its cancellation, whichever
comes first. From then on it is closed: nothing of it starts, and late results are dropped.
"""

from burdocklug.jobs._jobs import Job, Task, TaskState, encode_complete, encode_error
from burdocklug.kernel import BurdocklugError, ErrorKind, Ran

__all__ = ["JobTable"]


class JobTable:
    """Running jobs by key.

    Parameters
    ----------
    ctx : DispatchContext
        Timers, ledger and cancellations.
    drop_queued : callable
        Takes a job and drops its queued tasks.
    """

    def __init__(self, ctx, drop_queued):
        self._ctx = ctx
        self._drop_queued = drop_queued
        self.jobs = {}
        self.counts = {"jobs_complete": 0, "jobs_failed": 0}

    def add(self, record, submission, deadline_s):
        """Return a new job for a record of the ledger; its deadline is in `deadline_s` seconds."""
        now = self._ctx.timers.now()
        job = Job(
            key=record.key,
            service=submission.service,
            team=submission.team,
            deadline_s=now + deadline_s,
            created_s=now,
            record=record,
        )
        job.tasks = [
            Task(job, index, task.payload, task.declared_s, task.accelerators)
            for index, task in enumerate(submission.tasks)
        ]
        job.unfinished = len(job.tasks)
        job.timer = self._ctx.timers.after(deadline_s, lambda: self._expire(job))
        record.job = job
        self.jobs[job.key] = job
        return job

    def finish_task(self, task, value):
        """Take a task's value; with the last one the job is complete."""
        job = task.job
        task.state = TaskState.FINISHED
        task.value = value
        job.unfinished -= 1
        if job.unfinished == 0 and not job.closed:
            self._close(job)
            self.counts["jobs_complete"] += 1
            self._answer(job, encode_complete(job))

    def fail_task(self, task, kind, why):
        """End the job of a task that failed, or whose outcome is not known."""
        fault = BurdocklugError(kind, f"task {task.index}: {why}")
        self.fail(task.job, fault, task=task.index)

    def cancel(self, job):
        """End a job now; its waiting tasks are dropped and its running ones told to stop."""
        self.fail(job, BurdocklugError(ErrorKind.CANCELLED, f"job {job.key} was cancelled"))

    def abandon_all(self):
        """Fail every running job, since this process is about to end."""
        for job in list(self.jobs.values()):
            fault = f"the process that ran job {job.key} shut down"
            self.fail(job, BurdocklugError(ErrorKind.OUTCOME_UNKNOWN, fault))

    def _expire(self, job):
        fault = f"job {job.key} was not complete by its deadline"
        self.fail(job, BurdocklugError(ErrorKind.DEADLINE_EXCEEDED, fault))

    def fail(self, job, fault, *, task=None):
        """End a job with an error, unless it has ended.

        Parameters
        ----------
        job : Job
            The job.
        fault : BurdocklugError
            Why.
        task : int, optional
            Index of the task that failed.
        """
        if job.closed:
            return
        self._close(job)
        self.counts["jobs_failed"] += 1
        ran = Ran.UNKNOWN if job.ran is Ran.NO and job.in_flight else job.ran
        for running in job.tasks:
            if running.state is TaskState.STARTED:
                self._ctx.cancel_attempt(running.address, running.attempt_id)
        self._answer(job, encode_error(fault, key=job.key, ran=ran, task=task))

    def _close(self, job):
        job.closed = True
        job.timer.cancel()
        self._drop_queued(job)
        del self.jobs[job.key]

    def _answer(self, job, answer):
        self._ctx.ledger.finish(job.record, answer.status, answer.body, answer.retry_after_s)
