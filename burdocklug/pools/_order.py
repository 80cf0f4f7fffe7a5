"""Which job goes first, and which is not worth holding: plain functions.

They answer a load above what the endpoints carry: callers whose answer can still be in time go
before callers whose answer is late already, and a job that can't be answered while its caller
waits is refused at once.
"""

__all__ = ["LATE_FACTOR", "is_hopeless", "order_key"]

LATE_FACTOR = 3.0  # an answer after this multiple of the objective is worth nothing to callers


def late_end_s(job):
    """Return the time after which the job's answer is worth nothing to its caller."""
    return min(job.received_s + LATE_FACTOR * (job.goal_s - job.received_s), job.expires_s)


def order_key(job, now_s):
    """Return the key by which waiting jobs are sorted; the lowest goes first.

    Jobs that can still end in time go by the time at which they have to start, then come those
    that are late already, by the time that is left before their answer is worth nothing.
    """
    start_by_s = job.goal_s - job.remaining_s()
    if start_by_s >= now_s or job.started:
        return (0, start_by_s)
    return (1, late_end_s(job))


def is_hopeless(job, now_s):
    """Return whether a job, started now, ends after its answer is worth nothing."""
    return now_s + job.remaining_s() > late_end_s(job)
