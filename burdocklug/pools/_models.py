"""Data model of a pool: endpoints, jobs and reports."""

import enum
from dataclasses import dataclass, field

import msgspec

from burdocklug.pools._configuration import QueueRule

__all__ = [
    "ActiveRun",
    "EndpointEntry",
    "JobOutcome",
    "JobSpec",
    "Resources",
    "RunEnd",
    "RunEndKind",
    "RunReport",
    "StepSpec",
    "task_name",
]


STEP_BYTES = 400  # of a `StepSpec` with its `Resources`
REFERENCE_BYTES = 8


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Resources of an endpoint, or those that a task needs.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    memory_mb : int
        Megabytes.
    accelerators : int
        Whole devices.

    Examples
    --------
    >>> Resources(8000, 64, 0).fits(Resources(16000, 32768, 0))
    True
    >>> Resources(16000, 32768, 0) - Resources(8000, 64, 0)
    Resources(cpu=8000, memory_mb=32704, accelerators=0)
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, free):
        """Return whether these resources fit into those that are `free`."""
        return (
            self.cpu <= free.cpu
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def __add__(self, other):
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


class EndpointEntry(msgspec.Struct, frozen=True):
    """Description of an endpoint, as registered in the store.

    Parameters
    ----------
    endpoint_id, service, address, failure_domain : str
        Its identity and location; `address` is ``IP:port``.
    capacity : Resources
        Its total resources.
    labels : tuple of str
        Kind and rack, against which requirements and data locality are matched.
    slots : int
        Maximum number of tasks that it runs at once.
    draining : bool
        Whether it accepts no new tasks before it leaves.
    started_ms : int
        Start of its current incarnation, Unix milliseconds; 0 if not known.
    cold_s : float or None
        Remaining time of being slow after its start, when this was written; None if not stated.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    slots: int = 1
    draining: bool = False
    started_ms: int = 0
    cold_s: float | None = None


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job, consisting of identical tasks.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Resources
        Resources that each task needs.
    estimate_s : float
        Rough run time of one task, in seconds.
    after : tuple of int
        Indices of earlier steps whose tasks must all be done first.
    required_label : str
        Label that the endpoint must have; empty for any.
    preferred_rack : str
        Rack of the data; empty for any.
    max_per_endpoint : int
        Maximum number of tasks of the step on one endpoint; 0 for no limit.
    """

    count: int
    demand: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    max_per_endpoint: int = 0


class JobSpec(msgspec.Struct, frozen=True):
    """A job as submitted by its caller; each task gets the `payload`.

    `configuration_version` is the version that the queue's rule is from; 0 if it is not known.
    """

    job_id: str
    queue: QueueRule
    payload: str
    steps: tuple[StepSpec, ...]
    configuration_version: int = 0

    @property
    def task_count(self):
        """Number of tasks in all its steps."""
        return sum(step.count for step in self.steps)

    @property
    def size_bytes(self):
        """Rough number of bytes of memory that the job takes up, without its tasks' state."""
        references = sum(len(step.after) for step in self.steps)
        return len(self.payload) + STEP_BYTES * len(self.steps) + REFERENCE_BYTES * references


class JobOutcome(enum.StrEnum):
    """How a job ended."""

    COMPLETED = "completed"  # all its tasks are done
    FAILED = "failed"  # one of its tasks used up its attempts
    CANCELLED = "cancelled"
    EXPIRED = "expired"  # its caller stopped waiting before a task had used up its attempts


class RunEndKind(enum.StrEnum):
    """How a run of a task ended on its endpoint."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """An active run on an endpoint; `percent` is its progress from 0 to 100."""

    task: str
    attempt: int
    percent: int


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run, which an endpoint lists under a number until it is acknowledged."""

    number: int
    task: str
    attempt: int
    kind: RunEndKind


@dataclass(frozen=True, slots=True)
class RunReport:
    """An endpoint's answer to a renewal of its lease.

    Parameters
    ----------
    clock_ms : int
        The endpoint's own clock, in milliseconds.
    started_ms : int
        Start of the endpoint's current incarnation, Unix milliseconds; 0 if not reported.
    active : tuple of ActiveRun
        Active runs.
    ended : tuple of RunEnd
        Ends that are not acknowledged yet.
    """

    clock_ms: int
    started_ms: int = 0
    active: tuple = field(default=())
    ended: tuple = field(default=())


def task_name(job_id, step, index):
    """Return the name by which endpoints identify a task.

    Examples
    --------
    >>> task_name("5c0e7a21d94b36f8", 0, 3)
    '5c0e7a21d94b36f8.0.0.3'
    """
    return f"{job_id}.0.{step}.{index}"
