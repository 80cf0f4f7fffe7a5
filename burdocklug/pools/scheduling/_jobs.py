"""State of the jobs and tasks that a scheduler holds."""

import enum
import math
from collections import Counter
from dataclasses import dataclass, field

from burdocklug.pools._messages import JobProgress
from burdocklug.pools._models import task_name
from burdocklug.pools.speed import QueueTimes

__all__ = [
    "Job",
    "Task",
    "TaskState",
    "apply_progress",
    "critical_path_s",
    "job_size_bytes",
    "make_job",
    "progress_of",
]


TASK_BYTES = 512  # of memory, with its name and its sets
UNLIMITED_WAVE = 1_000_000  # larger than any step
NO_RUNS = QueueTimes()  # of a queue of which nothing is known


class TaskState(enum.Enum):
    """State of a task in its scheduler."""

    BLOCKED = "blocked"  # an earlier step is not done
    WAITING = "waiting"
    STARTING = "starting"  # the order was sent but not answered yet
    RUNNING = "running"
    DONE = "done"
    ENDED = "ended"  # the job ended before the task was done

    @property
    def is_placed(self):
        """Whether an endpoint has or may have a run of the task."""
        return self in (TaskState.STARTING, TaskState.RUNNING)

    @property
    def is_over(self):
        """Whether the task is not run any more."""
        return self in (TaskState.DONE, TaskState.ENDED)


@dataclass(slots=True, eq=False)
class Task:
    """One task; `attempt` is the number of its last start, `failures` counts its failed runs.

    `progress` is that of its run, a `RunProgress`.
    """

    job: object
    step: int
    index: int
    name: str
    demand: object
    estimate_s: float
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    failures: int = 0
    endpoint_id: str | None = None
    started_s: float = 0.0
    progress: object = None
    avoided_endpoints: set = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Job:
    """One job of a scheduler; times are on the scheduler's monotonic clock.

    Parameters
    ----------
    spec : JobSpec
        What its caller submitted.
    received_s : float
        When the process of its caller received it.
    expires_s : float
        When its caller stops waiting.
    due_s : float
        Time by which it should end to meet its queue's objective.
    tasks : list of Task
        All its tasks.
    times : QueueTimes
        What tasks of its queue take, in multiples of their estimates.
    wave : int
        Maximum number of tasks of a step planned to run at once; wider steps run in waves.
    waiting : list of Task
        Tasks that can start now.
    outcome : JobOutcome or None
        Its outcome, or None before it has ended.
    started : bool
        Whether any of its tasks was started.
    hold : StartHold or None
        Why none of its tasks may start yet, if another scheduler may have started some.
    suspended : bool
        Whether it was stopped for lack of a waiting caller; a new submission resumes it.
    obstacle : str or None
        Why no endpoint can run it, if it was refused for that.
    waiters : list
        Functions to call with the job when it ends, is refused or moves to another scheduler.
    callers : Counter
        Number of waiting submissions by the incarnation that sent them.
    contact_s : float
        Until when the process of a caller is known to have heard this scheduler; infinity if it is
        this process. Leases of its runs are limited by that.
    caller_domain : str
        Failure domain of the process of its caller; empty if not known.
    account_keys : tuple
        Its classes in the accounts of what each class got.
    is_counted_served : bool
        Whether these accounts count it as served.
    has_returned : bool
        Whether it was refused before and has come back when it was told to.
    """

    spec: object
    received_s: float
    expires_s: float
    due_s: float
    tasks: list
    times: QueueTimes = NO_RUNS
    wave: int = 1
    waiting: list = field(default_factory=list)
    outcome: object = None
    ended_s: float = 0.0
    started: bool = False
    hold: object = None
    suspended: bool = False
    obstacle: object = None
    waiters: list = field(default_factory=list)
    callers: Counter = field(default_factory=Counter)
    contact_s: float = float("inf")
    caller_domain: str = ""
    account_keys: tuple = ()
    is_counted_served: bool = False
    has_returned: bool = False

    @property
    def job_id(self):
        """Id of the job."""
        return self.spec.job_id

    @property
    def size_bytes(self):
        """Rough number of bytes of memory that the job takes up."""
        return job_size_bytes(self.spec)

    @property
    def may_start(self):
        """Whether it has tasks that the scheduler should start."""
        return bool(self.waiting) and self.outcome is None and not self.suspended

    def remaining_s(self):
        """Return the estimated time of its waiting tasks, run in waves, in seconds."""
        if not self.waiting:
            return 0.0
        return self.waiting[0].estimate_s * math.ceil(len(self.waiting) / self.wave)

    def next_wave(self):
        """Return the number of tasks that should start together now."""
        return min(len(self.waiting), self.wave)

    def unblock(self):
        """Enqueue the blocked tasks whose earlier steps are done."""
        unfinished_steps = {t.step for t in self.tasks if t.state is not TaskState.DONE}
        for task in self.tasks:
            if task.state is TaskState.BLOCKED:
                after = self.spec.steps[task.step].after
                if not unfinished_steps.intersection(after):
                    self.enqueue(task)

    def enqueue(self, task):
        """Add a task to those that can start."""
        task.state = TaskState.WAITING
        task.endpoint_id = None
        self.waiting.append(task)


