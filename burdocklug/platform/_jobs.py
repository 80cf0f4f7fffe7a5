"""Decoding of the jobs that clients submit."""

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind, MalformedValue, decode_json
from burdocklug.platform._ranges import Amount, Duration
from burdocklug.pools import JobSpec, Resources, StepSpec

__all__ = ["decode_job"]

MAX_SPEC_BYTES = 4000
UNSUPPORTED_PHASE_FIELDS = (
    "gang",
    "long_running",
    "image",
    "target_ms",
    "fills",
    "max_unavailable",
)
UNSUPPORTED_JOB_FIELDS = ("repeat_count",)


class _Phase(msgspec.Struct, frozen=True):
    count: Amount
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimate_ms: Duration = 0.0
    after: list[int] = []  # indices of the earlier phases that have to finish first
    affinity: str = ""  # preferred rack
    requirements: str = ""  # label that an endpoint needs to have
    max_per_server: Amount = 0
    gang: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    max_unavailable: int = 0
    # The next three are accepted but have no effect, as documented.
    checkpointing: bool = False
    speculative: bool = False
    same_rack: bool = False

    def to_step(self):
        return StepSpec(
            self.count,
            Resources(self.cpu, self.mem_mb, self.gpu),
            self.estimate_ms / 1000,
            after=tuple(self.after),
            required_label=self.requirements,
            preferred_rack=self.affinity,
            max_per_endpoint=self.max_per_server,
        )


class _Job(msgspec.Struct, frozen=True):
    spec: str  # payload of each task
    phases: list[_Phase]
    best_effort: bool = False
    repeat_count: int = 0


def decode_job(job_id, queue, body, *, max_tasks, configuration_version=0):
    """Return the job that a request body describes, with at most `max_tasks` tasks.

    Parameters
    ----------
    configuration_version : int
        Version of the configuration that `queue` is from; 0 if it is not known.

    Raises
    ------
    BurdocklugError
        Of kind ``bad_request``, or ``field_not_served`` for a field that this version does not
        support; nothing ran.
    """
    try:
        job = decode_json(body, _Job)
    except MalformedValue as exc:
        raise BurdocklugError(ErrorKind.BAD_REQUEST, str(exc), path="$") from exc
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise _bad_request(f"more than {MAX_SPEC_BYTES} bytes", "$.spec")
    if not job.phases:
        raise _bad_request("no phases", "$.phases")
    if queue.needs_advice:
        raise _field_not_served(f"advice of queue {queue.name!r}", "path")
    if not job.best_effort:
        raise _field_not_served("a job without best_effort", "$.best_effort")
    for field in UNSUPPORTED_JOB_FIELDS:
        if getattr(job, field):
            raise _field_not_served(field, f"$.{field}")
    for number, phase in enumerate(job.phases):
        _check_phase(number, phase)
    tasks = sum(phase.count for phase in job.phases)
    if tasks > max_tasks:
        raise _bad_request(f"{tasks} tasks, at most {max_tasks} allowed", "$.phases")
    steps = tuple(phase.to_step() for phase in job.phases)
    return JobSpec(job_id, queue, job.spec, steps, configuration_version)


def _check_phase(number, phase):
    path = f"$.phases[{number}]"
    if phase.count < 1:
        raise _bad_request("a count below 1", path)
    if any(not 0 <= before < number for before in phase.after):
        raise _bad_request(
            f"{phase.after} refers to a phase that is not an earlier one", f"{path}.after"
        )
    for field in UNSUPPORTED_PHASE_FIELDS:
        if getattr(phase, field):
            raise _field_not_served(field, f"{path}.{field}")


def _bad_request(message, path):
    return BurdocklugError(ErrorKind.BAD_REQUEST, message, path=path)


def _field_not_served(field, path):
    return BurdocklugError(ErrorKind.FIELD_NOT_SERVED, f"{field} is not served", path=path)
