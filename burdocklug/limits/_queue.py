"""A bounded queue of waiting tasks of one service, fair between teams and between their jobs."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["FairQueue", "QueueFull", "QueuedTask"]

MIN_COST_S = 0.001  # a zero cost would let a team pop without bound

SMALL_TASKS = 4  # most waiting tasks of a job that counts as small


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
    queued_s : float
        Time of the push.
    """

    task_ref: object
    team: str
    job: str
    cost_s: float
    queued_s: float


@dataclass(slots=True)
class _JobLine:
    team: str
    tasks: deque = field(default_factory=deque)
    cost_s: float = 0.0


@dataclass(slots=True)
class _TeamLine:
    weight: float = 1.0
    virtual_s: float = 0.0
    cost_s: float = 0.0
    tasks: int = 0
    ring: OrderedDict = field(default_factory=OrderedDict)  # jobs in order of their turns


def _small(tasks):
    return tasks if tasks <= SMALL_TASKS else 0


class FairQueue:
    """Waiting tasks of one service in one process.

    Teams share starts by weighted virtual time; inside a team its jobs take turns, so that a
    single request doesn't wait behind a large job of its own team.

    Parameters
    ----------
    max_tasks : int
        Most tasks that may wait.

    Examples
    --------
    >>> queue = FairQueue(max_tasks=100)
    >>> for index in range(3):
    ...     queue.push(f"a{index}", team="a", job="job-a", cost_s=0.1, now_s=0.0)
    >>> queue.push("b0", team="b", job="job-b", cost_s=0.1, now_s=0.0)
    >>> [queue.pop().task_ref for _ in range(3)]
    ['a0', 'b0', 'a1']
    >>> queue.cancel_job("job-a")
    1
    >>> len(queue)
    0
    """

    def __init__(self, *, max_tasks):
        self.max_tasks = max_tasks
        self._teams = {}
        self._active = {}  # team name to line, in order of activation
        self._jobs = {}
        self._tasks = 0
        self._small = 0  # waiting tasks of jobs with few waiting tasks
        self._virtual_s = 0.0

    def __len__(self):
        return self._tasks

    def room(self):
        """Return how many more tasks fit."""
        return max(0, self.max_tasks - self._tasks)

    def small_tasks(self):
        """Return how many tasks wait that are among the last few of their job."""
        return self._small

    def set_weight(self, team, weight):
        """Set a team's weight; a team with twice the weight gets twice the slot time."""
        self._team(team).weight = max(float(weight), 0.001)

    def _team(self, team):
        return self._teams.setdefault(team, _TeamLine())

    def push(self, task_ref, *, team, job, cost_s, now_s=0.0, again=False):
        """Append a task.

        Parameters
        ----------
        task_ref : object
            Returned by `pop` as `QueuedTask.task_ref`.
        team, job : str
            Team that pays for the task, and the job by which it may be cancelled.
        cost_s : float
            Expected run time, in seconds.
        now_s : float, optional
            The time, kept for `oldest_age_s`.
        again : bool, optional
            The task was popped before and did not start: it goes first in its job, past the bound.

        Raises
        ------
        QueueFull
            If `max_tasks` tasks wait already; nothing was queued.
        """
        if self._tasks >= self.max_tasks and not again:
            raise QueueFull(f"queue holds {self._tasks} tasks of at most {self.max_tasks}")
        line = self._team(team)
        job_line = self._jobs.get(job)
        if job_line is None:
            job_line = self._jobs[job] = _JobLine(team)
            line.ring[job] = job_line
        cost_s = max(cost_s, MIN_COST_S)
        queued = QueuedTask(task_ref, team, job, cost_s, now_s)
        if again:
            job_line.tasks.appendleft(queued)
        else:
            job_line.tasks.append(queued)
        self._small += _small(len(job_line.tasks)) - _small(len(job_line.tasks) - 1)
        job_line.cost_s += cost_s
        if not line.tasks:
            line.virtual_s = max(line.virtual_s, self._virtual_s)
            self._active[team] = line
        line.tasks += 1
        line.cost_s += cost_s
        self._tasks += 1

    def pop(self, eligible=None):
        """Remove and return the next task, or None.

        Parameters
        ----------
        eligible : callable, optional
            Takes a team's name and returns whether it may start a task now; teams over their
            quota are passed over and keep their turn.

        Notes
        -----
        Takes time in proportion to the number of teams with waiting tasks.
        """
        chosen = None
        for team, line in self._active.items():
            if chosen is None or line.virtual_s < self._active[chosen].virtual_s:
                if eligible is None or eligible(team):
                    chosen = team
        return None if chosen is None else self._pop_from(chosen)

    def _pop_from(self, team):
        line = self._active[team]
        job, job_line = line.ring.popitem(last=False)
        task = job_line.tasks.popleft()
        self._small += _small(len(job_line.tasks)) - _small(len(job_line.tasks) + 1)
        job_line.cost_s -= task.cost_s
        if job_line.tasks:
            line.ring[job] = job_line
        else:
            del self._jobs[job]
        self._virtual_s = max(self._virtual_s, line.virtual_s)
        line.virtual_s += task.cost_s / line.weight
        self._forget(team, line, 1, task.cost_s)
        return task

    def _forget(self, team, line, tasks, cost_s):
        line.tasks -= tasks
        line.cost_s -= cost_s
        self._tasks -= tasks
        if not line.tasks:
            line.cost_s = 0.0
            del self._active[team]

    def cancel_job(self, job):
        """Drop every waiting task of a job in constant time.

        Returns
        -------
        int
            Number of tasks that were dropped and will not be popped.
        """
        job_line = self._jobs.pop(job, None)
        if job_line is None:
            return 0
        line = self._teams[job_line.team]
        del line.ring[job]
        self._small -= _small(len(job_line.tasks))
        self._forget(job_line.team, line, len(job_line.tasks), job_line.cost_s)
        return len(job_line.tasks)

    def eligible_tasks(self, eligible):
        """Return how many tasks wait in teams for which `eligible(team)` is true."""
        return sum(line.tasks for team, line in self._active.items() if eligible(team))

    def waiting_by_team(self):
        """Return the number of waiting tasks by team."""
        return {team: line.tasks for team, line in self._active.items()}

    def team_cost_s(self, team):
        """Return the summed expected run time of a team's waiting tasks, in seconds."""
        line = self._active.get(team)
        return 0.0 if line is None else line.cost_s

    def expected_wait_s(self, *, team, slots, job_cost_s=0.0):
        """Return the expected time until a new job of `team` has started its last task.

        Parameters
        ----------
        team : str
            The team that would push.
        slots : float
            Slots that serve this queue, at least a fraction of one.
        job_cost_s : float, optional
            Summed expected run time of the new job's tasks, in seconds.

        Notes
        -----
        A fluid estimate: until the team's own work is done, each other team gets at most its
        weighted share of the same time.
        """
        own = self._teams.get(team, _TeamLine())
        span = (own.cost_s + job_cost_s) / own.weight
        work_s = own.cost_s + job_cost_s
        for name, line in self._active.items():
            if name != team:
                work_s += min(line.cost_s, span * line.weight)
        return work_s / max(slots, 0.001)
