"""What a pool knows of endpoints, queues and jobs."""

import enum
from dataclasses import dataclass, field

import msgspec

__all__ = [
    "EndpointEntry",
    "JobOutcome",
    "JobSpec",
    "PoolConfiguration",
    "QueueRule",
    "Room",
    "RunEnd",
    "RunEndKind",
    "RunLine",
    "RunReport",
    "ServiceRule",
    "StepSpec",
    "task_name",
]


class Room(msgspec.Struct, frozen=True, array_like=True):
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
    >>> Room(8000, 64, 0).fits(Room(16000, 32768, 0))
    True
    >>> Room(16000, 32768, 0) - Room(8000, 64, 0)
    Room(cpu=8000, memory_mb=32704, accelerators=0)
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, free):
        """Return whether these resources are part of those that are `free`."""
        return (
            self.cpu <= free.cpu
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def __add__(self, other):
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


class EndpointEntry(msgspec.Struct, frozen=True):
    """What an endpoint says of itself in the store.

    Parameters
    ----------
    endpoint_id, service, address, failure_domain : str
        Who it is; `address` is ``IP:port``.
    capacity : Room
        All its resources.
    labels : tuple of str
        Kind and rack, against which requirements and data locality are matched.
    slots : int
        Tasks that it runs at once, at most.
    draining : bool
        Whether it leaves.
    started_ms : int
        Start of its present life, Unix milliseconds; 0 if not known.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    capacity: Room
    labels: tuple[str, ...] = ()
    slots: int = 1
    draining: bool = False
    started_ms: int = 0


class QueueRule(msgspec.Struct, frozen=True):
    """How the jobs of one queue are served.

    Parameters
    ----------
    name : str
        Name of the queue.
    host, prefix : str
        Host and beginning of the path by which callers name it.
    service : str
        Service whose endpoints run its tasks.
    priority : int
        0 goes first.
    max_attempts : int
        Failed runs of one task after which its job has failed.
    objective_factor : float
        Times the longest chain of work that a job may take.
    target_s : float
        Seconds that it may take on top of that.
    timeout_s : float
        Seconds that a caller waits for an answer.
    needs_advice : bool
        Whether starts need permission that this version does not ask for.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    target_s: float = 0.0
    timeout_s: float = 30.0
    needs_advice: bool = False


class ServiceRule(msgspec.Struct, frozen=True):
    """A service: whether its endpoints refuse what does not fit, and connections to each."""

    name: str
    guards_capacity: bool = True
    max_connections: int = 1


class PoolConfiguration(msgspec.Struct, frozen=True):
    """The operators' configuration; a higher version supersedes.

    Parameters
    ----------
    version : int
        Its version; 0 for none.
    queues, services : tuple
        All queues and services.
    max_body_bytes, max_header_bytes : int
        Largest request.
    header_timeout_s, idle_timeout_s : float
        Longest time for the headers of a request, and idle time of a connection, in seconds.
    """

    version: int = 0
    queues: tuple[QueueRule, ...] = ()
    services: tuple[ServiceRule, ...] = ()
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0

    def find_queue(self, host, path):
        """Return the queue whose host matches and whose prefix is the longest match, or None."""
        matches = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: tasks that are alike.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Room
        What each of them needs.
    estimate_s : float
        Rough run time of one, in seconds.
    after : tuple of int
        Numbers of earlier steps whose tasks must all be done first.
    required_label : str
        Label that the endpoint must have; empty for any.
    preferred_rack : str
        Rack where the data is; empty for any.
    max_per_endpoint : int
        Tasks of the step on one endpoint, at most; 0 for any number.
    """

    count: int
    demand: Room
    estimate_s: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    max_per_endpoint: int = 0


class JobSpec(msgspec.Struct, frozen=True):
    """A job as its caller has submitted it; `payload` is handed to each task."""

    job_id: str
    queue: QueueRule
    payload: str
    steps: tuple[StepSpec, ...]


class JobOutcome(enum.StrEnum):
    """How a job ended, or that it did not."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"  # its caller has stopped waiting; no task has used up its attempts


class RunEndKind(enum.StrEnum):
    """How a run of a task ended at its endpoint."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class RunLine:
    """A run that is active at an endpoint; `percent` is its progress from 0 to 100."""

    task: str
    attempt: int
    percent: int


@dataclass(frozen=True, slots=True)
class RunEnd:
    """An end that an endpoint lists under a number until it is acknowledged."""

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
        Start of its present life, Unix milliseconds; 0 if it does not tell.
    active : tuple of RunLine
        What runs.
    ended : tuple of RunEnd
        Ends that are not acknowledged yet.
    """

    clock_ms: int
    started_ms: int = 0
    active: tuple = field(default=())
    ended: tuple = field(default=())


def task_name(job_id, step, index):
    """Return the name of a task at its endpoint.

    Examples
    --------
    >>> task_name("5c0e7a21d94b36f8", 0, 3)
    '5c0e7a21d94b36f8.0.0.3'
    """
    return f"{job_id}.0.{step}.{index}"
