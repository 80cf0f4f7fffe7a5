"""The jobs that a scheduler holds: waiting, running, and recently ended ones."""

from collections import Counter

import structlog

from burdocklug.pools._cancellations import Cancellations, forget_after_s
from burdocklug.pools._models import JobOutcome
from burdocklug.pools.contention import Contention
from burdocklug.pools.scheduling._capacity import SlotCounts
from burdocklug.pools.scheduling._jobs import (
    TaskState,
    apply_progress,
    make_job,
    progress_of,
)
from burdocklug.pools.scheduling._latency import LatencyCounts
from burdocklug.pools.scheduling._start_holds import hold_start, merge_holds, release_reason
from burdocklug.pools.scheduling._stray_runs import StrayRuns
from burdocklug.pools.speed import RunSamples

__all__ = ["JobRegistry"]

# Largest wave, the tasks of one step planned to run at once, as a share of the slots of all idle
# endpoints: a job can't expect more beside other jobs.
MAX_WAVE_SHARE = 0.25

log = structlog.get_logger(__name__)


class JobRegistry:
    """Jobs by id, with the state of their tasks; base class of `JobExpiry`.

    Parameters
    ----------
    orders : object
        Its ``stop(task, endpoint)`` sends the order to an endpoint.
    now : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    jobs, endpoints : dict
        Jobs by id and endpoints by id.
    held_bytes : int
        Rough number of bytes of memory that the jobs take up.
    counts : Counter
        Counts of events by name.
    latencies : LatencyCounts
        Histogram of the time from arrival to end of jobs, by queue and outcome.
    contention : Contention
        What the classes of jobs got lately, and the returns of refused jobs.
    samples : RunSamples
        What runs tell of endpoints and queues.
    cancellations : Cancellations
        Cancelled jobs that a process may still submit.
    passed_on : Cancellations
        Refused jobs that a scheduler of another cell may have got.
    strays : StrayRuns
        Runs that endpoints may have of tasks that are not placed there.
    is_reconciled : bool
        Whether all runs of an earlier scheduler are known here or have ended.
    listed_s : float
        When the list was read by which `endpoints` has every endpoint of the pool; ``-inf`` while
        it may lack some.
    submitted_s : float
        When the last new job was submitted.
    """

    def __init__(self, orders, *, now):
        self.jobs = {}
        self.held_bytes = 0
        self.endpoints = {}
        self.counts = Counter()
        self.latencies = LatencyCounts()
        self.contention = Contention(self.counts)
        self.cancellations = Cancellations()
        self.samples = RunSamples(self.counts)
        self.passed_on = Cancellations()
        self.strays = StrayRuns()
        self.is_reconciled = True
        self.listed_s = float("-inf")
        self.submitted_s = now()
        self._orders = orders
        self._now = now
        self._slot_counts = SlotCounts(self.endpoints, now=now)
        self._waiting = {}  # jobs that may start tasks, by id; kept by `_update_waiting`

    def submit(
        self, spec, *, received_s, wait_s, since_heard_s=None, progress=None, caller_domain=""
    ):
        """Add a job, or attach to the job that has its id, and return it.

        Parameters
        ----------
        spec : JobSpec
            The job.
        received_s : float
            When the process of its caller received it.
        wait_s : float
            Seconds from then for which the caller waits.
        since_heard_s : float, optional
            Seconds since the last message from another scheduler that may have started the job;
            None if there is none.
        progress : JobProgress, optional
            Progress of the job at that scheduler.
        caller_domain : str, optional
            Failure domain of the caller's process.
        """
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = self._add(spec, received_s, wait_s, caller_domain)
            if self.cancellations.has(spec.job_id, self._now()):
                self.end_job(job, JobOutcome.CANCELLED, reason="cancelled_before")
                return job
        elif job.outcome is None:
            job.expires_s = max(job.expires_s, received_s + wait_s)
            job.suspended = False
        if since_heard_s is not None and job.outcome is None:
            self._defer_to_other_scheduler(job, since_heard_s, progress)
        self._update_waiting(job)
        return job

    def note_stray(self, name, endpoint_id):
        """Record that an endpoint may run a task that is not placed there."""
        self.strays.add(name, endpoint_id)
        task = self.find_task(name)
        if task is not None:
            task.job.started = True

    def progress_of(self, job):
        """Return the progress of a job, for the scheduler that takes it over."""
        return progress_of(job, self.strays.endpoint_ids(job.job_id))

    def _update_waiting(self, job):
        """Queue a job or remove it from the queue; call this after each change of its state."""
        if job.may_start:
            self._waiting[job.job_id] = job
        else:
            self._waiting.pop(job.job_id, None)

    def _defer_to_other_scheduler(self, job, since_heard_s, progress):
        """Delay the start of a job while its runs under another scheduler may continue.

        This includes a job that was suspended here during a network partition and continued on the
        other side.
        """
        hold = hold_start(self._now(), since_heard_s=since_heard_s, progress=progress)
        job.hold = merge_holds(job.hold, hold)
        log.info(
            "start_held",
            job=job.job_id,
            since_heard_s=round(since_heard_s, 3),
            for_s=round(job.hold.until_s - job.hold.since_s, 3),
            endpoints=job.hold.endpoint_ids and sorted(job.hold.endpoint_ids),
        )
        if progress is None:
            return
        for task in apply_progress(job, progress):
            endpoint = self.endpoints.get(task.endpoint_id)
            if endpoint is not None:
                self._orders.stop(task, endpoint)
        if all(task.state is TaskState.DONE for task in job.tasks):
            self.end_job(job, JobOutcome.COMPLETED, reason="done_elsewhere")

    def _add(self, spec, received_s, wait_s, caller_domain):
        wave = max(1, int(MAX_WAVE_SHARE * self._slot_counts.max_concurrent_tasks(spec)))
        times = self.samples.queue(spec.queue.name)
        job = make_job(spec, received_s=received_s, wait_s=wait_s, wave=wave, times=times)
        job.caller_domain = caller_domain
        job.started = bool(self.strays.endpoint_ids(spec.job_id))
        self.jobs[spec.job_id] = job
        self.held_bytes += job.size_bytes
        self.contention.note_asked(job, self._now())
        self.submitted_s = self._now()
        self.counts["jobs"] += 1
        return job

    def mark_reconciled(self):
        """Record that all runs of an earlier scheduler are known here or have ended."""
        self.is_reconciled = True

    def release_holds(self):
        """End the holds of waiting jobs whose runs under another scheduler are known or over."""
        now = self._now()
        for job in self._waiting.values():
            if job.hold is None:
                continue
            reason = release_reason(
                job.hold,
                now,
                is_reconciled=self.is_reconciled,
                reported_s=self._reported_s,
                listed_ids=self.endpoints if self.listed_s > job.hold.since_s else None,
            )
            if reason:
                held_s = round(now - job.hold.since_s, 3)
                job.hold = None
                log.info("start_hold_ends", job=job.job_id, reason=reason, held_s=held_s)

    def _reported_s(self, endpoint_id):
        endpoint = self.endpoints.get(endpoint_id)
        return endpoint.reported_s if endpoint is not None else float("-inf")

    def suspend(self, job):
        """Stop the runs of a job that has no waiting caller; a new submission resumes it.

        Callers whose process is in touch after all are notified, so that they submit it again.
        """
        if job.outcome is not None or job.suspended:
            return
        job.suspended = True
        self._update_waiting(job)
        self.counts["jobs_suspended"] += 1
        log.info("job_suspended", job=job.job_id, age_s=round(self._now() - job.received_s, 3))
        for task, endpoint in self._placed_tasks(job):
            if task.state.is_placed:
                self._orders.stop(task, endpoint)
        self.notify_callers(job)

    @staticmethod
    def notify_callers(job):
        """Call the functions that wait for a job to end, to be refused or to move."""
        waiters, job.waiters = job.waiters, []
        for wake in waiters:
            wake(job)

    def end_job(self, job, outcome, *, reason):
        """End a job, stop its runs, and notify the callers that wait for its outcome."""
        if job.outcome is not None:
            return
        now = self._now()
        job.outcome, job.ended_s = outcome, now
        job.contact_s = float("inf")  # no other scheduler starts its tasks again
        job.waiting.clear()
        self._update_waiting(job)
        self.counts[f"jobs_{outcome}"] += 1
        self.latencies.add(f"{job.spec.queue.name}.{outcome}", now - job.received_s)
        log.info(
            "job_ended",
            job=job.job_id,
            queue=job.spec.queue.name,
            outcome=str(outcome),
            reason=reason,
            age_s=round(now - job.received_s, 3),
            late_s=round(now - job.due_s, 3),
            waits_s=round(job.expires_s - job.received_s, 3),
        )
        for task in job.tasks:
            if task.state.is_placed:
                self._stop(task)
            elif task.state is not TaskState.DONE:
                task.state = TaskState.ENDED
        self.notify_callers(job)

    def cancel(self, job_id, *, longest_wait_s):
        """Cancel a job, known or not, for as long as a process may submit it.

        Parameters
        ----------
        job_id : str
            Id of the job.
        longest_wait_s : float
            Longest time for which the caller of an unknown job may wait, in seconds.

        Returns
        -------
        Job or None
            The job, if it is known.
        """
        job = self.jobs.get(job_id)
        if job is not None:
            self.end_job(job, JobOutcome.CANCELLED, reason="cancelled")
        if job is None or job.outcome is JobOutcome.CANCELLED:
            now = self._now()
            expires_s = now + longest_wait_s if job is None else job.expires_s
            self.cancellations.add(job_id, forget_after_s(now, expires_s=expires_s))
        return job

    def withdraw(self, job, sender, *, only_waiting):
        """Give up a job for a process, unless another process waits for it too.

        A job that has not run is dropped. The runs of others are stopped, and a new submission
        resumes them.

        Parameters
        ----------
        job : Job
            The job.
        sender : str
            Incarnation of the process, which shuts down or whose last caller has left.
        only_waiting : bool
            Whether to leave the job alone if it may have run.
        """
        has_not_run = not job.started and job.hold is None
        if job.outcome is not None or (only_waiting and not has_not_run):
            return
        if any(other != sender for other in job.callers):
            if not only_waiting:
                job.callers.pop(sender, None)
            return
        log.info("job_withdrawn", job=job.job_id, sender=sender, started=job.started)
        if has_not_run:
            self.drop_job(job)
            self.notify_callers(job)
        else:
            self.suspend(job)

    def drop_job(self, job):
        """Remove a job of which no task has started, so that its id is free again."""
        self._waiting.pop(job.job_id, None)
        if self.jobs.pop(job.job_id, None) is not None:
            self.held_bytes -= job.size_bytes

    def _stop(self, task):
        task.state = TaskState.ENDED
        endpoint = self.endpoints.get(task.endpoint_id)
        if endpoint is not None and task.name in endpoint.runs:
            self._orders.stop(task, endpoint)

    def forget_ended(self):
        """Remove ended and suspended jobs that nobody submits any more and that have no runs."""
        now = self._now()
        for job in list(self.jobs.values()):
            ended_s = job.ended_s if job.outcome else job.expires_s
            if (job.outcome or job.suspended) and forget_after_s(ended_s) < now:
                if not any(
                    task.name in endpoint.runs for task, endpoint in self._placed_tasks(job)
                ):
                    del self.jobs[job.job_id]
                    self.held_bytes -= job.size_bytes

    def _placed_tasks(self, job):
        for task in job.tasks:
            endpoint = self.endpoints.get(task.endpoint_id)
            if endpoint is not None:
                yield task, endpoint

    def pending(self, queue):
        """Return the number of jobs of a queue of which no task has started."""
        return sum(j.spec.queue.name == queue and not j.started for j in self._waiting.values())

    def find_task(self, name):
        """Return the task with a given name, or None if no job here has it."""
        job = self.jobs.get(name.partition(".")[0])
        if job is None:
            return None
        return next((task for task in job.tasks if task.name == name), None)

    @property
    def waiting_jobs(self):
        """Number of jobs with waiting tasks."""
        return len(self._waiting)

    @property
    def waiting_tasks(self):
        """Number of waiting tasks."""
        return sum(len(job.waiting) for job in self._waiting.values())

    def _requeue(self, task):
        task.job.enqueue(task)
        self._update_waiting(task.job)
