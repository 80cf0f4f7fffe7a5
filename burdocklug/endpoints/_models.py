"""Attempts, their results and states, and the errors that state whether a task was started."""

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
    "EndpointUnresponsive",
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
        Id that is unique to the attempt.
    task_id : str
        Id of the task, ``<job key>/<index>``; the endpoint echoes it.
    service : str
        Name of the service.
    payload : object
        Input of the task, a JSON value.
    deadline_s : float
        Seconds from the start of the attempt until the caller gives up.
    """

    attempt_id: str
    task_id: str
    service: str
    payload: object
    deadline_s: float


class AttemptResult(msgspec.Struct, frozen=True):
    """The complete response to one attempt, as the endpoint sends it.

    Parameters
    ----------
    attempt_id, task_id : str
        Ids of the attempt and its task; they must match the request.
    ok : bool
        False when the task ran and failed.
    value : object
        Output of the task, a JSON value; the endpoint's error text if the task failed.
    run_s : float
        Run time in seconds, measured by the endpoint.
    free_slots : int
        Number of free slots at the endpoint after this task.
    leaving : bool
        Whether the endpoint is leaving and takes no new tasks.
    """

    attempt_id: str
    task_id: str
    ok: bool
    value: typing.Any
    run_s: Seconds
    free_slots: Count
    leaving: bool


class AttemptPhase(enum.StrEnum):
    """Progress of an attempt, as reported by the endpoint."""

    NOT_STARTED = "not_started"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class AttemptState:
    """State of an attempt, as reported by the endpoint when queried.

    Parameters
    ----------
    phase : AttemptPhase
        Progress. NOT_STARTED also means that the attempt is fenced and can never start.
    result : AttemptResult or None
        The result of a finished attempt.
    history_s : float
        Age in seconds of the endpoint's complete record of started attempts. If the record begins
        after the attempt was sent, as after a restart of the endpoint, NOT_STARTED does not prove
        that the attempt was not started.
    """

    phase: AttemptPhase
    result: AttemptResult | None = None
    history_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Load of one endpoint, as reported by the endpoint."""

    slots: int
    free_slots: int
    leaving: bool


class NotStarted(BurdocklugError):
    """The attempt did not start the task and can't start it later.

    Parameters
    ----------
    reason : str
        One of `refused`, `full`, `leaving`, `fenced`.
    message : str
        One line that names the address.
    free_slots : int, optional
        Number of free slots at the endpoint, if it reported it.
    """

    def __init__(self, reason, message, *, free_slots=None):
        super().__init__(ErrorKind.NO_ENDPOINT, message)
        self.reason = reason
        self.free_slots = free_slots


class MaybeStarted(BurdocklugError):
    """The endpoint may have received the request, but there is no complete valid response.

    Parameters
    ----------
    cause : str
        One of `timeout`, `closed`, `status`, `garbage`, `crossed`.
    message : str
        One line that names the address and what went wrong.
    """

    def __init__(self, cause, message):
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, message)
        self.cause = cause


class EndpointUnresponsive(BurdocklugError):
    """The endpoint gave no valid response to a state query, a cancellation or a status call.

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
