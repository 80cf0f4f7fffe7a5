"""Expected run times of tasks on endpoints, and which endpoints are too slow for a task."""

from burdocklug.pools.speed import SLOW_FACTOR, cold_extra_s

__all__ = [
    "DISTANCE_FACTOR",
    "exclude_slow",
    "expected_end_s",
    "expected_run_s",
    "usual_run_s",
]

DISTANCE_FACTOR = 1.5  # default factor on run times outside the rack of the data
MIN_REMAINING_S = 0.03  # expected remaining time of a run that should have ended


def usual_run_s(task, endpoint, *, distance_factor=DISTANCE_FACTOR):
    """Return a task's estimate, in seconds, multiplied if its data is far from the endpoint."""
    rack = task.job.spec.steps[task.step].preferred_rack
    factor = distance_factor if rack and rack not in endpoint.entry.labels else 1.0
    return task.estimate_s * factor


def expected_run_s(task, endpoint, start_s, *, distance_factor=DISTANCE_FACTOR):
    """Return the expected run time of a task that starts on an endpoint at a time, in seconds."""
    usual_s = usual_run_s(task, endpoint, distance_factor=distance_factor)
    run_s = usual_s * task.job.times.ratio * endpoint.slowness
    if start_s < endpoint.cold_until_s:
        run_s += cold_extra_s(run_s, endpoint.cold_until_s - start_s)
    return run_s


def expected_end_s(task, run_s, now_s):
    """Return when a run that is under way should end, from its progress where that is known.

    Parameters
    ----------
    task : Task
        The task of the run.
    run_s : float
        Its expected run time, in seconds.
    now_s : float
        The current time.
    """
    projected_s = task.progress.projected_end_s() if task.progress is not None else None
    end_s = task.started_s + run_s if projected_s is None else projected_s
    return max(end_s, now_s + MIN_REMAINING_S)


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
