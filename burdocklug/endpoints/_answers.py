"""Validation of endpoint responses: what a response proves about an attempt.

Pure functions; only they decide whether a response is a result, `NotStarted` or `MaybeStarted`.
"""

import msgspec

from burdocklug.endpoints._models import (
    AttemptPhase,
    AttemptResult,
    AttemptState,
    Count,
    EndpointStatus,
    EndpointUnresponsive,
    MaybeStarted,
    NotStarted,
    Seconds,
)

__all__ = ["read_ask_response", "read_start_response", "read_status_response"]

REFUSALS = {429: "full", 503: "leaving", 409: "fenced"}  # HTTP status to the reason in the body
MAX_QUOTED_BYTES = 60  # length of the part of a body that an error message quotes


class Refusal(msgspec.Struct, frozen=True):
    """Body of a response which states that the task was not started."""

    started: bool
    reason: str
    free_slots: Count | None = None


class StateResponse(msgspec.Struct, frozen=True):
    """Body of a response to a query of an attempt's state."""

    state: AttemptPhase
    memory_s: Seconds = 0.0


class StatusResponse(msgspec.Struct, frozen=True):
    """Body of a response to a status call."""

    slots: Count
    free_slots: Count
    leaving: bool


_start_decoder = msgspec.json.Decoder(AttemptResult)
_refusal_decoder = msgspec.json.Decoder(Refusal)
_state_decoder = msgspec.json.Decoder(StateResponse)
_status_decoder = msgspec.json.Decoder(StatusResponse)


def _decode(decoder, body):
    """Return the decoded body, or None if it does not match the decoder's type."""
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def _describe(status, body):
    return f"status {status}, body {bytes(body[:MAX_QUOTED_BYTES])!r}"


def read_start_response(address, attempt, status, body):
    """Return the result in a response to a start; raise if it holds no valid result.

    Parameters
    ----------
    address : str
        The endpoint, for error messages.
    attempt : Attempt
        The attempt that was sent.
    status : int
        HTTP status of the response.
    body : bytes
        The whole body.

    Returns
    -------
    AttemptResult
        Result whose attempt and task ids match `attempt`.

    Raises
    ------
    NotStarted
        If the response is a valid refusal.
    MaybeStarted
        If the response is neither a valid result of this attempt nor a valid refusal.

    Examples
    --------
    >>> from burdocklug.endpoints import Attempt
    >>> attempt = Attempt("a1", "job/0", "loom", None, 5.0)
    >>> body = b'{"started": false, "reason": "full", "free_slots": 0}'
    >>> read_start_response("127.0.0.1:1", attempt, 429, body)
    Traceback (most recent call last):
    ...
    burdocklug.endpoints._models.NotStarted: endpoint 127.0.0.1:1 refused attempt a1: full
    """
    if status == 200:
        response = _decode(_start_decoder, body)
        if response is not None:
            return _check_identity(address, attempt.attempt_id, attempt.task_id, response)
        raise MaybeStarted("garbage", f"endpoint {address} answered {_describe(status, body)}")
    reason = REFUSALS.get(status)
    refusal = _decode(_refusal_decoder, body) if reason else None
    if refusal is not None and not refusal.started and refusal.reason == reason:
        raise NotStarted(
            reason,
            f"endpoint {address} refused attempt {attempt.attempt_id}: {reason}",
            free_slots=refusal.free_slots,
        )
    raise MaybeStarted("status", f"endpoint {address} answered {_describe(status, body)}")


def _check_identity(address, attempt_id, task_id, response):
    if response.attempt_id != attempt_id or (task_id is not None and response.task_id != task_id):
        raise MaybeStarted(
            "crossed",
            f"endpoint {address} answered attempt {attempt_id} with the result of attempt "
            f"{response.attempt_id} of task {response.task_id}",
        )
    return response


def read_ask_response(address, attempt_id, status, body):
    """Return the `AttemptState` in a response to a query of an attempt's state.

    Raises
    ------
    EndpointUnresponsive
        If the response is not a valid state of this attempt.
    """
    response = _decode(_state_decoder, body) if status == 200 else None
    if response is None:
        raise EndpointUnresponsive(
            "garbage", f"endpoint {address} answered {_describe(status, body)}"
        )
    if response.state is not AttemptPhase.FINISHED:
        return AttemptState(response.state, None, response.memory_s)
    result = _decode(_start_decoder, body)
    if result is None:
        raise EndpointUnresponsive(
            "garbage", f"endpoint {address} answered {_describe(status, body)}"
        )
    try:
        checked = _check_identity(address, attempt_id, None, result)
    except MaybeStarted as exc:
        raise EndpointUnresponsive(exc.cause, exc.message) from exc
    return AttemptState(AttemptPhase.FINISHED, checked, response.memory_s)


def read_status_response(address, status, body):
    """Return the `EndpointStatus` in a response; raise `EndpointUnresponsive` if it is invalid."""
    response = _decode(_status_decoder, body) if status == 200 else None
    if response is None:
        raise EndpointUnresponsive(
            "garbage", f"endpoint {address} answered {_describe(status, body)}"
        )
    return EndpointStatus(response.slots, response.free_slots, response.leaving)
