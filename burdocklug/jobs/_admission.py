"""Admission of jobs: checks made before any task of a job runs."""

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.limits import AdmissionLimits, EndpointSize, JobDemand, admit

__all__ = ["admit_job"]


def admit_job(ctx, lane, submission, deadline_s):
    """Raise an error if a job cannot run, or is not expected to finish before its deadline.

    Parameters
    ----------
    ctx : DispatchContext
        Components of the process.
    lane : Lane or None
        Lane of the service; None if the service is not configured.
    submission : JobSubmission
        The job to check.
    deadline_s : float
        Time from now to the deadline of the job, in seconds.

    Raises
    ------
    BurdocklugError
        If the job is refused; the kind names the reason, and `retry_after_s` the time after which
        a retry may succeed.
    """
    configuration = ctx.configuration
    if configuration.is_empty():
        raise BurdocklugError(
            ErrorKind.NO_CONFIGURATION, "this process has received no configuration"
        )
    if lane is None or configuration.service(submission.service) is None:
        raise BurdocklugError(
            ErrorKind.SERVICE_UNKNOWN, f"service {submission.service!r} is not configured"
        )
    team = configuration.team(submission.team)
    if team is None:
        raise BurdocklugError(ErrorKind.TEAM_UNKNOWN, f"team {submission.team!r} is not configured")
    if not lane.usable_slots():
        raise BurdocklugError(
            ErrorKind.NO_ENDPOINT, f"service {lane.service!r} has no usable endpoint"
        )
    admit(
        _job_demand(lane, submission, deadline_s),
        queue=lane.queue,
        limits=_admission_limits(ctx, lane, team.max_running),
    )


def _job_demand(lane, submission, deadline_s):
    return JobDemand(
        team=submission.team,
        costs_s=tuple(
            lane.expected_run_s(submission.team, task.declared_s) for task in submission.tasks
        ),
        deadline_s=deadline_s,
        accelerators=max(task.accelerators for task in submission.tasks),
    )


def _admission_limits(ctx, lane, quota):
    endpoints = ctx.configuration.endpoints(lane.service)
    return AdmissionLimits(
        max_tasks=lane.state.max_tasks,
        endpoints=tuple(EndpointSize(item.slots, item.accelerators) for item in endpoints),
        slots=lane.expected_slots(),
        team_slots=quota,
        team_quota=quota,
    )
