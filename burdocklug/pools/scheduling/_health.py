"""Endpoint health derived from runs: consecutive faults with ejection."""

import structlog

__all__ = ["add_fault"]

FAULTS_TO_EJECT = (
    3  # consecutive; tasks at fault themselves rarely fail three in a row on one endpoint
)
FIRST_EJECTION_S = 0.5  # doubles with each failed trial
MAX_EJECTION_S = 5.0

log = structlog.get_logger(__name__)


def add_fault(endpoint, now_s):
    """Count a fault of an endpoint, and return whether the endpoint was ejected.

    Parameters
    ----------
    endpoint : PoolEndpoint
        The endpoint; a completed run resets its `faults`.
    now_s : float
        The current time.
    """
    endpoint.faults += 1
    if endpoint.faults < FAULTS_TO_EJECT:
        return False
    pause_s = min(FIRST_EJECTION_S * 2 ** (endpoint.faults - FAULTS_TO_EJECT), MAX_EJECTION_S)
    endpoint.ejected_until_s = now_s + pause_s
    log.info(
        "endpoint_ejected",
        endpoint=endpoint.entry.endpoint_id,
        faults=endpoint.faults,
        pause_s=pause_s,
    )
    return True
