"""What runs tell of an endpoint: faults in a row, and how slow it is."""

import structlog

__all__ = ["add_fault", "forget_slowness", "learn_slowness", "usual_slowness"]

REPORT_S = 0.01  # for the order to arrive and the report to come back
SLOWNESS_SHARE = 0.1  # weight of one run; estimates are off by 40 %
OUTLIER_FACTOR = 3.0  # over or under what was expected; errors of estimates don't explain it
OUTLIERS_TO_JUMP = 2  # in a row; a single one may be a task that takes longer than declared
JUMP_SHARE = 0.5  # weight of those runs
SLOWNESS_BOUNDS = (0.5, 10.0)
FORGET_SHARE = 0.2  # a second, of what an endpoint without runs is slower than others
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
    ratio = (run_s - REPORT_S) / expected_s
    bounded = min(max(ratio, 1 / OUTLIER_FACTOR), OUTLIER_FACTOR)
    room.outliers = room.outliers + 1 if ratio != bounded else 0
    is_jump = room.outliers >= OUTLIERS_TO_JUMP
    low, high = SLOWNESS_BOUNDS
    seen = min(max(room.slowness * (ratio if is_jump else bounded), low), high)
    room.slowness += (JUMP_SHARE if is_jump else SLOWNESS_SHARE) * (seen - room.slowness)


def usual_slowness(rooms):
    """Return the median slowness of endpoints, 1 where there are none."""
    known = sorted(room.slowness for room in rooms)
    return known[len(known) // 2] if known else 1.0


def forget_slowness(room, usual):
    """Let an endpoint that ran nothing for a second get work again, should it be fast by now."""
    if not room.runs and room.slowness > usual:
        room.slowness += FORGET_SHARE * (usual - room.slowness)


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
