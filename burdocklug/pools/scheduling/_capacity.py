"""Capacity of the endpoints of an idle pool, and the check that they can run a job at all."""

from burdocklug.pools.scheduling._jobs import make_job
from burdocklug.pools.scheduling._placement import count_slots, is_eligible

__all__ = ["SlotCounts", "find_placement_obstacle"]

CACHE_LIFETIME_S = 1.0  # endpoints change seldom compared to the rate of jobs


class SlotCounts:
    """Cached counts of the slots that idle endpoints have for a task demand.

    Parameters
    ----------
    endpoints : dict
        Endpoints by id.
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, endpoints, *, now):
        self._endpoints = endpoints
        self._now = now
        self._counted_s = 0.0
        self._slots = {}  # slot counts by service and task demand

    def invalidate(self):
        """Drop the cached counts."""
        self._slots.clear()

    def max_concurrent_tasks(self, spec):
        """Return how many of a job's largest tasks the endpoints can run at once when idle."""
        now = self._now()
        if now - self._counted_s >= CACHE_LIFETIME_S:
            self._counted_s = now
            self.invalidate()
        demand = max((step.demand for step in spec.steps), key=lambda demand: demand.cpu)
        key = spec.queue.service, demand
        if key not in self._slots:
            self._slots[key] = self._count(*key)
        return self._slots[key]

    def _count(self, service, demand):
        endpoints = self._endpoints.values()
        entries = [e.entry for e in endpoints if not (e.entry.draining or e.evacuated)]
        return sum(count_slots(demand, e.capacity) for e in entries if e.service == service)


def find_placement_obstacle(spec, endpoints, *, has_others=False):
    """Return why the endpoints can never run a job, or None if they can.

    An endpoint that is merely full counts; one that is draining or evacuated does not.

    Parameters
    ----------
    spec : JobSpec
        The job.
    endpoints : iterable of PoolEndpoint
        All endpoints of the scheduler.
    has_others : bool, optional
        Whether there are endpoints that this scheduler doesn't serve. Then a job that only
        evacuated endpoints here could hold may wait for a scheduler that serves them.
    """
    probe = make_job(spec, received_s=0.0, wait_s=1.0)
    staying = [endpoint for endpoint in endpoints if not endpoint.entry.draining]
    accepting = [endpoint for endpoint in staying if has_others or not endpoint.evacuated]
    first_of_step = {task.step: task for task in reversed(probe.tasks)}
    for step, task in first_of_step.items():
        if not any(is_eligible(task, endpoint) for endpoint in accepting):
            is_evacuated = any(is_eligible(task, endpoint) for endpoint in staying)
            which = "only an evacuated" if is_evacuated else "no"
            return f"{which} endpoint of {spec.queue.service!r} can hold a task of step {step}"
    return None
