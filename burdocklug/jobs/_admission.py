"""Admission of jobs: every refusal here is made before anything of the job runs."""

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["admit_job"]

MIN_RETRY_S = 0.1


def admit_job(ctx, lane, submission, deadline_s, now):
    """Raise where a job can't or should not be run.

    Parameters
    ----------
    ctx : DispatchContext
        The parts of the process.
    lane : Lane or None
        The service's lane; None where the service is not configured.
    submission : JobSubmission
        What to run.
    deadline_s : float
        Seconds that the job has.
    now : float
        Monotonic seconds.

    Raises
    ------
    BurdocklugError
        Of the kind that says why, with the time after which to try again.
    """
    if ctx.configuration.is_empty():
        raise BurdocklugError(ErrorKind.NO_CONFIGURATION, "no configuration reached this process")
    if lane is None or ctx.configuration.service(submission.service) is None:
        raise BurdocklugError(ErrorKind.SERVICE_UNKNOWN, f"no service {submission.service!r}")
    if ctx.configuration.team(submission.team) is None:
        raise BurdocklugError(ErrorKind.TEAM_UNKNOWN, f"no team {submission.team!r}")
    _check_possible(ctx, lane, submission)
    _check_queue(lane, submission, deadline_s)


def _check_possible(ctx, lane, submission):
    most = lane.state.max_tasks
    if len(submission.tasks) > most:
        raise BurdocklugError(
            ErrorKind.TASK_IMPOSSIBLE,
            f"{len(submission.tasks)} tasks; service {lane.service!r} takes max_tasks {most}",
            path="$.tasks",
        )
    endpoints = ctx.configuration.endpoints(lane.service)
    accelerators = max((endpoint.accelerators for endpoint in endpoints), default=0)
    for index, task in enumerate(submission.tasks):
        if task.accelerators > accelerators:
            raise BurdocklugError(
                ErrorKind.TASK_IMPOSSIBLE,
                f"{task.accelerators} accelerators; the largest endpoint has {accelerators}",
                path=f"$.tasks[{index}].accelerators",
            )


def _check_queue(lane, submission, deadline_s):
    slots = lane.slots()
    if not slots:
        raise BurdocklugError(ErrorKind.NO_ENDPOINT, f"no endpoint of {lane.service!r} is live")
    costs = [lane.expected_run_s(task.declared_s) for task in submission.tasks]
    wait_s = lane.queue.expected_wait_s(
        team=submission.team, slots=slots, job_cost_s=sum(costs) - max(costs)
    )
    room = lane.free_room()
    if len(submission.tasks) > room:
        raise BurdocklugError(
            ErrorKind.QUEUE_FULL,
            f"{len(submission.tasks)} tasks; the queue of {lane.service!r} has room for {room}",
            retry_after_s=max(MIN_RETRY_S, wait_s),
        )
    if wait_s > deadline_s:
        raise BurdocklugError(
            ErrorKind.WOULD_MISS_DEADLINE,
            f"expected to wait {wait_s:.2f} s of a deadline of {deadline_s:.2f} s",
            retry_after_s=max(MIN_RETRY_S, wait_s - deadline_s),
        )
