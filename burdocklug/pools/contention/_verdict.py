"""The decision on one waiting job: whether it is served, waits or is refused."""

import enum
from dataclasses import dataclass

from burdocklug.pools.contention._lateness import latest_start_s, latest_useful_end_s

__all__ = ["Offer", "Verdict", "verdict"]


class Verdict(enum.Enum):
    """What happens to a waiting job."""

    SERVE = "serve"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Offer:
    """When the waiting tasks of a job can start and end.

    Parameters
    ----------
    start_s, end_s : float
        When the last task of the next wave can start, and when the waiting tasks end.
    free : int
        How many of the tasks fit now.
    """

    start_s: float
    end_s: float
    free: int


def verdict(job, offer, now_s, *, plan=None):
    """Return the verdict on a waiting job.

    A job is refused only if it can't end while its answer is useful, or if the room in which it
    could is needed by other jobs; never for lack of room while its tasks fit.

    Parameters
    ----------
    job : Job
        The job.
    offer : Offer
        When its tasks can start and end.
    now_s : float
        The current time.
    plan : Plan, optional
        Plan of this pass; without one, all waiting jobs can be in time.
    """
    if offer.start_s <= latest_start_s(job):
        return Verdict.SERVE
    if job.started:
        return Verdict.WAIT
    if offer.end_s > latest_useful_end_s(job):
        return Verdict.REFUSE
    if plan is not None and offer.free < job.next_wave() and plan.is_crowded_out(job, now_s):
        return Verdict.REFUSE
    return Verdict.WAIT
