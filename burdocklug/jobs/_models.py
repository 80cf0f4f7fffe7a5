"""Models and validation of submissions from callers."""

import hashlib
import typing

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["JobSubmission", "TaskSubmission", "parse_submission", "submission_digest"]

DIGEST_BYTES = 16
MAX_DECLARED_S = 3600.0  # maximum run time that a task may declare

Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z")]


class TaskSubmission(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One task: payload, declared run time in seconds and number of accelerators."""

    payload: typing.Any = None
    declared_s: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_DECLARED_S)] = 1.0
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0


class JobSubmission(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A job of one or more tasks for one service.

    ``acknowledged`` is the sequence up to which the caller has read every answer of the session;
    the owner drops the records up to it. ``deadline_s`` counts from the arrival at the owner.
    """

    service: Name
    team: Name
    tasks: typing.Annotated[list[TaskSubmission], msgspec.Meta(min_length=1)]
    deadline_s: typing.Annotated[float, msgspec.Meta(gt=0)] | None = None
    wait: bool = True
    acknowledged: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


CONTAINER_BYTES = 96  # of a list, mapping or task, and its place in another one
VALUE_BYTES = 72  # of a number, or of the head of a string, and its place

_decoder = msgspec.json.Decoder(JobSubmission)
_encoder = msgspec.json.Encoder(order="deterministic")


def decoded_size_bytes(body):
    """Return the largest number of bytes of memory that a JSON document takes up once decoded.

    Examples
    --------
    >>> decoded_size_bytes(b'{"tasks": [[], []]}')
    547
    """
    containers = body.count(b"[") + body.count(b"{")
    separators = body.count(b",") + body.count(b":")
    return len(body) + CONTAINER_BYTES * containers + VALUE_BYTES * separators


def parse_submission(body, *, max_tasks, max_deadline_s):
    """Decode and validate a submission.

    Parameters
    ----------
    body : bytes
        The submission as JSON in UTF-8.
    max_tasks : int
        Maximum number of tasks in one job.
    max_deadline_s : float
        Maximum deadline, in seconds.

    Returns
    -------
    JobSubmission
        The validated submission.

    Raises
    ------
    BurdocklugError
        Of kind ``bad_request``; `path` locates the invalid value in the JSON.

    Examples
    --------
    >>> body = b'{"service": "press", "team": "vat", "tasks": [{"payload": 1}]}'
    >>> parse_submission(body, max_tasks=10, max_deadline_s=60).team
    'vat'
    """
    try:
        submission = _decoder.decode(body)
    except msgspec.ValidationError as exc:
        message, _, path = str(exc).partition(" - at `")
        raise _bad_request(message, path.rstrip("`") or "$") from exc
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise _bad_request(f"body is not JSON in UTF-8: {exc}", "$") from exc
    if len(submission.tasks) > max_tasks:
        raise _bad_request(
            f"job has {len(submission.tasks)} tasks, at most {max_tasks} allowed", "$.tasks"
        )
    if submission.deadline_s is not None and submission.deadline_s > max_deadline_s:
        raise _bad_request(
            f"deadline is {submission.deadline_s} s, at most {max_deadline_s} s allowed",
            "$.deadline_s",
        )
    return submission


def _bad_request(message, path):
    return BurdocklugError(ErrorKind.BAD_REQUEST, message, path=path)


def submission_digest(submission):
    """Return a digest of service, team and tasks that is independent of the JSON formatting."""
    content = _encoder.encode((submission.service, submission.team, submission.tasks))
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
