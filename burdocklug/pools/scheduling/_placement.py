"""Placement of tasks on endpoints, by capacity, speed and data locality."""

import heapq
from dataclasses import dataclass, field

from burdocklug.pools._models import Resources
from burdocklug.pools.scheduling._run_times import DISTANCE_FACTOR, expected_run_s
from burdocklug.pools.speed import ColdPace, EndpointSpeed

__all__ = [
    "PoolEndpoint",
    "choose_endpoint",
    "count_free_slots",
    "count_slots",
    "is_eligible",
    "place_tasks",
]

MAX_SLOTS = 1000  # slots counted on one endpoint for tasks without resource demands


@dataclass(slots=True)
class PoolEndpoint:
    """The scheduler's state of one endpoint.

    Parameters
    ----------
    entry : EndpointEntry
        The endpoint's entry in the directory.
    usable : bool
        Whether its agent allows new starts.
    used : Resources
        Resources in use, including those of starts that were not confirmed.
    runs : dict
        Tasks that run or may run there, by name.
    slowness : float
        Run times as a multiple of those on usual endpoints; 1 if not known.
    speed : EndpointSpeed
        What its runs tell of that.
    faults : int
        Consecutive faults: failed or stalled runs, and starts refused as unhealthy.
    ejected_until_s : float
        End of the ejection after several consecutive faults; 0 if it was never ejected.
    reported_s : float
        When its last report was requested; ``-inf`` while it does not obey this scheduler.
    evacuated : bool
        Whether nothing may be started there, as operators evacuate its failure domain.
    cold_until_s : float
        Time until which it is slow after its start; 0 if it is not known to be.
    cold_pace : ColdPace
        Limits its starts until then.

    Attributes
    ----------
    free : Resources
        Resources not in use.
    """

    entry: object
    usable: bool = False
    used: Resources = field(default_factory=Resources)
    runs: dict = field(default_factory=dict)
    slowness: float = 1.0
    speed: EndpointSpeed = field(default_factory=EndpointSpeed)
    faults: int = 0
    ejected_until_s: float = 0.0
    reported_s: float = float("-inf")
    evacuated: bool = False
    cold_until_s: float = 0.0
    cold_pace: ColdPace = field(default_factory=ColdPace)
    free: Resources = field(init=False)

    def is_available(self, now_s):
        """Return whether the endpoint may get a task.

        After an ejection, it gets one trial task at a time until a run succeeds. While it is cold,
        its rate of starts is limited.
        """
        if not self.usable or self.evacuated or now_s < self.ejected_until_s:
            return False
        if now_s < self.cold_until_s and not self.cold_pace.starts(now_s):
            return False
        return not self.ejected_until_s or not self.faults or not self.runs

    def warm_up(self, now_s, *, for_s):
        """Mark the endpoint as cold for a time; a longer cold time that it has stays."""
        if now_s >= self.cold_until_s:
            self.cold_pace.begin(now_s)
        self.cold_until_s = max(self.cold_until_s, now_s + for_s)

    def note_start(self, now_s):
        """Count a start against the limit while the endpoint is cold."""
        if now_s < self.cold_until_s:
            self.cold_pace.take(now_s)

    def limit_starts(self, count, now_s):
        """Return how many of `count` starts the endpoint may get now."""
        return min(count, self.cold_pace.starts(now_s)) if now_s < self.cold_until_s else count

    def __post_init__(self):
        self.free = self.entry.capacity

    def update_entry(self, entry):
        """Replace the entry and recompute the free resources."""
        self.entry = entry
        self.free = entry.capacity - self.used

    def add(self, task):
        """Add a task and allocate its demand."""
        self.runs[task.name] = task
        self.used = self.used + task.demand
        self.free = self.free - task.demand

    def remove(self, task):
        """Remove a task and release its demand; does nothing if it is not there."""
        if self.runs.pop(task.name, None) is not None:
            self.used = self.used - task.demand
            self.free = self.free + task.demand


def is_eligible(task, endpoint):
    """Return whether an endpoint could run a task if it were idle."""
    step = task.job.spec.steps[task.step]
    entry = endpoint.entry
    if entry.service != task.job.spec.queue.service or not task.demand.fits(entry.capacity):
        return False
    return not step.required_label or step.required_label in entry.labels


def _has_capacity(task, endpoint):
    if not task.demand.fits(endpoint.free):
        return False
    limit = task.job.spec.steps[task.step].max_per_endpoint
    if not limit:
        return True
    placed = sum(t.job is task.job and t.step == task.step for t in endpoint.runs.values())
    return placed < limit


