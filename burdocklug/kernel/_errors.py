"""Error kinds, the table that maps each kind to its answer, and the base exception.

Only this table decides the HTTP status, the exit code, whether any task of the request may have
run, and whether and when the same request may be sent again.
"""

import enum
from dataclasses import dataclass

__all__ = ["BurdocklugError", "ErrorAnswer", "ErrorKind", "Ran", "ANSWERS", "answer_for"]


class Ran(enum.StrEnum):
    """Whether any task of the failed request was started at an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(enum.StrEnum):
    """Kinds of errors in answers, log lines and exit codes; the list is closed."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_SENDER = "slow_sender"
    HEADERS_TOO_LARGE = "headers_too_large"
    SERVER_BUSY = "server_busy"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_FOUND = "not_found"
    UNAUTHORIZED = "unauthorized"
    KEY_CONFLICT = "key_conflict"
    KEY_EXPIRED = "key_expired"
    SESSION_UNKNOWN = "session_unknown"
    OWNER_LOST = "owner_lost"
    CLAIM_UNCERTAIN = "claim_uncertain"
    SERVICE_UNKNOWN = "service_unknown"
    TEAM_UNKNOWN = "team_unknown"
    TASK_IMPOSSIBLE = "task_impossible"
    QUEUE_FULL = "queue_full"
    WOULD_MISS_DEADLINE = "would_miss_deadline"
    SHUTTING_DOWN = "shutting_down"
    NO_CONFIGURATION = "no_configuration"
    NO_ENDPOINT = "no_endpoint"
    NAME_HELD = "name_held"
    NO_SCHEDULER = "no_scheduler"
    FIELD_NOT_SERVED = "field_not_served"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TICKET_SUPERSEDED = "ticket_superseded"
    TICKET_CONFLICT = "ticket_conflict"
    TICKET_TOO_OLD = "ticket_too_old"
    TICKET_TOO_LARGE = "ticket_too_large"
    TICKET_UNCERTAIN = "ticket_uncertain"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PEER_UNREACHABLE = "peer_unreachable"
    SETTINGS_INVALID = "settings_invalid"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The answer to a request that failed with one error kind.

    Parameters
    ----------
    http_status : int
        Status code of the HTTP answer.
    exit_code : int
        Exit code of the command line.
    ran : Ran
        Whether any task of the request was started.
    retry_after_s : float or None
        Delay after which a retry makes sense, in seconds; None if a retry never does.
    """

    http_status: int
    exit_code: int
    ran: Ran
    retry_after_s: float | None = None


ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, 10, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, 11, Ran.NO),
    ErrorKind.SLOW_SENDER: ErrorAnswer(408, 12, Ran.NO),
    ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(431, 17, Ran.NO),
    ErrorKind.SERVER_BUSY: ErrorAnswer(503, 16, Ran.NO, 1.0),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(405, 13, Ran.NO),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, 14, Ran.UNKNOWN),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(401, 15, Ran.NO),
    ErrorKind.KEY_CONFLICT: ErrorAnswer(409, 20, Ran.NO),
    ErrorKind.KEY_EXPIRED: ErrorAnswer(410, 21, Ran.UNKNOWN),
    ErrorKind.SESSION_UNKNOWN: ErrorAnswer(410, 22, Ran.UNKNOWN),
    ErrorKind.OWNER_LOST: ErrorAnswer(502, 23, Ran.UNKNOWN),
    ErrorKind.CLAIM_UNCERTAIN: ErrorAnswer(503, 24, Ran.UNKNOWN, 1.0),
    ErrorKind.SERVICE_UNKNOWN: ErrorAnswer(404, 30, Ran.NO),
    ErrorKind.TEAM_UNKNOWN: ErrorAnswer(404, 31, Ran.NO),
    ErrorKind.TASK_IMPOSSIBLE: ErrorAnswer(422, 32, Ran.NO),
    ErrorKind.QUEUE_FULL: ErrorAnswer(429, 33, Ran.NO, 1.0),
    ErrorKind.WOULD_MISS_DEADLINE: ErrorAnswer(429, 34, Ran.NO, 1.0),
    ErrorKind.SHUTTING_DOWN: ErrorAnswer(503, 35, Ran.NO, 0.1),
    ErrorKind.NO_CONFIGURATION: ErrorAnswer(503, 36, Ran.NO, 1.0),
    ErrorKind.NO_ENDPOINT: ErrorAnswer(503, 37, Ran.NO, 1.0),
    ErrorKind.NAME_HELD: ErrorAnswer(503, 38, Ran.NO, 1.0),
    ErrorKind.NO_SCHEDULER: ErrorAnswer(503, 39, Ran.NO, 1.0),
    ErrorKind.FIELD_NOT_SERVED: ErrorAnswer(422, 44, Ran.NO),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, 40, Ran.UNKNOWN),
    ErrorKind.CANCELLED: ErrorAnswer(409, 41, Ran.UNKNOWN),
    ErrorKind.TASK_FAILED: ErrorAnswer(502, 42, Ran.YES),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(502, 43, Ran.UNKNOWN),
    ErrorKind.TICKET_SUPERSEDED: ErrorAnswer(409, 50, Ran.NO),
    ErrorKind.TICKET_CONFLICT: ErrorAnswer(409, 51, Ran.NO),
    ErrorKind.TICKET_TOO_OLD: ErrorAnswer(409, 52, Ran.NO),
    ErrorKind.TICKET_TOO_LARGE: ErrorAnswer(413, 53, Ran.NO),
    ErrorKind.TICKET_UNCERTAIN: ErrorAnswer(503, 54, Ran.UNKNOWN, 1.0),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(503, 60, Ran.NO, 2.0),
    ErrorKind.PEER_UNREACHABLE: ErrorAnswer(502, 61, Ran.UNKNOWN, 1.0),
    ErrorKind.SETTINGS_INVALID: ErrorAnswer(500, 2, Ran.NO),
    ErrorKind.INTERNAL: ErrorAnswer(500, 70, Ran.UNKNOWN),
}


def answer_for(kind):
    """Return the answer to requests that failed with an error kind.

    Parameters
    ----------
    kind : ErrorKind
        The kind to look up.

    Returns
    -------
    ErrorAnswer
        HTTP status, exit code, whether any task was started, and the delay before a retry.

    Examples
    --------
    >>> answer_for(ErrorKind.QUEUE_FULL).http_status
    429
    """
    return ANSWERS[kind]


class BurdocklugError(Exception):
    """Error of a kind that determines the answer to the caller or operator.

    Parameters
    ----------
    kind : ErrorKind
        The error kind, a key of `ANSWERS`.
    message : str
        One line that names the offending value.
    path : str, optional
        Path of the offending value in the input, such as ``$.tasks[3].payload``.
    retry_after_s : float, optional
        Delay after which a retry makes sense, in seconds; that of `ANSWERS` by default.
    ran : Ran, optional
        Whether any task was started, where more is known than `ANSWERS` has for the kind.
    """

    def __init__(self, kind, message, *, path=None, retry_after_s=None, ran=None):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.path = path
        answer = answer_for(kind)
        self.retry_after_s = answer.retry_after_s if retry_after_s is None else retry_after_s
        self.ran = answer.ran if ran is None else ran
