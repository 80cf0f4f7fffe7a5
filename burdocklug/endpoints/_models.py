"""Attempts, their results and states, and the errors that tell whether a task was started."""

import enum
import typing
from dataclasses import dataclass

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = [
    "Attempt",
    "AttemptPhase",
    "AttemptResult",
    "AttemptState",
    "Count",
    "EndpointSilent",
    "EndpointStatus",
    "MaybeStarted",
    "NotStarted",
    "Seconds",
]

Seconds = typing.Annotated[float, msgspec.Meta(ge=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class Attempt(msgspec.Struct, frozen=True):
    """One try to run one task at one endpoint.

    Parameters
    ----------
    attempt_id : str
        Unique for each attempt.
    task_id : str
        ``<job key>/<index>``; the endpoint echoes it.
    service : str
        Name of the service.
    payload : object
        JSON value for the task.
    deadline_s : float
        Seconds from now until the caller gives up.
    """

    attempt_id: str
    task_id: str
    service: str
    payload: object
    deadline_s: float


class AttemptResult(msgspec.Struct, frozen=True):
    """The whole answer to one attempt, as the endpoint sends it.

    Parameters
    ----------
    attempt_id, task_id : str
        Identity of the attempt, checked against the request.
    ok : bool
        False when the task ran and failed.
    value : object
        JSON value, or the endpoint's error text.
    run_s : float
        Run time in seconds as the endpoint measured it.
    free_slots : int
        Free slots of the endpoint after this task.
    leaving : bool
        Whether the endpoint takes no new tasks.
    """

    attempt_id: str
    task_id: str
    ok: bool
    value: typing.Any
    run_s: Seconds
    free_slots: Count
    leaving: bool


class AttemptPhase(enum.StrEnum):
    """How far an attempt got, by the endpoint's own word."""

    NOT_STARTED = "not_started"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class AttemptState:
    """The endpoint's answer to a question about an attempt.

    Parameters
    ----------
    phase : AttemptPhase
        NOT_STARTED also means that the attempt is fenced and will never start.
    result : AttemptResult or None
        The result of a finished attempt.
    memory_s : float
        Seconds for which the endpoint has kept every attempt it started. A NOT_STARTED from
        an endpoint that restarted after the attempt was sent says nothing about the attempt.
    """

    phase: AttemptPhase
    result: AttemptResult | None = None
    memory_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Load of one endpoint, by its own word."""

    slots: int
    free_slots: int
    leaving: bool


class NotStarted(BurdocklugError):
    """The task was certainly not started by this attempt, and the attempt can't start later.

    Parameters
    ----------
    reason : str
        One of `refused`, `full`, `leaving`, `fenced`.
    message : str
        One line that names the address.
    free_slots : int, optional
        Free slots of the endpoint where it told them.
    """

    def __init__(self, reason, message, *, free_slots=None):
        super().__init__(ErrorKind.NO_ENDPOINT, message)
        self.reason = reason
        self.free_slots = free_slots


class MaybeStarted(BurdocklugError):
    """The request may have reached the endpoint and there is no whole valid answer to it.

    Parameters
    ----------
    cause : str
        One of `timeout`, `closed`, `status`, `garbage`, `crossed`.
    message : str
        One line that names the address and what was seen.
    """

    def __init__(self, cause, message):
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, message)
        self.cause = cause


class EndpointSilent(BurdocklugError):
    """The endpoint gave no valid answer to a question, a cancellation or a status call.

    Parameters
    ----------
    cause : str
        `refused`, or one of the causes of `MaybeStarted`.
    message : str
        One line that names the address.
    """

    def __init__(self, cause, message):
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, message)
        self.cause = cause
