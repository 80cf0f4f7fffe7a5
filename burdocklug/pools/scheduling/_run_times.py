"""Expected run times of tasks on endpoints, and which endpoints are too slow for a task."""

from burdocklug.pools.speed import cold_extra_s

__all__ = ["DISTANCE_FACTOR", "SLOW_FACTOR", "exclude_slow", "expected_run_s"]

SLOW_FACTOR = 1.8  # multiple of the median slowness; healthy workers are within 0.8 to 1.25
DISTANCE_FACTOR = 1.5  # default factor on run times outside the rack of the data


def expected_run_s(task, endpoint, start_s, *, distance_factor=DISTANCE_FACTOR):
    """Return the expected run time of a task that starts on an endpoint at a time, in seconds."""
    rack = task.job.spec.steps[task.step].preferred_rack
    factor = distance_factor if rack and rack not in endpoint.entry.labels else 1.0
    run_s = task.estimate_s * endpoint.slowness * factor
    if start_s < endpoint.cold_until_s:
        run_s += cold_extra_s(run_s, endpoint.cold_until_s - start_s)
    return run_s


def exclude_slow(
    task, endpoints, now_s, deadline_s, *, median_slowness, distance_factor=DISTANCE_FACTOR
):
    """Return the endpoints except slow ones on which a task would miss its deadline.

    Parameters
    ----------
    task : Task
        The task to place.
    endpoints : list of PoolEndpoint
        The candidates.
    now_s, deadline_s : float
        The current time, and the time by which the task should end.
    median_slowness : float
        Median over all endpoints; if all are slow, none is excluded.
    distance_factor : float, optional
        Factor on the run time of a task outside the rack of its data.
    """
    limit = SLOW_FACTOR * median_slowness
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.slowness <= limit
        or now_s + expected_run_s(task, endpoint, now_s, distance_factor=distance_factor)
        <= deadline_s
    ]
