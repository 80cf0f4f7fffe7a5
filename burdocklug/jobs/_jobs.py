"""Running jobs and their tasks, and the encoding of answers to callers."""

import enum
from dataclasses import dataclass, field

import msgspec

from burdocklug.kernel import Ran, answer_for, encode_error_body

__all__ = [
    "Answer",
    "Job",
    "Task",
    "TaskState",
    "encode_complete",
    "encode_error",
    "encode_running",
]


class TaskState(enum.StrEnum):
    """State of one task at the process that owns its job."""

    QUEUED = "queued"
    STARTED = "started"
    FINISHED = "finished"


@dataclass(slots=True)
class Task:
    """One task of a job."""

    job: object
    index: int
    payload: object
    declared_s: float
    accelerators: int = 0
    expected_s: float = 0.0
    state: TaskState = TaskState.QUEUED
    attempt_id: str | None = None
    address: str | None = None
    retries: int = 0
    value: object = None

    @property
    def task_id(self):
        """Id that endpoints return: the key of the job and the index of the task."""
        return f"{self.job.key}/{self.index}"


@dataclass(slots=True)
class Job:
    """One accepted submission until its answer is stored.

    ``deadline_s`` and ``created_s`` are monotonic times, in seconds. ``in_flight`` counts the
    attempts in progress. ``closed`` is true from the moment the job ends: no task starts then, and
    later results are dropped. ``ran`` is ``yes`` if an attempt of a task has finished, and
    ``unknown`` if the outcome of one is unknown. ``size_bytes`` is the memory that its submission
    takes up.
    """

    key: str
    service: str
    team: str
    deadline_s: float
    created_s: float
    record: object
    tasks: list = field(default_factory=list)
    unfinished: int = 0
    in_flight: int = 0
    closed: bool = False
    timer: object = None
    ran: Ran = Ran.NO
    size_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a caller: HTTP status, JSON body, and whether the job has ended."""

    status: int
    body: bytes
    done: bool = True
    retry_after_s: float | None = None


class _Body(msgspec.Struct, omit_defaults=True):
    job: str | None
    state: str
    results: list | msgspec.UnsetType = msgspec.UNSET


_encode = msgspec.json.Encoder().encode


def encode_complete(job):
    """Return the answer of a job whose tasks have all finished, with results in task order."""
    results = [task.value for task in job.tasks]
    return Answer(200, _encode(_Body(job.key, "complete", results)))


def encode_running(key):
    """Return the answer for a job that is still running."""
    return Answer(202, _encode(_Body(key, "running")), done=False)


def encode_error(exc, *, key=None, ran=None, task=None):
    """Return the answer for a refused or failed request.

    Parameters
    ----------
    exc : BurdocklugError
        The error to report.
    key : str, optional
        Key of the job.
    ran : Ran, optional
        Whether a task may have run, if it differs from `exc.ran`.
    task : int, optional
        Index of the task that failed.
    """
    status = answer_for(exc.kind).http_status
    body = encode_error_body(exc, job=key, ran=ran, task=task)
    return Answer(status, body, retry_after_s=exc.retry_after_s)
