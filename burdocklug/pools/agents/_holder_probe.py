"""Finds out whether a live scheduler holds an endpoint: takes it over and waits for its return."""

import enum

import eventlet
import structlog

from burdocklug.pools._models import RunEndKind
from burdocklug.pools.agents._orders import (
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
)
from burdocklug.pools.agents._tokens import make_token

__all__ = ["BUSY_HOLDER_WAIT_S", "IDLE_HOLDER_WAIT_S", "HolderState", "probe_holder"]

# By then a holder of runs has renewed its lease (0.4 s), has asked its peers whether another
# scheduler replaced it (0.3 s), and has taken the endpoint back.
BUSY_HOLDER_WAIT_S = 0.9
# By then a holder without runs has, which lets the endpoint wait for up to 1.9 s.
IDLE_HOLDER_WAIT_S = 2.6
# Time after the probe's takeover in which no lease can lapse because of it: a live holder renewed
# the lease of 1 s no longer than 0.4 s before.
LAPSE_PROOF_S = 0.5
PROBE_PERIOD_S = 0.1
PROBE_TIMEOUT_S = 0.2

log = structlog.get_logger(__name__)


class HolderState(enum.Enum):
    """Whether a scheduler holds an endpoint."""

    HELD = "held"
    FREE = "free"
    UNREACHED = "unreached"


def probe_holder(entry, protocol, *, now, holder_number):
    """Return the `HolderState` of an endpoint; it may take `IDLE_HOLDER_WAIT_S`.

    The endpoint gets a higher fencing token, and nothing is started, stopped, renewed or
    acknowledged there. A live holder is fenced at its next renewal and takes the endpoint back
    well before its leases lapse, which fences the probe.

    Parameters
    ----------
    entry : EndpointEntry
        The endpoint.
    protocol : EndpointOrders
        Sends the requests.
    now : callable
        Returns the monotonic time in seconds.
    holder_number : int
        Number of this process, which makes its tokens unique.
    """
    try:
        return _probe(entry, protocol, now=now, holder_number=holder_number)
    except OrderFenced:
        return HolderState.HELD
    except (OrderUnanswered, OrderRefused, OtherIncarnation) as exc:
        log.info("endpoint_probe_failed", endpoint=entry.endpoint_id, error=str(exc)[:80])
        return HolderState.UNREACHED


def _probe(entry, protocol, *, now, holder_number):
    try:
        _request_report(entry, protocol, 0)
        return HolderState.FREE  # no scheduler has ever taken it over
    except OrderFenced as exc:
        token = make_token(entry.started_ms, exc.clock_ms, holder_number)
    began_s = now()
    report = _request_report(entry, protocol, token)
    is_busy = bool(report.active or report.ended)
    until_s = began_s + (BUSY_HOLDER_WAIT_S if is_busy else IDLE_HOLDER_WAIT_S)
    failure = None
    while True:
        if now() - began_s < LAPSE_PROOF_S and has_lapsed(report):
            return HolderState.FREE
        if now() >= until_s:
            if failure is not None:
                raise failure
            return HolderState.FREE
        eventlet.sleep(PROBE_PERIOD_S)
        try:
            report, failure = _request_report(entry, protocol, token), None
        except (OrderUnanswered, OrderRefused) as exc:
            protocol.retire(entry)
            failure = exc


def has_lapsed(report):
    """Return whether a run's lease lapsed and no holder has acknowledged that."""
    return any(end.kind is RunEndKind.LAPSED for end in report.ended)


def _request_report(entry, protocol, token):
    return protocol.renew(
        entry, token=token, acknowledged=0, lease_ms=None, wait_s=0.0, timeout_s=PROBE_TIMEOUT_S
    )
