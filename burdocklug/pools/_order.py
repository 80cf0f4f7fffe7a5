"""Which job goes first, and which is not worth holding: plain functions.

They answer a load above what the endpoints carry. Callers whose whole answer can still be in time
go first. A job that would be late takes only room that timely ones leave, and a job that can't be
answered while its caller waits is refused at once.
"""

__all__ = ["LATE_FACTOR", "is_hopeless", "late_end_s", "order_key", "start_by_s"]

LATE_FACTOR = 3.0  # an answer after this multiple of the objective is worth nothing to callers


def late_end_s(job):
    """Return the time after which the job's answer is worth nothing to its caller."""
    return min(job.received_s + LATE_FACTOR * (job.goal_s - job.received_s), job.expires_s)


def start_by_s(job):
    """Return the time by which all waiting tasks of a job have to begin to end in time."""
    return job.goal_s - job.remaining_s()


def order_key(job, now_s):
    """Return the key by which waiting jobs are sorted; the lowest goes first.

    Jobs that can still end in time go by the operators' priority, then by the time at which they
    have to start. Those that are late already come after them: begun ones, then others by the time
    until their answer is worth nothing.
    """
    by_s = start_by_s(job)
    if by_s >= now_s:
        return (0, job.spec.queue.priority, by_s)
    return (1 if job.started else 2, late_end_s(job))


def is_hopeless(job, begin_s):
    """Return whether a job that begins at a time ends after its answer is worth nothing."""
    return begin_s + job.remaining_s() > late_end_s(job)
