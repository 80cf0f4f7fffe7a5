"""A bounded queue of waiting tasks of one service, fair between teams and between their jobs."""

from burdocklug.limits._queue_lines import (
    SMALL_JOB_CREDIT_S,
    SMALL_JOB_MAX_TASKS,
    JobQueue,
    QueuedTask,
    QueueFull,
    TeamQueue,
)

__all__ = ["FairQueue"]

MIN_COST_S = 0.001  # tasks of zero cost would let one team be served without bound
SMALL_SHARE_GAIN = 0.02  # weight of one start in the moving average of small jobs' share


class FairQueue:
    """Weighted fair queue of the waiting tasks of one service in one process.

    Teams are served by weighted virtual time, and the jobs of a team by round robin. A job is
    small while at most `SMALL_JOB_MAX_TASKS` of its tasks wait. Small jobs have priority: they may
    use up to `SMALL_JOB_CREDIT_S` of slot time before their team's turn, so that a single request
    waits neither behind a large job of its own team nor for the slot time that this job has used.

    Parameters
    ----------
    max_tasks : int
        Maximum number of waiting tasks.

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
        self._active = {}  # the teams with waiting tasks, in order of activation
        self._jobs = {}
        self._waiting = 0
        self._small_waiting = 0  # waiting tasks of small jobs
        self._small_job_share = 0.0
        self._virtual_time_s = 0.0

    def __len__(self):
        return self._waiting

    def free_capacity(self):
        """Return how many more tasks may be queued."""
        return max(0, self.max_tasks - self._waiting)

    def small_job_tasks(self):
        """Return the number of waiting tasks that belong to small jobs."""
        return self._small_waiting

    def small_job_share(self):
        """Return the moving average of small jobs' share of the starts, from 0 to 1."""
        return self._small_job_share

    def set_weight(self, team, weight):
        """Set a team's weight; a team with twice the weight gets twice the slot time."""
        self._team(team).weight = max(float(weight), 0.001)

    def _team(self, team):
        return self._teams.setdefault(team, TeamQueue())

    def push(self, task_ref, *, team, job, cost_s, is_retry=False):
        """Append a task to its job.

        Parameters
        ----------
        task_ref : object
            Object that `pop` returns as `QueuedTask.task_ref`.
        team, job : str
            Team whose slot time the task uses, and the job that it belongs to.
        cost_s : float
            Expected run time, in seconds.
        is_retry : bool, optional
            Whether the task was popped before and did not start. It is then queued first in its
            job, even if `max_tasks` tasks wait already.

        Raises
        ------
        QueueFull
            If `max_tasks` tasks wait already; the task is not queued.
        """
        if self._waiting >= self.max_tasks and not is_retry:
            raise QueueFull(f"queue holds {self._waiting} tasks of at most {self.max_tasks}")
        team_queue = self._team(team)
        job_queue = self._jobs.get(job)
        if job_queue is None:
            job_queue = self._jobs[job] = JobQueue(team)
            team_queue.small[job] = job_queue
        cost_s = max(cost_s, MIN_COST_S)
        queued = QueuedTask(task_ref, team, job, cost_s)
        if is_retry:
            job_queue.tasks.appendleft(queued)
        else:
            job_queue.tasks.append(queued)
        self._small_waiting += job_queue.small
        job_queue.cost_s += cost_s
        if job_queue.small:
            team_queue.small_cost_s += cost_s
            if len(job_queue.tasks) > SMALL_JOB_MAX_TASKS:
                self._make_large(team_queue, job, job_queue)
        if not team_queue.tasks:
            team_queue.virtual_time_s = max(team_queue.virtual_time_s, self._virtual_time_s)
            self._active[team] = team_queue
        team_queue.tasks += 1
        team_queue.cost_s += cost_s
        self._waiting += 1

    def _make_large(self, team_queue, job, job_queue):
        job_queue.small = False
        self._small_waiting -= len(job_queue.tasks)
        team_queue.small_cost_s -= job_queue.cost_s
        team_queue.large[job] = team_queue.small.pop(job)

    def _make_small(self, team_queue, job, job_queue):
        job_queue.small = True
        self._small_waiting += len(job_queue.tasks)
        team_queue.small_cost_s += job_queue.cost_s
        team_queue.small[job] = job_queue

    def pop(self, eligible=None):
        """Remove and return the next task, or None if no eligible team has one.

        Parameters
        ----------
        eligible : callable, optional
            Takes a team's name and returns whether the team may start a task now. A team that
            may not, such as one over its quota, is skipped and keeps its place in the order.

        Notes
        -----
        The run time is linear in the number of teams with waiting tasks.
        """
        chosen, earliest_s = None, 0.0
        for team, team_queue in self._active.items():
            turn_s = team_queue.virtual_time_s - (SMALL_JOB_CREDIT_S if team_queue.small else 0.0)
            if chosen is None or turn_s < earliest_s:
                if eligible is None or eligible(team):
                    chosen, earliest_s = team, turn_s
        return None if chosen is None else self._pop_from(chosen, earliest_s)

    def _pop_from(self, team, turn_s):
        team_queue = self._active[team]
        ring = team_queue.next_ring()
        job, job_queue = ring.popitem(last=False)
        task = job_queue.tasks.popleft()
        job_queue.cost_s -= task.cost_s
        self._count_start(team_queue, job_queue, task)
        if not job_queue.tasks:
            del self._jobs[job]
        elif not job_queue.small and len(job_queue.tasks) <= SMALL_JOB_MAX_TASKS:
            self._make_small(team_queue, job, job_queue)
        else:
            ring[job] = job_queue
        self._virtual_time_s = max(self._virtual_time_s, turn_s)
        team_queue.virtual_time_s += task.cost_s / team_queue.weight
        self._subtract_tasks(team, team_queue, 1, task.cost_s)
        return task

    def _count_start(self, team_queue, job_queue, task):
        self._small_waiting -= job_queue.small
        self._small_job_share += SMALL_SHARE_GAIN * (job_queue.small - self._small_job_share)
        team_queue.small_cost_s -= task.cost_s if job_queue.small else 0.0
        team_queue.small_served_s = (
            team_queue.small_served_s + task.cost_s if job_queue.small else 0.0
        )

    def _subtract_tasks(self, team, team_queue, tasks, cost_s):
        team_queue.tasks -= tasks
        team_queue.cost_s -= cost_s
        self._waiting -= tasks
        if not team_queue.tasks:
            team_queue.cost_s = team_queue.small_cost_s = 0.0
            del self._active[team]

    def cancel_job(self, job):
        """Remove all waiting tasks of a job in constant time.

        Returns
        -------
        int
            Number of removed tasks.
        """
        job_queue = self._jobs.pop(job, None)
        if job_queue is None:
            return 0
        team_queue = self._teams[job_queue.team]
        del (team_queue.small if job_queue.small else team_queue.large)[job]
        if job_queue.small:
            self._small_waiting -= len(job_queue.tasks)
            team_queue.small_cost_s -= job_queue.cost_s
        self._subtract_tasks(job_queue.team, team_queue, len(job_queue.tasks), job_queue.cost_s)
        return len(job_queue.tasks)

    def eligible_task_count(self, eligible):
        """Return the number of waiting tasks of the teams for which `eligible(team)` is true."""
        return sum(team_queue.tasks for team, team_queue in self._active.items() if eligible(team))

    def waiting_by_team(self):
        """Return the number of waiting tasks by team."""
        return {team: team_queue.tasks for team, team_queue in self._active.items()}

    def team_cost_s(self, team, *, small=False):
        """Return the summed expected run time of a team's waiting tasks, in seconds.

        Parameters
        ----------
        team : str
            The team.
        small : bool, optional
            Whether to count only tasks of small jobs.
        """
        team_queue = self._active.get(team)
        if team_queue is None:
            return 0.0
        return team_queue.small_cost_s if small else team_queue.cost_s

    def has_other_teams(self, team):
        """Return whether any team other than `team` has waiting tasks."""
        return len(self._active) > (team in self._active)

    def expected_wait_s(self, *, team, slots, job_cost_s=0.0, small=False):
        """Return the expected time until the last task of a new job of `team` starts.

        Parameters
        ----------
        team : str
            Team of the new job.
        slots : float
            Slots that serve this queue; may be a fraction of one.
        job_cost_s : float, optional
            Summed expected run time of the new job's tasks, in seconds.
        small : bool, optional
            Whether the new job is small and waits for small jobs only.

        Notes
        -----
        Uses a fluid model: until the team's own work is done, each other team is served for at
        most its weighted share of the same time.
        """
        work_s = self.team_cost_s(team, small=small) + job_cost_s
        span_s = work_s / self._teams.get(team, TeamQueue()).weight
        for name, team_queue in self._active.items():
            if name != team:
                cost_s = team_queue.small_cost_s if small else team_queue.cost_s
                work_s += min(cost_s, span_s * team_queue.weight)
        return work_s / max(slots, 0.001)
