"""Waiting tasks in the order of their job and team; what a full queue raises."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["SMALL_CREDIT_S", "SMALL_TASKS", "JobLine", "QueueFull", "QueuedTask", "TeamLine"]

SMALL_TASKS = 4  # most waiting tasks of a job that counts as small
SMALL_CREDIT_S = 10.0  # slot time by which a team's small jobs may run ahead of its turn


class QueueFull(BurdocklugError):
    """Raised when a push would exceed the queue's bound.

    Parameters
    ----------
    message : str
        One line that names the bound.
    """

    def __init__(self, message):
        super().__init__(ErrorKind.QUEUE_FULL, message)


@dataclass(slots=True)
class QueuedTask:
    """One waiting task.

    Parameters
    ----------
    task_ref : object
        Whatever the caller of `push` handed in.
    team, job : str
        Owner of the task and the job it belongs to.
    cost_s : float
        Expected run time, in seconds.
    """

    task_ref: object
    team: str
    job: str
    cost_s: float


@dataclass(slots=True)
class JobLine:
    """The waiting tasks of one job."""

    team: str
    tasks: deque = field(default_factory=deque)
    cost_s: float = 0.0
    small: bool = True  # at most `SMALL_TASKS` of its tasks wait


@dataclass(slots=True)
class TeamLine:
    """The waiting jobs of one team."""

    weight: float = 1.0
    virtual_s: float = 0.0
    cost_s: float = 0.0
    small_cost_s: float = 0.0  # that part of it which small jobs make up
    tasks: int = 0
    ahead_s: float = 0.0  # cost of small jobs' tasks since the last start of a large job
    small: OrderedDict = field(default_factory=OrderedDict)  # small jobs in order of their turns
    large: OrderedDict = field(default_factory=OrderedDict)

    def next_ring(self):
        """Return the jobs of which the first has the next turn."""
        if self.small and (not self.large or self.ahead_s < SMALL_CREDIT_S):
            return self.small
        return self.large
