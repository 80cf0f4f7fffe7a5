"""Checks endpoint answers: what the bytes of an answer prove about an attempt.

Pure functions; the only place that decides between a result, `NotStarted` and `MaybeStarted`.
"""

import msgspec

from burdocklug.endpoints._models import (
    AttemptPhase,
    AttemptResult,
    AttemptState,
    Count,
    EndpointSilent,
    EndpointStatus,
    MaybeStarted,
    NotStarted,
    Seconds,
)

__all__ = ["read_ask_answer", "read_start_answer", "read_status_answer"]

REFUSALS = {429: "full", 503: "leaving", 409: "fenced"}
SHOWN_BYTES = 60


class Refusal(msgspec.Struct, frozen=True):
    """Body of an answer that says that the task was not started."""

    started: bool
    reason: str
    free_slots: Count | None = None


class StateAnswer(msgspec.Struct, frozen=True):
    """Body of an answer to a question about an attempt."""

    state: AttemptPhase
    memory_s: Seconds = 0.0


class StatusAnswer(msgspec.Struct, frozen=True):
    """Body of an answer to a status call."""

    slots: Count
    free_slots: Count
    leaving: bool


_start_decoder = msgspec.json.Decoder(AttemptResult)
_refusal_decoder = msgspec.json.Decoder(Refusal)
_state_decoder = msgspec.json.Decoder(StateAnswer)
_status_decoder = msgspec.json.Decoder(StatusAnswer)


def _decode(decoder, body):
    """Return the decoded body, or None for anything that is not what the decoder expects."""
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def _shown(status, body):
    return f"status {status}, body {bytes(body[:SHOWN_BYTES])!r}"


def read_start_answer(address, attempt, status, body):
    """Return the result that an answer to a start proves.

    Parameters
    ----------
    address : str
        The endpoint, for messages.
    attempt : Attempt
        The attempt that was sent.
    status : int
        HTTP status of the answer.
    body : bytes
        The whole body.

    Returns
    -------
    AttemptResult
        Result of this very attempt.

    Raises
    ------
    NotStarted
        If a refusal says that the task was not started.
    MaybeStarted
        If the answer proves neither.

    Examples
    --------
    >>> from burdocklug.endpoints import Attempt
    >>> attempt = Attempt("a1", "job/0", "loom", None, 5.0)
    >>> body = b'{"started": false, "reason": "full", "free_slots": 0}'
    >>> read_start_answer("127.0.0.1:1", attempt, 429, body)
    Traceback (most recent call last):
    ...
    burdocklug.endpoints._models.NotStarted: endpoint 127.0.0.1:1 refused attempt a1: full
    """
    if status == 200:
        answer = _decode(_start_decoder, body)
        if answer is not None:
            return _checked_result(address, attempt.attempt_id, attempt.task_id, answer)
        raise MaybeStarted("garbage", f"endpoint {address} answered {_shown(status, body)}")
    reason = REFUSALS.get(status)
    refusal = _decode(_refusal_decoder, body) if reason else None
    if refusal is not None and not refusal.started and refusal.reason == reason:
        raise NotStarted(
            reason,
            f"endpoint {address} refused attempt {attempt.attempt_id}: {reason}",
            free_slots=refusal.free_slots,
        )
    raise MaybeStarted("status", f"endpoint {address} answered {_shown(status, body)}")


def _checked_result(address, attempt_id, task_id, answer):
    if answer.attempt_id != attempt_id or (task_id is not None and answer.task_id != task_id):
        raise MaybeStarted(
            "crossed",
            f"endpoint {address} answered attempt {attempt_id} with the answer to "
            f"{answer.attempt_id} of task {answer.task_id}",
        )
    return answer


def read_ask_answer(address, attempt_id, status, body):
    """Return the `AttemptState` that an answer to a question proves.

    Raises
    ------
    EndpointSilent
        If the answer proves nothing about this attempt.
    """
    answer = _decode(_state_decoder, body) if status == 200 else None
    if answer is None:
        raise EndpointSilent("garbage", f"endpoint {address} answered {_shown(status, body)}")
    if answer.state is not AttemptPhase.FINISHED:
        return AttemptState(answer.state, None, answer.memory_s)
    result = _decode(_start_decoder, body)
    if result is None:
        raise EndpointSilent("garbage", f"endpoint {address} answered {_shown(status, body)}")
    try:
        checked = _checked_result(address, attempt_id, None, result)
    except MaybeStarted as exc:
        raise EndpointSilent(exc.cause, exc.message) from exc
    return AttemptState(AttemptPhase.FINISHED, checked, answer.memory_s)


def read_status_answer(address, status, body):
    """Return the `EndpointStatus` of an answer; raises `EndpointSilent` for anything else."""
    answer = _decode(_status_decoder, body) if status == 200 else None
    if answer is None:
        raise EndpointSilent("garbage", f"endpoint {address} answered {_shown(status, body)}")
    return EndpointStatus(answer.slots, answer.free_slots, answer.leaving)
