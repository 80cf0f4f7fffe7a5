"""State of the jobs and tasks that a scheduler holds."""

import enum
import math
from collections import Counter
from dataclasses import dataclass, field

from burdocklug.pools._messages import JobProgress
from burdocklug.pools._models import task_name

__all__ = ["Job", "Task", "TaskState", "apply_progress", "make_job", "progress_of"]


MAX_WAVE = 1_000_000  # no bound


class TaskState(enum.Enum):
    """Where a task is on its way."""

    BLOCKED = "blocked"  # an earlier step is not done
    WAITING = "waiting"
    STARTING = "starting"  # the order is sent and not answered
    RUNNING = "running"
    DONE = "done"
    ENDED = "ended"  # the job ended without it

    @property
    def is_placed(self):
        """Whether an endpoint has, or may have, a run of the task."""
        return self in (TaskState.STARTING, TaskState.RUNNING)


@dataclass(slots=True, eq=False)
class Task:
    """One task; `attempt` numbers its starts, `failures` counts its runs that ended failed."""

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
    avoided: set = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Job:
    """One job of a scheduler; times are of its monotonic clock.

    Parameters
    ----------
    spec : JobSpec
        What its caller submitted.
    received_s : float
        When its caller's process received it.
    expires_s : float
        When its caller stops waiting.
    goal_s : float
        When it should have ended.
    not_before_s : float
        Earliest start of its tasks, as runs of an earlier scheduler may go on until then.
    tasks : list of Task
        All its tasks.
    wave : int
        Tasks of a step that may be expected to run at once; wider steps run in waves.
    waiting : list of Task
        Those that are to be started.
    outcome : JobOutcome or None
        How it ended.
    started : bool
        Whether a task has begun.
    unsettled : bool
        Whether runs of an earlier scheduler may be at endpoints that were not looked at yet.
    suspended : bool
        Whether nobody waits for it any more; it goes on when it is submitted again.
    waiters : list
        Functions to call with the job when it ends or moves.
    callers : Counter
        Waiting submissions by the incarnation that sent them.
    """

    spec: object
    received_s: float
    expires_s: float
    goal_s: float
    tasks: list
    not_before_s: float = 0.0
    wave: int = 1
    waiting: list = field(default_factory=list)
    outcome: object = None
    ended_s: float = 0.0
    started: bool = False
    unsettled: bool = False
    suspended: bool = False
    waiters: list = field(default_factory=list)
    callers: Counter = field(default_factory=Counter)

    @property
    def job_id(self):
        """Id of the job."""
        return self.spec.job_id

    def remaining_s(self):
        """Return how long its waiting tasks take if a wave of them begins at once, in seconds."""
        if not self.waiting:
            return 0.0
        return self.waiting[0].estimate_s * math.ceil(len(self.waiting) / self.wave)

    def next_wave(self):
        """Return the number of tasks that should begin together now."""
        return min(len(self.waiting), self.wave)

    def unblock(self):
        """Let the tasks wait whose earlier steps are done."""
        open_steps = {t.step for t in self.tasks if t.state is not TaskState.DONE}
        for task in self.tasks:
            if task.state is TaskState.BLOCKED:
                after = self.spec.steps[task.step].after
                if not open_steps.intersection(after):
                    self.let_wait(task)

    def let_wait(self, task):
        """Note that a task is to be started."""
        task.state = TaskState.WAITING
        task.endpoint_id = None
        self.waiting.append(task)


def progress_of(job):
    """Return what is done of a job, for the scheduler that goes on with it."""
    return JobProgress(
        tuple(n for n, task in enumerate(job.tasks) if task.state is TaskState.DONE),
        tuple(task.attempt for task in job.tasks),
        tuple(task.failures for task in job.tasks),
    )


def apply_progress(job, progress):
    """Bring a job to the state in which another scheduler left it; what runs here goes on."""
    known = zip(job.tasks, progress.attempts, progress.failures, strict=True)
    for task, attempt, failures in known:
        task.attempt = max(task.attempt, attempt)
        task.failures = max(task.failures, failures)
    for number in progress.done:
        if not job.tasks[number].state.is_placed:
            job.tasks[number].state = TaskState.DONE
    job.waiting = [task for task in job.tasks if task.state is TaskState.WAITING]
    job.started = True
    job.unblock()


def longest_chain_s(steps, wave):
    """Return the estimated time of the longest chain of steps, in seconds.

    Examples
    --------
    >>> from burdocklug.pools._models import Room, StepSpec
    >>> steps = [StepSpec(4, Room(1000), 0.2), StepSpec(1, Room(1000), 0.3, after=(0,))]
    >>> longest_chain_s(steps, 4), longest_chain_s(steps, 2)
    (0.5, 0.7)
    """
    ends = []
    for step in steps:
        begin_s = max((ends[number] for number in step.after), default=0.0)
        ends.append(begin_s + step.estimate_s * math.ceil(step.count / wave))
    return max(ends, default=0.0)


def make_job(spec, *, received_s, wait_s, wave=MAX_WAVE):
    """Return a new job.

    Parameters
    ----------
    spec : JobSpec
        The submission.
    received_s : float
        When it arrived.
    wait_s : float
        Seconds from then for which its caller waits.
    wave : int, optional
        Tasks of a step that may be expected to run at once.
    """
    rule = spec.queue
    goal_s = received_s + rule.objective_factor * longest_chain_s(spec.steps, wave) + rule.target_s
    job = Job(spec, received_s, received_s + wait_s, goal_s, [], wave=wave)
    for number, step in enumerate(spec.steps):
        state = TaskState.BLOCKED if step.after else TaskState.WAITING
        for index in range(step.count):
            name = task_name(spec.job_id, number, index)
            task = Task(job, number, index, name, step.demand, step.estimate_s, state)
            job.tasks.append(task)
    job.waiting = [task for task in job.tasks if task.state is TaskState.WAITING]
    return job
