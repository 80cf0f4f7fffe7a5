"""Waiting tasks of one job and of one team, and the error that a full queue raises."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = [
    "SMALL_JOB_CREDIT_S",
    "SMALL_JOB_MAX_TASKS",
    "JobQueue",
    "QueueFull",
    "QueuedTask",
    "TeamQueue",
]

SMALL_JOB_MAX_TASKS = 4  # maximum number of waiting tasks of a small job
SMALL_JOB_CREDIT_S = 10.0  # slot time that a team's small jobs may use before the team's turn


class QueueFull(BurdocklugError):
    """Raised when a push would exceed the queue's bound.

    Parameters
    ----------
    message : str
        One line with the queue's bound.
    """

    def __init__(self, message):
        super().__init__(ErrorKind.QUEUE_FULL, message)


@dataclass(slots=True)
class QueuedTask:
    """A waiting task.

    Parameters
    ----------
    task_ref : object
        The object that was passed to `push`.
    team, job : str
        Team and job that the task belongs to.
    cost_s : float
        Expected run time, in seconds.
    """

    task_ref: object
    team: str
    job: str
    cost_s: float


@dataclass(slots=True)
class JobQueue:
    """The waiting tasks of one job."""

    team: str
    tasks: deque = field(default_factory=deque)
    cost_s: float = 0.0
    small: bool = True  # whether at most `SMALL_JOB_MAX_TASKS` of its tasks wait


@dataclass(slots=True)
class TeamQueue:
    """The waiting jobs of one team."""

    weight: float = 1.0
    virtual_time_s: float = 0.0  # the team with the lowest one is served first
    cost_s: float = 0.0
    small_cost_s: float = 0.0  # part of `cost_s` that belongs to small jobs
    tasks: int = 0
    small_served_s: float = 0.0  # cost of small jobs' tasks since the last start of a large job
    small: OrderedDict = field(default_factory=OrderedDict)  # small jobs in round-robin order
    large: OrderedDict = field(default_factory=OrderedDict)  # large jobs likewise

    def next_ring(self):
        """Return `small` or `large`: the jobs whose first one is served next."""
        if self.small and (not self.large or self.small_served_s < SMALL_JOB_CREDIT_S):
            return self.small
        return self.large
