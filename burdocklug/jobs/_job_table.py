"""The running jobs of this process and how they end.

A job ends when its last task finishes, when a task fails, at its deadline, or when it is cancelled,
whichever comes first. It is closed from then on: none of its tasks starts, and results that arrive
later are dropped.
"""

from burdocklug.jobs._jobs import Job, Task, TaskState, encode_complete, encode_error
from burdocklug.kernel import BurdocklugError, ErrorKind, Ran

__all__ = ["JobTable"]


class JobTable:
    """The running jobs of this process, by key.

    Parameters
    ----------
    ctx : DispatchContext
        Provides timers, the ledger and the cancellation of attempts.
    drop_queued : callable
        ``(job)``; drops the queued tasks of a job.
    """

    def __init__(self, ctx, drop_queued):
        self._ctx = ctx
        self._drop_queued = drop_queued
        self.jobs = {}
        self.held_bytes = 0  # memory of the submissions of all running jobs
        self.counts = {"jobs_complete": 0, "jobs_failed": 0}

    def add(self, record, submission, deadline_s, *, size_bytes=0):
        """Add and return the job of a record; its deadline is `deadline_s` seconds from now.

        Raises
        ------
        BurdocklugError
            Of kind ``queue_full`` if there is no memory for its `size_bytes`.
        """
        limit = self._ctx.settings.max_job_bytes
        if self.held_bytes + size_bytes > limit:
            raise BurdocklugError(
                ErrorKind.QUEUE_FULL,
                f"the job needs {size_bytes} bytes of memory beside {self.held_bytes} of others, "
                f"at most {limit} allowed",
            )
        now = self._ctx.timers.now()
        job = Job(
            key=record.key,
            service=submission.service,
            team=submission.team,
            deadline_s=now + deadline_s,
            created_s=now,
            record=record,
            size_bytes=size_bytes,
        )
        job.tasks = [
            Task(job, index, task.payload, task.declared_s, task.accelerators)
            for index, task in enumerate(submission.tasks)
        ]
        job.unfinished = len(job.tasks)
        job.timer = self._ctx.timers.after(deadline_s, lambda: self._expire(job))
        record.job = job
        self.jobs[job.key] = job
        self.held_bytes += size_bytes
        return job

    def finish_task(self, task, value):
        """Store the value of a finished task; the last one completes the job."""
        job = task.job
        task.state = TaskState.FINISHED
        task.value = value
        job.unfinished -= 1
        if job.unfinished == 0 and not job.closed:
            self._close(job)
            self.counts["jobs_complete"] += 1
            self._store_answer(job, encode_complete(job))

    def fail_job_of(self, task, kind, reason):
        """Fail the job of a task that failed or whose outcome is unknown."""
        error = BurdocklugError(kind, f"task {task.index}: {reason}")
        self.fail(task.job, error, task=task.index)

    def cancel(self, job):
        """Cancel a job: drop its queued tasks and cancel its running attempts."""
        self.fail(job, BurdocklugError(ErrorKind.CANCELLED, f"job {job.key} was cancelled"))

    def abandon_all(self):
        """Fail every running job, because this process is about to exit."""
        for job in list(self.jobs.values()):
            message = f"the process that owned job {job.key} shut down"
            self.fail(job, BurdocklugError(ErrorKind.OUTCOME_UNKNOWN, message))

    def _expire(self, job):
        message = f"job {job.key} was not complete by its deadline"
        self.fail(job, BurdocklugError(ErrorKind.DEADLINE_EXCEEDED, message))

    def fail(self, job, error, *, task=None):
        """Fail a job unless it is already closed.

        Parameters
        ----------
        job : Job
            The job to fail.
        error : BurdocklugError
            The reason, stored as the answer of the job.
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
        self._store_answer(job, encode_error(error, key=job.key, ran=ran, task=task))

    def _close(self, job):
        job.closed = True
        job.timer.cancel()
        self._drop_queued(job)
        del self.jobs[job.key]
        self.held_bytes -= job.size_bytes

    def _store_answer(self, job, answer):
        self._ctx.ledger.finish(job.record, answer.status, answer.body, answer.retry_after_s)
