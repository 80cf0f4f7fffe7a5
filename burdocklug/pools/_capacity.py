"""What the endpoints of a pool could hold if nothing ran: plain counts."""

from burdocklug.pools._jobs import make_job
from burdocklug.pools._placement import allowed_at, places_at

__all__ = ["PlaceCounts", "why_impossible"]

KEEP_S = 1.0  # endpoints come and go seldom beside jobs


class PlaceCounts:
    """Counts places for tasks, and remembers the counts for a while.

    Parameters
    ----------
    rooms : dict
        Endpoints by id.
    now : callable
        Returns monotonic seconds.
    """

    def __init__(self, rooms, *, now):
        self._rooms = rooms
        self._now = now
        self._counted_s = 0.0
        self._places = {}  # by service and demand of a task

    def forget(self):
        """Count anew when asked next."""
        self._places.clear()

    def most_at_once(self, spec):
        """Return how many of a job's largest tasks the endpoints hold while nothing else runs."""
        now = self._now()
        if now - self._counted_s >= KEEP_S:
            self._counted_s = now
            self.forget()
        demand = max((step.demand for step in spec.steps), key=lambda demand: demand.cpu)
        key = spec.queue.service, demand
        if key not in self._places:
            self._places[key] = self._count(*key)
        return self._places[key]

    def _count(self, service, demand):
        entries = [room.entry for room in self._rooms.values() if not room.entry.draining]
        return sum(places_at(demand, e.capacity) for e in entries if e.service == service)


def why_impossible(spec, rooms):
    """Return why none of the endpoints could ever run a job, or None.

    An endpoint that only lacks room now counts, one that drains does not.
    """
    probe = make_job(spec, received_s=0.0, wait_s=1.0)
    rooms = [room for room in rooms if not room.entry.draining]
    first_of_step = {task.step: task for task in reversed(probe.tasks)}
    for step, task in first_of_step.items():
        if not any(allowed_at(task, room) for room in rooms):
            return f"no endpoint of {spec.queue.service!r} can hold a task of step {step}"
    return None
