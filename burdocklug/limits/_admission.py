"""Admission: whether a job may be queued, decided before anything of it runs."""

from dataclasses import dataclass

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.limits._queue_lines import SMALL_TASKS, QueueFull

__all__ = [
    "AdmissionLimits",
    "EndpointSize",
    "JobDemand",
    "TaskImpossible",
    "WouldMissDeadline",
    "admit",
]

MIN_RETRY_S = 0.05
LATER_WORK = 3.0  # of other teams, that comes later and is served between, over what waits now


class TaskImpossible(BurdocklugError):
    """Raised for a job that no endpoint of the service could ever run.

    Parameters
    ----------
    message : str
        One line that names the limit and the job's value.
    """

    def __init__(self, message):
        super().__init__(ErrorKind.TASK_IMPOSSIBLE, message)


class WouldMissDeadline(BurdocklugError):
    """Raised for a job whose expected wait exceeds its deadline.

    Parameters
    ----------
    message : str
        One line that names the wait and the deadline.
    retry_after_s : float
        When the job would be admitted if nothing else came, in seconds.
    """

    def __init__(self, message, *, retry_after_s):
        super().__init__(ErrorKind.WOULD_MISS_DEADLINE, message, retry_after_s=retry_after_s)


@dataclass(frozen=True, slots=True)
class EndpointSize:
    """What one endpoint of the service can hold."""

    slots: int
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of the service and the team.

    Parameters
    ----------
    max_tasks : int
        Most tasks of one job.
    endpoints : tuple of EndpointSize
        All endpoints of the service, usable now or not.
    slots : float
        Slots that serve this process's queue.
    team_slots : float
        Most slots that the team may use from this process; its quota at most.
    team_quota : int
        The team's `max_running`.
    """

    max_tasks: int
    endpoints: tuple
    slots: float
    team_slots: float
    team_quota: int


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What a job asks for.

    Parameters
    ----------
    team : str
        The team that pays.
    costs_s : tuple of float
        Expected run time of each task, in seconds.
    deadline_s : float
        Time until the caller gives up, in seconds.
    accelerators : int
        Accelerators that a task needs.
    slots : int
        Slots that a task needs.
    """

    team: str
    costs_s: tuple
    deadline_s: float
    accelerators: int = 0
    slots: int = 1


def admit(job, *, queue, limits):
    """Return the expected time until the job's answer, or raise why it is refused.

    Parameters
    ----------
    job : JobDemand
        What the job asks for.
    queue : FairQueue
        The queue of the service in this process.
    limits : AdmissionLimits
        Limits in force.

    Returns
    -------
    float
        Expected time until the last task ends, in seconds.

    Raises
    ------
    TaskImpossible
        If the job could never run.
    QueueFull
        If the queue's bound would be exceeded.
    WouldMissDeadline
        If the answer is expected after the deadline.

    Examples
    --------
    >>> from burdocklug.limits import FairQueue
    >>> limits = AdmissionLimits(
    ...     max_tasks=10, endpoints=(EndpointSize(8),), slots=8, team_slots=8, team_quota=8
    ... )
    >>> admit(JobDemand("a", (0.5, 0.4), 2.0), queue=FairQueue(max_tasks=10), limits=limits)
    0.55
    """
    _check_possible(job, limits)
    tasks = len(job.costs_s)
    if tasks > queue.room():
        raise QueueFull(f"queue has room for {queue.room()} tasks, the job has {tasks}")
    longest_s = max(job.costs_s)
    answer_s = longest_s + _wait_s(job, queue, limits, sum(job.costs_s) - longest_s)
    if answer_s > job.deadline_s:
        raise WouldMissDeadline(
            f"expected answer after {answer_s:.3f} s, deadline after {job.deadline_s:.3f} s",
            retry_after_s=max(MIN_RETRY_S, answer_s - job.deadline_s),
        )
    return answer_s


def _check_possible(job, limits):
    tasks = len(job.costs_s)
    if tasks > limits.max_tasks:
        raise TaskImpossible(f"job has {tasks} tasks, max_tasks is {limits.max_tasks}")
    if limits.team_quota < 1:
        raise TaskImpossible(f"max_running of team {job.team} is {limits.team_quota}")
    most = max((endpoint.accelerators for endpoint in limits.endpoints), default=0)
    if job.accelerators > most:
        raise TaskImpossible(
            f"task needs {job.accelerators} accelerators, no endpoint has more than {most}"
        )
    most = max((endpoint.slots for endpoint in limits.endpoints), default=0)
    if limits.endpoints and job.slots > most:
        raise TaskImpossible(f"task needs {job.slots} slots, no endpoint has more than {most}")
    if not any(
        endpoint.slots >= job.slots and endpoint.accelerators >= job.accelerators
        for endpoint in limits.endpoints
    ):
        if limits.endpoints:
            raise TaskImpossible(
                f"no endpoint has both {job.slots} slots and {job.accelerators} accelerators"
            )


def _wait_s(job, queue, limits, other_cost_s):
    """Return the time until the last task starts, by slots and by the team's own limit."""
    small = len(job.costs_s) <= SMALL_TASKS
    shared_s = queue.expected_wait_s(
        team=job.team, slots=limits.slots, job_cost_s=other_cost_s, small=small
    )
    if not small and queue.is_shared(job.team):
        shared_s *= 1.0 + LATER_WORK
    own_s = queue.team_cost_s(job.team, small=small) + other_cost_s
    return max(shared_s, own_s / max(limits.team_slots, 0.001))
