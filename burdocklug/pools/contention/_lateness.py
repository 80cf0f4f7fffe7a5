"""Priority of waiting jobs under overload, and the test for jobs that are refused.

Jobs that can still end within their objective go first. A job that would be late gets only the
capacity that those leave, and a job that cannot end while its answer is still useful to its caller
is refused at once.
"""

__all__ = [
    "MAX_LATENESS_FACTOR",
    "is_too_late",
    "latest_start_s",
    "latest_useful_end_s",
    "priority_key",
]

MAX_LATENESS_FACTOR = 3.0  # multiple of the objective after which an answer is useless to callers


def latest_useful_end_s(job):
    """Return the time after which the job's answer is useless to its caller."""
    return min(job.received_s + MAX_LATENESS_FACTOR * (job.due_s - job.received_s), job.expires_s)


def latest_start_s(job):
    """Return the time by which the waiting tasks of a job must start for it to end in time."""
    return job.due_s - job.remaining_s()


def priority_key(job, now_s):
    """Return the sort key of a waiting job; the lowest goes first.

    Jobs that can still end in time are sorted by the operators' priority, then by their latest
    start. Late jobs come after them: first those that have started, then the others, each by the
    time after which the answer is useless.
    """
    start_by_s = latest_start_s(job)
    if start_by_s >= now_s:
        return (0, job.spec.queue.priority, start_by_s)
    return (1 if job.started else 2, latest_useful_end_s(job))


def is_too_late(job, start_s):
    """Return whether a job that starts at `start_s` ends after its answer has become useless."""
    return start_s + job.remaining_s() > latest_useful_end_s(job)
