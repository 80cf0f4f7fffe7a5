"""What runs tell of an endpoint: faults in a row, and how slow it is."""

import structlog

__all__ = ["add_fault", "learn_slowness"]

REPORT_S = 0.01  # for the order to arrive and the report to come back
SLOWNESS_SHARE = 0.1  # weight of one run; estimates are off by 40 %
SLOWNESS_BOUNDS = (0.5, 10.0)
FAULTS_TO_EJECT = 3  # in a row; a task's own faults rarely meet three times at one endpoint
EJECT_S = 0.5  # before the first trial; doubles with each trial that fails
MAX_EJECT_S = 5.0

log = structlog.get_logger(__name__)


def learn_slowness(room, run_s, expected_s):
    """Take in how long a run took.

    Parameters
    ----------
    room : EndpointRoom
        Where it ran; its `slowness` moves towards what was seen.
    run_s, expected_s : float
        Time from the order to the report of the end, and the time that was expected, in seconds.
    """
    if expected_s <= 0:
        return
    low, high = SLOWNESS_BOUNDS
    seen = min(max(room.slowness * (run_s - REPORT_S) / expected_s, low), high)
    room.slowness += SLOWNESS_SHARE * (seen - room.slowness)


def add_fault(room, now_s):
    """Count a fault of an endpoint; return whether it gets nothing but single trials now.

    Parameters
    ----------
    room : EndpointRoom
        Its `faults` are reset by a run that is done.
    now_s : float
        The time.
    """
    room.faults += 1
    if room.faults < FAULTS_TO_EJECT:
        return False
    pause_s = min(EJECT_S * 2 ** (room.faults - FAULTS_TO_EJECT), MAX_EJECT_S)
    room.ejected_until_s = now_s + pause_s
    log.info(
        "endpoint_ejected",
        endpoint=room.entry.endpoint_id,
        faults=room.faults,
        pause_s=pause_s,
    )
    return True
