"""Border models of the callers' interface."""

import hashlib
import typing

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["JobSubmission", "TaskSubmission", "parse_submission", "submission_digest"]

DIGEST_BYTES = 16
MAX_DECLARED_S = 3600.0

Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z")]


class TaskSubmission(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One task: its payload, its declared run time in seconds and its size."""

    payload: typing.Any = None
    declared_s: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_DECLARED_S)] = 1.0
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0


class JobSubmission(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A job of one or more tasks for one service.

    ``acknowledged`` is the highest sequence of the session up to which the caller has read every
    answer; the owner drops those records. ``deadline_s`` counts from the arrival at the owner.
    """

    service: Name
    team: Name
    tasks: typing.Annotated[list[TaskSubmission], msgspec.Meta(min_length=1)]
    deadline_s: typing.Annotated[float, msgspec.Meta(gt=0)] | None = None
    wait: bool = True
    acknowledged: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


_decoder = msgspec.json.Decoder(JobSubmission)
_encoder = msgspec.json.Encoder(order="deterministic")


def parse_submission(body, *, max_tasks, max_deadline_s):
    """Return the submission that `body` encodes.

    Parameters
    ----------
    body : bytes
        JSON text in UTF-8.
    max_tasks : int
        Most tasks that one job may have.
    max_deadline_s : float
        Longest deadline, in seconds.

    Returns
    -------
    JobSubmission
        The validated submission.

    Raises
    ------
    BurdocklugError
        Of kind ``bad_request`` with the path of the fault.

    Examples
    --------
    >>> body = b'{"service": "press", "team": "vat", "tasks": [{"payload": 1}]}'
    >>> parse_submission(body, max_tasks=10, max_deadline_s=60).team
    'vat'
    """
    try:
        submission = _decoder.decode(body)
    except msgspec.ValidationError as exc:
        message, _, where = str(exc).partition(" - at `")
        raise _bad(message, where.rstrip("`") or "$") from exc
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise _bad(f"not JSON in UTF-8: {exc}", "$") from exc
    if len(submission.tasks) > max_tasks:
        raise _bad(f"{len(submission.tasks)} tasks, {max_tasks} at most", "$.tasks")
    if submission.deadline_s is not None and submission.deadline_s > max_deadline_s:
        raise _bad(f"{submission.deadline_s} s, {max_deadline_s} s at most", "$.deadline_s")
    return submission


def _bad(message, path):
    return BurdocklugError(ErrorKind.BAD_REQUEST, message, path=path)


def submission_digest(submission):
    """Return a digest of what a submission asks to run; spelling of the JSON does not count."""
    content = _encoder.encode((submission.service, submission.team, submission.tasks))
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
