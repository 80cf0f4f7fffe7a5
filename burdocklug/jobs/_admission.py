"""Admission of jobs: every refusal here is made before anything of the job runs."""

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.limits import AdmissionLimits, EndpointSize, JobDemand, admit

__all__ = ["admit_job"]


def admit_job(ctx, lane, submission, deadline_s):
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

    Raises
    ------
    BurdocklugError
        Of the kind that says why, with the time after which to try again.
    """
    configuration = ctx.configuration
    if configuration.is_empty():
        raise BurdocklugError(ErrorKind.NO_CONFIGURATION, "no configuration reached this process")
    if lane is None or configuration.service(submission.service) is None:
        raise BurdocklugError(ErrorKind.SERVICE_UNKNOWN, f"no service {submission.service!r}")
    team = configuration.team(submission.team)
    if team is None:
        raise BurdocklugError(ErrorKind.TEAM_UNKNOWN, f"no team {submission.team!r}")
    if not lane.slots():
        raise BurdocklugError(ErrorKind.NO_ENDPOINT, f"no endpoint of {lane.service!r} is usable")
    admit(
        _demand(lane, submission, deadline_s),
        queue=lane.queue,
        limits=_limits(ctx, lane, team.max_running),
    )


def _demand(lane, submission, deadline_s):
    return JobDemand(
        team=submission.team,
        costs_s=tuple(
            lane.expected_run_s(submission.team, task.declared_s) for task in submission.tasks
        ),
        deadline_s=deadline_s,
        accelerators=max(task.accelerators for task in submission.tasks),
    )


def _limits(ctx, lane, quota):
    endpoints = ctx.configuration.endpoints(lane.service)
    return AdmissionLimits(
        max_tasks=lane.state.max_tasks,
        endpoints=tuple(EndpointSize(item.slots, item.accelerators) for item in endpoints),
        slots=lane.slots_here(),
        team_slots=quota,
        team_quota=quota,
    )