def job_size_bytes(spec):
    """Return the rough number of bytes of memory that a submitted job takes up at its scheduler."""
    return spec.size_bytes + TASK_BYTES * spec.task_count


def progress_of(job, stray_endpoint_ids=frozenset()):
    """Return the progress of a job, for the scheduler that takes it over.

    Parameters
    ----------
    job : Job
        The job.
    stray_endpoint_ids : set of str, optional
        Endpoints that may run its tasks, though these are not placed there.
    """
    return JobProgress(
        tuple(n for n, task in enumerate(job.tasks) if task.state is TaskState.DONE),
        tuple(task.attempt for task in job.tasks),
        tuple(task.failures for task in job.tasks),
        None if job.hold is not None else _endpoint_ids(job, stray_endpoint_ids),
    )


def _endpoint_ids(job, stray_endpoint_ids):
    placed = {task.endpoint_id for task in job.tasks if task.state.is_placed}
    return tuple(sorted(placed.union(stray_endpoint_ids)))


def apply_progress(job, progress):
    """Apply the progress of a job at another scheduler.

    Returns
    -------
    list of Task
        Tasks that are done there and have runs or orders here.
    """
    known = zip(job.tasks, progress.attempts, progress.failures, strict=True)
    for task, attempt, failures in known:
        task.attempt = max(task.attempt, attempt)
        task.failures = max(task.failures, failures)
    placed = [job.tasks[n] for n in progress.done if job.tasks[n].state.is_placed]
    for number in progress.done:
        job.tasks[number].state = TaskState.DONE
    job.waiting = [task for task in job.tasks if task.state is TaskState.WAITING]
    job.started = True
    job.unblock()
    return placed


def critical_path_s(steps, wave=UNLIMITED_WAVE):
    """Return the estimated time of the critical path of a job's steps, in seconds.

    Examples
    --------
    >>> from burdocklug.pools._models import Resources, StepSpec
    >>> steps = [StepSpec(4, Resources(1000), 0.2), StepSpec(1, Resources(1000), 0.3, after=(0,))]
    >>> critical_path_s(steps, 4), critical_path_s(steps, 2)
    (0.5, 0.7)
    """
    ends = []
    for step in steps:
        start_s = max((ends[number] for number in step.after), default=0.0)
        ends.append(start_s + step.estimate_s * math.ceil(step.count / wave))
    return max(ends, default=0.0)


def make_job(spec, *, received_s, wait_s, wave=UNLIMITED_WAVE, times=NO_RUNS):
    """Return a new job with its tasks.

    Parameters
    ----------
    spec : JobSpec
        The submission.
    received_s : float
        When it arrived.
    wait_s : float
        Seconds from then for which its caller waits.
    wave : int, optional
        Maximum number of tasks of a step planned to run at once.
    times : QueueTimes, optional
        What tasks of its queue take.
    """
    rule = spec.queue
    due_s = received_s + rule.objective_factor * critical_path_s(spec.steps, wave) + rule.target_s
    job = Job(spec, received_s, received_s + wait_s, due_s, [], times, wave=wave)
    for number, step in enumerate(spec.steps):
        state = TaskState.BLOCKED if step.after else TaskState.WAITING
        for index in range(step.count):
            name = task_name(spec.job_id, number, index)
            task = Task(job, number, index, name, step.demand, step.estimate_s, state)
            job.tasks.append(task)
    job.waiting = [task for task in job.tasks if task.state is TaskState.WAITING]
    return job
