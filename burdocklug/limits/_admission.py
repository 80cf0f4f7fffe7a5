"""Admission control: decides whether a job may be queued, before any of its tasks runs."""

from dataclasses import dataclass

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.limits._queue_lines import SMALL_JOB_MAX_TASKS, QueueFull

__all__ = [
    "AdmissionLimits",
    "EndpointSize",
    "JobDemand",
    "TaskImpossible",
    "WouldMissDeadline",
    "admit",
]

MIN_RETRY_AFTER_S = 0.05

# Ratio of a large job's wait for tasks that other teams submit after it to its wait for the tasks
# queued before it.
LATER_ARRIVALS_RATIO = 3.0


class TaskImpossible(BurdocklugError):
    """Raised for a job that can never run under the limits and on the endpoints of its service.

    Parameters
    ----------
    message : str
        One line with the limit and the job's value.
    """

    def __init__(self, message):
        super().__init__(ErrorKind.TASK_IMPOSSIBLE, message)


class WouldMissDeadline(BurdocklugError):
    """Raised for a job whose expected response time exceeds its deadline.

    Parameters
    ----------
    message : str
        One line with the expected response time and the deadline.
    retry_after_s : float
        Delay after which the job would be admitted if no other job arrived, in seconds.
    """

    def __init__(self, message, *, retry_after_s):
        super().__init__(ErrorKind.WOULD_MISS_DEADLINE, message, retry_after_s=retry_after_s)


@dataclass(frozen=True, slots=True)
class EndpointSize:
    """Slots and accelerators of one endpoint of the service."""

    slots: int
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of the service and the team that apply to one job.

    Parameters
    ----------
    max_tasks : int
        Maximum number of tasks of one job.
    endpoints : tuple of EndpointSize
        All configured endpoints of the service, whether usable now or not.
    slots : float
        Slots that serve the queue of this process.
    team_slots : float
        Maximum number of slots that the team may use through this process, at most its quota.
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
    """Resources and deadline that a job requests.

    Parameters
    ----------
    team : str
        The team whose quota the tasks count against.
    costs_s : tuple of float
        Expected run time of each task, in seconds.
    deadline_s : float
        Time from now until the caller gives up, in seconds.
    accelerators : int
        Accelerators that each task needs.
    slots : int
        Slots that each task needs.
    """

    team: str
    costs_s: tuple
    deadline_s: float
    accelerators: int = 0
    slots: int = 1


def admit(job, *, queue, limits):
    """Return the expected response time of a job, or raise the reason for its refusal.

    Parameters
    ----------
    job : JobDemand
        Resources and deadline of the job.
    queue : FairQueue
        The queue of the service in this process.
    limits : AdmissionLimits
        Limits of the service and the team.

    Returns
    -------
    float
        Expected time until the last task ends, in seconds.

    Raises
    ------
    TaskImpossible
        If the job could never run.
    QueueFull
        If the tasks would exceed the queue's bound.
    WouldMissDeadline
        If the last task is expected to end after the deadline.

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
    if tasks > queue.free_capacity():
        raise QueueFull(f"queue has room for {queue.free_capacity()} tasks, the job has {tasks}")
    longest_s = max(job.costs_s)
    answer_s = longest_s + _expected_wait_s(job, queue, limits, sum(job.costs_s) - longest_s)
    if answer_s > job.deadline_s:
        raise WouldMissDeadline(
            f"expected answer after {answer_s:.3f} s, deadline after {job.deadline_s:.3f} s",
            retry_after_s=max(MIN_RETRY_AFTER_S, answer_s - job.deadline_s),
        )
    return answer_s


def _check_possible(job, limits):
    tasks = len(job.costs_s)
    if tasks > limits.max_tasks:
        raise TaskImpossible(f"job has {tasks} tasks, max_tasks is {limits.max_tasks}")
    if limits.team_quota < 1:
        raise TaskImpossible(
            f"max_running of team {job.team} is {limits.team_quota}, so none of its tasks can run"
        )
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


def _expected_wait_s(job, queue, limits, other_cost_s):
    """Return the expected time until the job's last task starts, in seconds.

    It is the longer of two waits: for the slots that all teams share, and for the slots that the
    team's own limit allows it. `other_cost_s` is the cost of the job's tasks but the longest.
    """
    small = len(job.costs_s) <= SMALL_JOB_MAX_TASKS
    shared_wait_s = queue.expected_wait_s(
        team=job.team, slots=limits.slots, job_cost_s=other_cost_s, small=small
    )
    if not small and queue.has_other_teams(job.team):
        shared_wait_s *= 1.0 + LATER_ARRIVALS_RATIO
    team_cost_s = queue.team_cost_s(job.team, small=small) + other_cost_s
    return max(shared_wait_s, team_cost_s / max(limits.team_slots, 0.001))
