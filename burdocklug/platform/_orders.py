"""Orders to the platform's workers, sent over HTTP."""

import msgspec

from burdocklug.kernel import MalformedValue, decode_json
from burdocklug.platform._calls import JsonClient, NoResponse
from burdocklug.platform._ranges import Moment, Number, Share
from burdocklug.pools import (
    ActiveRun,
    EndpointOrders,
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
    RefusalReason,
    RunEnd,
    RunEndKind,
    RunReport,
    order_protocols,
)

__all__ = ["PlatformOrders"]

WORKER_IDLE_S = 60.0  # connecting is expensive; a missed report retires dead connections
WORKER_CONNECTIONS = 16  # of 64 that a worker accepts; the previous scheduler may hold another 16
REFUSAL_REASONS = {
    "room": RefusalReason.NO_CAPACITY,
    "old": RefusalReason.OLD_ATTEMPT,
    "late": RefusalReason.LATE,
}
END_KINDS = {
    "done": RunEndKind.DONE,
    "failed": RunEndKind.FAILED,
    "stopped": RunEndKind.STOPPED,
}  # other kinds (lapsed, broke, waited alone) count as LAPSED


class _ActiveRow(msgspec.Struct, frozen=True, array_like=True):
    task: str
    attempt: Number
    checkpoint: object
    percent: Share


class _EndRow(msgspec.Struct, frozen=True, array_like=True):
    number: Number
    task: str
    attempt: Number
    kind: str


class _Answer(msgspec.Struct, frozen=True):
    clock_ms: Moment
    reason: str = ""
    born: Moment = 0  # start of the current incarnation, Unix milliseconds
    active: list[_ActiveRow] = []
    ended: list[_EndRow] = []


def decode_answer(status, raw):
    """Return a worker's answer; raises `OrderUnanswered` if it is not valid."""
    try:
        return decode_json(raw, _Answer)
    except MalformedValue as exc:
        raise OrderUnanswered(f"status {status}, answer is not valid: {exc}") from exc


@order_protocols.register("platform")
class PlatformOrders(EndpointOrders):
    """Implementation of `EndpointOrders` for the platform's workers.

    Parameters
    ----------
    now : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, now):
        self._client = JsonClient(idle_s=WORKER_IDLE_S, limit=WORKER_CONNECTIONS, now=now)

    def start(self, entry, *, task, attempt, payload, lease_ms, token, timeout_s):
        """Start a run and return the worker's clock."""
        body = {
            "task": task,
            "attempt": attempt,
            "spec": payload,
            "deadline_ms": lease_ms,
            "fencing_token": token,
        }
        return self._call(entry, "/run-start", body, timeout_s).clock_ms

    def stop(self, entry, *, task, attempt, token, timeout_s):
        """Stop a run, or make the worker refuse its start if that arrives later."""
        body = {"task": task, "attempt": attempt, "fencing_token": token}
        self._call(entry, "/run-stop", body, timeout_s)

    def renew(self, entry, *, token, acknowledged, lease_ms, wait_s, timeout_s):
        """Renew the lease of all active runs and return the worker's report."""
        body = {"fencing_token": token, "acked_through": acknowledged}
        if lease_ms is not None:
            body["deadline_ms"] = lease_ms
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        answer = self._call(entry, "/hold", body, timeout_s)
        return RunReport(
            answer.clock_ms,
            answer.born,
            tuple(ActiveRun(row.task, row.attempt, int(row.percent)) for row in answer.active),
            tuple(
                RunEnd(
                    row.number, row.task, row.attempt, END_KINDS.get(row.kind, RunEndKind.LAPSED)
                )
                for row in answer.ended
            ),
        )

    def retire(self, entry):
        """Reuse none of the open connections to the worker."""
        self._client.retire(entry.address)

    def _call(self, entry, path, body, timeout_s):
        headers = b"X-Expect-Instance: %b\r\n" % entry.endpoint_id.encode()
        try:
            status, raw = self._client.call(
                entry.address, "POST", path, body, timeout_s=timeout_s, headers=headers
            )
        except NoResponse as exc:
            raise OrderUnanswered(str(exc)) from exc
        if status == 421:
            raise OtherIncarnation(entry.endpoint_id)
        if status in (429, 503):
            raise OrderRefused(RefusalReason.UNHEALTHY)
        if status == 400:
            raise OrderRefused(RefusalReason.INVALID)
        answer = decode_answer(status, raw)
        if status == 200:
            return answer
        if answer.reason == "fence":
            raise OrderFenced(answer.clock_ms)
        if answer.reason in REFUSAL_REASONS:
            raise OrderRefused(REFUSAL_REASONS[answer.reason], answer.clock_ms)
        raise OrderUnanswered(f"status {status}, reason {answer.reason!r}")
