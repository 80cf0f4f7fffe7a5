"""The jobs that a scheduler holds: those that wait, those under way, and those ended lately."""

from collections import Counter

import structlog

from burdocklug.pools._capacity import PlaceCounts
from burdocklug.pools._jobs import TaskState, apply_progress, make_job
from burdocklug.pools._latency import LatencyCounts
from burdocklug.pools._models import JobOutcome

__all__ = ["JobBook"]

QUIET_S = 1.2  # by then what another scheduler had begun was stopped, or has lapsed
KEEP_ENDED_S = 10.0  # outcomes are kept for callers that ask again after a broken connection
WAVE_SHARE = 0.25  # of all places; a wider step can't expect to run at once beside other jobs

log = structlog.get_logger(__name__)


class JobBook:
    """Jobs by id, with the runs of their tasks at endpoints.

    Parameters
    ----------
    orders : object
        Its ``stop(task, room)`` sends the order to an endpoint.
    now : callable
        Returns monotonic seconds.

    Attributes
    ----------
    jobs, rooms : dict
        Jobs by id and endpoints by id.
    counts : Counter
        What happened, by name.
    latencies : LatencyCounts
        How long jobs took from their arrival, by queue and outcome.
    settled : bool
        Whether no endpoint has runs of an earlier scheduler that are not known here.
    submitted_s : float
        When the last job came.
    """

    def __init__(self, orders, *, now):
        self.jobs = {}
        self.rooms = {}
        self.counts = Counter()
        self.latencies = LatencyCounts()
        self.settled = True
        self.submitted_s = now()
        self._orders = orders
        self._now = now
        self._places = PlaceCounts(self.rooms, now=now)
        self._waiting = {}  # jobs with tasks that wait, by id

    def submit(self, spec, *, received_s, wait_s, quiet_s=None, progress=None):
        """Take a job, or attach to the one that has its id, and return it.

        Parameters
        ----------
        spec : JobSpec
            The job.
        received_s : float
            When its caller's process received it.
        wait_s : float
            Seconds from then for which the caller waits.
        quiet_s : float, optional
            Seconds since an earlier scheduler was heard that may have begun the job.
        progress : JobProgress, optional
            What that one has done of it.
        """
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = self._add(spec, received_s, wait_s)
        elif job.outcome is None:
            job.expires_s = max(job.expires_s, received_s + wait_s)
            job.suspended = False
            self._waiting[job.job_id] = job
        if quiet_s is not None and job.outcome is None:
            self._note_other_scheduler(job, quiet_s, progress)
        return job

    def _note_other_scheduler(self, job, quiet_s, progress):
        """Start nothing of a job while runs of another scheduler may go on.

        That holds for a job that was suspended here in a cut, and went on on its other side, too.
        """
        job.unsettled = not self.settled
        job.not_before_s = self._now() + max(0.0, QUIET_S - quiet_s)
        if progress is None:
            return
        apply_progress(job, progress)
        job.not_before_s = 0.0 if job.unsettled else job.not_before_s
        if all(task.state is TaskState.DONE for task in job.tasks):
            self.end_job(job, JobOutcome.COMPLETED, reason="done_elsewhere")

    def _add(self, spec, received_s, wait_s):
        wave = max(1, int(WAVE_SHARE * self._places.most_at_once(spec)))
        job = make_job(spec, received_s=received_s, wait_s=wait_s, wave=wave)
        self.jobs[spec.job_id] = job
        self.submitted_s = self._now()
        self._waiting[spec.job_id] = job
        self.counts["jobs"] += 1
        return job

    def settle(self):
        """Note that no endpoint has runs of an earlier scheduler that are not known here."""
        self.settled = True
        for job in self.jobs.values():
            job.unsettled = False

    def suspend(self, job):
        """Stop what runs of a job for which nobody waits; a new submission goes on with it."""
        if job.outcome is not None or job.suspended:
            return
        job.suspended = True
        self._waiting.pop(job.job_id, None)
        self.counts["jobs_suspended"] += 1
        log.info("job_suspended", job=job.job_id, age_s=round(self._now() - job.received_s, 3))
        for task, room in self._placed(job):
            if task.state.is_placed:
                self._orders.stop(task, room)

    def end_job(self, job, outcome, *, reason):
        """End a job, stop what runs of it, and wake those who wait for its outcome."""
        if job.outcome is not None:
            return
        now = self._now()
        job.outcome, job.ended_s = outcome, now
        self._waiting.pop(job.job_id, None)
        job.waiting.clear()
        self.counts[f"jobs_{outcome}"] += 1
        self.latencies.add(f"{job.spec.queue.name}.{outcome}", now - job.received_s)
        log.info(
            "job_ended",
            job=job.job_id,
            queue=job.spec.queue.name,
            outcome=str(outcome),
            reason=reason,
            age_s=round(now - job.received_s, 3),
            late_s=round(now - job.goal_s, 3),
            waits_s=round(job.expires_s - job.received_s, 3),
        )
        for task in job.tasks:
            if task.state.is_placed:
                self._stop(task)
            elif task.state is not TaskState.DONE:
                task.state = TaskState.ENDED
        waiters, job.waiters = job.waiters, []
        for wake in waiters:
            wake(job)

    def drop_job(self, job):
        """Forget a job that nothing of has begun, so that its id is free again."""
        self._waiting.pop(job.job_id, None)
        self.jobs.pop(job.job_id, None)

    def _stop(self, task):
        task.state = TaskState.ENDED
        room = self.rooms.get(task.endpoint_id)
        if room is not None and task.name in room.runs:
            self._orders.stop(task, room)

    def forget_ended(self):
        """Forget outcomes that are older than `KEEP_ENDED_S`."""
        now = self._now()
        for job in list(self.jobs.values()):
            over_s = job.ended_s if job.outcome else job.expires_s
            if (job.outcome or job.suspended) and over_s < now - KEEP_ENDED_S:
                if not any(task.name in room.runs for task, room in self._placed(job)):
                    del self.jobs[job.job_id]

    def _placed(self, job):
        for task in job.tasks:
            room = self.rooms.get(task.endpoint_id)
            if room is not None:
                yield task, room

    def pending(self, queue):
        """Return how many jobs of a queue have begun nothing."""
        return sum(j.spec.queue.name == queue and not j.started for j in self._waiting.values())

    def find_task(self, name):
        """Return the task of a name, or None if no job here has it."""
        job = self.jobs.get(name.partition(".")[0])
        if job is None:
            return None
        return next((task for task in job.tasks if task.name == name), None)

    @property
    def waiting_jobs(self):
        """Number of jobs with tasks that wait."""
        return len(self._waiting)

    @property
    def waiting_tasks(self):
        """Number of tasks that wait."""
        return sum(len(job.waiting) for job in self._waiting.values())

    def _wait_again(self, task):
        task.job.let_wait(task)
        if not task.job.suspended:
            self._waiting[task.job.job_id] = task.job
