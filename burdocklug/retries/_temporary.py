"""One attempt: send, and where the outcome is not known ask on a new connection."""

from dataclasses import dataclass

import eventlet

from burdocklug.endpoints import AttemptPhase, EndpointSilent, MaybeStarted, NotStarted

__all__ = ["Finished", "NotRun", "Unknown", "run_attempt"]

ASK_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Finished:
    """The attempt ran; `result` is whole."""

    result: object


@dataclass(frozen=True, slots=True)
class NotRun:
    """The attempt was not started and never will be."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Nobody knows whether the attempt ran."""

    why: str


def run_attempt(protocol, address, attempt, *, now):
    """Run an attempt to a known end, or to its deadline."""
    until_s = now() + attempt.deadline_s
    try:
        return Finished(protocol.start(address, attempt, timeout_s=attempt.deadline_s))
    except NotStarted as exc:
        return NotRun(exc.reason)
    except MaybeStarted as exc:
        why = exc.message
    while (left_s := until_s - now()) > 0:
        try:
            state = protocol.ask(
                address, attempt.attempt_id, timeout_s=min(left_s, ASK_TIMEOUT_S), wait_s=0.5
            )
        except EndpointSilent as exc:
            why = exc.message
            eventlet.sleep(0.1)
            continue
        if state.phase is AttemptPhase.NOT_STARTED:
            return NotRun("fenced")
        if state.phase is AttemptPhase.FINISHED:
            return Finished(state.result)
    return Unknown(why)
