"""A bounded queue of waiting tasks of one service, fair between teams and between their jobs."""

from burdocklug.limits._queue_lines import (
    SMALL_CREDIT_S,
    SMALL_TASKS,
    JobLine,
    QueuedTask,
    QueueFull,
    TeamLine,
)

__all__ = ["FairQueue"]

MIN_COST_S = 0.001  # a zero cost would let a team pop without bound
SHARE_GAIN = 0.02  # of the moving average of small jobs' share of the starts


class FairQueue:
    """Waiting tasks of one service in one process.

    Teams share starts by weighted virtual time, and the jobs of a team take turns. Small
    jobs go first, up to `SMALL_CREDIT_S` of slot time ahead of their team's turn, so that a
    single request waits neither behind its own team's large job nor for what that job has used.

    Parameters
    ----------
    max_tasks : int
        Most tasks that may wait.

    Examples
    --------
    >>> queue = FairQueue(max_tasks=100)
    >>> for index in range(3):
    ...     queue.push(f"a{index}", team="a", job="job-a", cost_s=0.1)
    >>> queue.push("b0", team="b", job="job-b", cost_s=0.1)
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
        self._small = 0  # waiting tasks of small jobs
        self._small_share = 0.0
        self._virtual_s = 0.0

    def __len__(self):
        return self._tasks

    def room(self):
        """Return how many more tasks fit."""
        return max(0, self.max_tasks - self._tasks)

    def small_tasks(self):
        """Return how many tasks wait that are among the last few of their job."""
        return self._small

    def small_share(self):
        """Return the share of small jobs' tasks in the last starts, from 0 to 1."""
        return self._small_share

    def set_weight(self, team, weight):
        """Set a team's weight; a team with twice the weight gets twice the slot time."""
        self._team(team).weight = max(float(weight), 0.001)

    def _team(self, team):
        return self._teams.setdefault(team, TeamLine())

    def push(self, task_ref, *, team, job, cost_s, again=False):
        """Append a task.

        Parameters
        ----------
        task_ref : object
            Returned by `pop` as `QueuedTask.task_ref`.
        team, job : str
            Team that pays for the task, and the job by which it may be cancelled.
        cost_s : float
            Expected run time, in seconds.
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
            job_line = self._jobs[job] = JobLine(team)
            line.small[job] = job_line
        cost_s = max(cost_s, MIN_COST_S)
        queued = QueuedTask(task_ref, team, job, cost_s)
        if again:
            job_line.tasks.appendleft(queued)
        else:
            job_line.tasks.append(queued)
        self._small += job_line.small
        job_line.cost_s += cost_s
        if job_line.small:
            line.small_cost_s += cost_s
            if len(job_line.tasks) > SMALL_TASKS:
                self._make_large(line, job, job_line)
        if not line.tasks:
            line.virtual_s = max(line.virtual_s, self._virtual_s)
            self._active[team] = line
        line.tasks += 1
        line.cost_s += cost_s
        self._tasks += 1

    def _make_large(self, line, job, job_line):
        job_line.small = False
        self._small -= len(job_line.tasks)
        line.small_cost_s -= job_line.cost_s
        line.large[job] = line.small.pop(job)

    def _make_small(self, line, job, job_line):
        job_line.small = True
        self._small += len(job_line.tasks)
        line.small_cost_s += job_line.cost_s
        line.small[job] = job_line

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
        chosen, first_s = None, 0.0
        for team, line in self._active.items():
            turn_s = line.virtual_s - (SMALL_CREDIT_S if line.small else 0.0)
            if chosen is None or turn_s < first_s:
                if eligible is None or eligible(team):
                    chosen, first_s = team, turn_s
        return None if chosen is None else self._pop_from(chosen, first_s)

    def _pop_from(self, team, turn_s):
        line = self._active[team]
        ring = line.next_ring()
        job, job_line = ring.popitem(last=False)
        task = job_line.tasks.popleft()
        job_line.cost_s -= task.cost_s
        self._count_start(line, job_line, task)
        if not job_line.tasks:
            del self._jobs[job]
        elif not job_line.small and len(job_line.tasks) <= SMALL_TASKS:
            self._make_small(line, job, job_line)
        else:
            ring[job] = job_line
        self._virtual_s = max(self._virtual_s, turn_s)
        line.virtual_s += task.cost_s / line.weight
        self._forget(team, line, 1, task.cost_s)
        return task

    def _count_start(self, line, job_line, task):
        self._small -= job_line.small
        self._small_share += SHARE_GAIN * (job_line.small - self._small_share)
        line.small_cost_s -= task.cost_s if job_line.small else 0.0
        line.ahead_s = line.ahead_s + task.cost_s if job_line.small else 0.0

    def _forget(self, team, line, tasks, cost_s):
        line.tasks -= tasks
        line.cost_s -= cost_s
        self._tasks -= tasks
        if not line.tasks:
            line.cost_s = line.small_cost_s = 0.0
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
        del (line.small if job_line.small else line.large)[job]
        if job_line.small:
            self._small -= len(job_line.tasks)
            line.small_cost_s -= job_line.cost_s
        self._forget(job_line.team, line, len(job_line.tasks), job_line.cost_s)
        return len(job_line.tasks)

    def eligible_tasks(self, eligible):
        """Return how many tasks wait in teams for which `eligible(team)` is true."""
        return sum(line.tasks for team, line in self._active.items() if eligible(team))

    def waiting_by_team(self):
        """Return the number of waiting tasks by team."""
        return {team: line.tasks for team, line in self._active.items()}

    def team_cost_s(self, team, *, small=False):
        """Return the summed expected run time of a team's waiting tasks, in seconds.

        Parameters
        ----------
        team : str
            The team.
        small : bool, optional
            Whether to count only tasks of small jobs.
        """
        line = self._active.get(team)
        if line is None:
            return 0.0
        return line.small_cost_s if small else line.cost_s

    def is_shared(self, team):
        """Return whether tasks of other teams than `team` wait."""
        return len(self._active) > (team in self._active)

    def expected_wait_s(self, *, team, slots, job_cost_s=0.0, small=False):
        """Return the expected time until a new job of `team` has started its last task.

        Parameters
        ----------
        team : str
            The team that would push.
        slots : float
            Slots that serve this queue, at least a fraction of one.
        job_cost_s : float, optional
            Summed expected run time of the new job's tasks, in seconds.
        small : bool, optional
            Whether the new job is small, so that only small ones are before it.

        Notes
        -----
        A fluid estimate: until the team's own work is done, each other team gets at most its
        weighted share of the same time.
        """
        work_s = self.team_cost_s(team, small=small) + job_cost_s
        span = work_s / self._teams.get(team, TeamLine()).weight
        for name, line in self._active.items():
            if name != team:
                cost_s = line.small_cost_s if small else line.cost_s
                work_s += min(cost_s, span * line.weight)
        return work_s / max(slots, 0.001)