def count_free_slots(task, endpoints, now_s, *, limit):
    """Return how many tasks like this one can start now, counting up to `limit`."""
    slots = 0
    for endpoint in endpoints:
        if endpoint.is_available(now_s) and is_eligible(task, endpoint):
            slots += endpoint.limit_starts(count_slots(task.demand, endpoint.free), now_s)
            if slots >= limit:
                return limit
    return slots


def count_slots(demand, free):
    """Return how many tasks of a given demand fit into free resources.

    Examples
    --------
    >>> count_slots(Resources(6800, 64, 0), Resources(16000, 32768, 0))
    2
    """
    if not demand.fits(free):
        return 0
    slots = free.cpu // demand.cpu if demand.cpu else MAX_SLOTS
    if demand.memory_mb:
        slots = min(slots, free.memory_mb // demand.memory_mb)
    if demand.accelerators:
        slots = min(slots, free.accelerators // demand.accelerators)
    return slots


def choose_endpoint(task, endpoints, now_s, *, distance_factor=DISTANCE_FACTOR):
    """Return the endpoint on which a task should end first, or None if none has capacity.

    Parameters
    ----------
    task : Task
        The task to place.
    endpoints : iterable of PoolEndpoint
        The candidates.
    now_s : float
        The current time.
    distance_factor : float, optional
        Factor on the run time of a task outside the rack of its data.

    Notes
    -----
    Among endpoints of about the same speed, the best fit is chosen, which leaves the least free
    processor, so that larger tasks fit elsewhere. Endpoints that the task avoids after a fault come
    last.
    """
    best, best_key = None, None
    for endpoint in endpoints:
        if not _can_start(task, endpoint, now_s):
            continue
        failed_here = endpoint.entry.endpoint_id in task.avoided_endpoints
        key = (failed_here, *_preference(task, endpoint, now_s, distance_factor))
        if best_key is None or key < best_key:
            best, best_key = endpoint, key
    return best


def place_tasks(tasks, endpoints, now_s, *, distance_factor=DISTANCE_FACTOR):
    """Yield each task with its endpoint, in the order of tasks, until one cannot be placed.

    Parameters
    ----------
    tasks : iterable of Task
        Tasks of one job.
    endpoints : list of PoolEndpoint
        The candidates.
    now_s : float
        The current time.
    distance_factor : float, optional
        Factor on the run time of a task outside the rack of its data.

    Yields
    ------
    tuple of Task and PoolEndpoint
        The caller must add the task to the endpoint before it asks for the next pair.

    Notes
    -----
    The choice is the same as that of `choose_endpoint`, but the endpoints are ranked once for all
    tasks of a step that avoid no endpoint: with hundreds of endpoints, ranking is most of the cost
    of a start.
    """
    ranked = {}
    for task in tasks:
        if task.avoided_endpoints:
            endpoint = choose_endpoint(task, endpoints, now_s, distance_factor=distance_factor)
        else:
            if task.step not in ranked:
                ranked[task.step] = _rank(task, endpoints, now_s, distance_factor)
            endpoint = _next_endpoint(task, ranked[task.step], endpoints, now_s, distance_factor)
        if endpoint is None:
            return
        yield task, endpoint


def _can_start(task, endpoint, now_s):
    return (
        endpoint.is_available(now_s)
        and _has_capacity(task, endpoint)
        and is_eligible(task, endpoint)
    )


def _preference(task, endpoint, now_s, distance_factor):
    """Return the sort key of an endpoint for a task; the lowest is preferred."""
    run_s = expected_run_s(task, endpoint, now_s, distance_factor=distance_factor)
    left = endpoint.free.cpu - task.demand.cpu
    return round(run_s / max(task.estimate_s, 0.001), 1), left


def _rank(task, endpoints, now_s, distance_factor):
    ranked = [
        (*_preference(task, endpoint, now_s, distance_factor), number)
        for number, endpoint in enumerate(endpoints)
        if _can_start(task, endpoint, now_s)
    ]
    heapq.heapify(ranked)
    return ranked


def _next_endpoint(task, ranked, endpoints, now_s, distance_factor):
    """Return the best endpoint of a ranking, updating keys that have changed since."""
    while ranked:
        *key, number = ranked[0]
        endpoint = endpoints[number]
        if not _can_start(task, endpoint, now_s):
            heapq.heappop(ranked)
            continue
        present = _preference(task, endpoint, now_s, distance_factor)
        if present == tuple(key):
            return endpoint
        heapq.heapreplace(ranked, (*present, number))
    return None
