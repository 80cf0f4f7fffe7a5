"""Jobs that can't be answered in time any more, found before their callers stop waiting."""

from burdocklug.pools.contention._lateness import latest_useful_end_s

__all__ = ["MIN_RUN_FACTOR", "find_hopeless_reason"]

# Shortest run time as a multiple of the estimate; estimates are rough.
MIN_RUN_FACTOR = 0.5
# Part of the time that an endpoint's report of progress projects for a run.
MIN_PROJECTED_FACTOR = 0.8


def find_hopeless_reason(job, now_s):
    """Return why a job can't be answered in time, or an empty string if it may be.

    Parameters
    ----------
    job : Job
        A job that has not ended.
    now_s : float
        The current time.

    Notes
    -----
    A job that has started is given up only if it can't end before its caller leaves, since a late
    answer is delivered too. A job that waits for another scheduler's runs may be done already, and
    a job whose caller waits for less than its estimate is not judged by that estimate.
    """
    if job.hold is not None:
        return ""
    if not job.started:
        # All waiting tasks may run at once, in fewer waves than planned.
        least_s = max((task.estimate_s for task in job.waiting), default=0.0)
        is_hopeless = now_s + least_s > latest_useful_end_s(job)
        return "too_late" if is_hopeless and _is_estimate_plausible(job) else ""
    rest_s = max((_least_rest_s(task, now_s) for task in job.tasks), default=0.0)
    is_hopeless = now_s + rest_s > job.expires_s and _is_estimate_plausible(job)
    return "ends_after_caller_leaves" if is_hopeless else ""


def _is_estimate_plausible(job):
    """Return whether the caller waits for longer than the longest task is estimated to run."""
    return max(task.estimate_s for task in job.tasks) <= job.expires_s - job.received_s


def _least_rest_s(task, now_s):
    """Return the least time until a task can be done, in seconds; 0 if it may be any moment."""
    if task.state.is_placed:
        projected_s = task.progress.projected_end_s() if task.progress is not None else None
        if projected_s is None:
            return 0.0
        return task.started_s + MIN_PROJECTED_FACTOR * (projected_s - task.started_s) - now_s
    return 0.0 if task.state.is_over else MIN_RUN_FACTOR * task.estimate_s
