"""Endpoint health derived from runs: consecutive faults with ejection, and slowness."""

import structlog

__all__ = ["add_fault", "decay_slowness", "median_slowness", "update_slowness"]

ORDER_ROUND_TRIP_S = 0.01  # delivery of order and report, which measured run times include
SLOWNESS_WEIGHT = 0.1  # weight of one run in the moving average; estimates are off by 40 %
# Factor above or below the expected run time beyond which a run is an outlier; estimates err less.
OUTLIER_FACTOR = 3.0
OUTLIERS_TO_CONFIRM = 2  # consecutive; a single one may be a task that takes longer than declared
OUTLIER_WEIGHT = 0.5  # weight of a confirmed outlier in the moving average
SLOWNESS_BOUNDS = (0.5, 10.0)  # lowest and highest sample
DECAY_WEIGHT = 0.2  # share of its excess over the median that an idle endpoint loses each second
FAULTS_TO_EJECT = (
    3  # consecutive; tasks at fault themselves rarely fail three in a row on one endpoint
)
FIRST_EJECTION_S = 0.5  # doubles with each failed trial
MAX_EJECTION_S = 5.0

log = structlog.get_logger(__name__)


def update_slowness(endpoint, run_s, expected_s):
    """Update the moving average of an endpoint's slowness from one run.

    Parameters
    ----------
    endpoint : PoolEndpoint
        Endpoint of the run; its `slowness` moves towards the sample.
    run_s, expected_s : float
        Measured time from the order to the report of the end, and expected run time, in seconds.
    """
    if expected_s <= 0:
        return
    ratio = (run_s - ORDER_ROUND_TRIP_S) / expected_s
    bounded = min(max(ratio, 1 / OUTLIER_FACTOR), OUTLIER_FACTOR)
    endpoint.outliers = endpoint.outliers + 1 if ratio != bounded else 0
    is_confirmed = endpoint.outliers >= OUTLIERS_TO_CONFIRM
    low, high = SLOWNESS_BOUNDS
    seen = min(max(endpoint.slowness * (ratio if is_confirmed else bounded), low), high)
    endpoint.slowness += (OUTLIER_WEIGHT if is_confirmed else SLOWNESS_WEIGHT) * (
        seen - endpoint.slowness
    )


def median_slowness(endpoints):
    """Return the median slowness of endpoints, 1 if there are none."""
    values = sorted(endpoint.slowness for endpoint in endpoints)
    return values[len(values) // 2] if values else 1.0


def decay_slowness(endpoint, median):
    """Move the slowness of an idle endpoint towards the median, so that it gets work again."""
    if not endpoint.runs and endpoint.slowness > median:
        endpoint.slowness += DECAY_WEIGHT * (median - endpoint.slowness)


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
