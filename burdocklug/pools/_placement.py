"""Where a task goes: plain functions over what the scheduler knows of endpoints."""

import heapq
from dataclasses import dataclass, field

from burdocklug.pools._models import Room

__all__ = [
    "EndpointRoom",
    "allowed_at",
    "choose_endpoint",
    "count_places",
    "expected_run_s",
    "place_tasks",
    "without_slow",
    "places_at",
]

MAX_PLACES = 1000  # of tasks that need nothing
SLOW_FACTOR = 1.8  # times the usual run times; sound workers are within 0.8 to 1.25
DISTANCE_FACTOR = 1.5  # times as long on a rack without the data, where the settings name none


@dataclass(slots=True)
class EndpointRoom:
    """What the scheduler knows of one endpoint.

    Parameters
    ----------
    entry : EndpointEntry
        What the endpoint says of itself.
    usable : bool
        Whether it may get work now.
    used : Room
        What runs there needs, orders in doubt included.
    runs : dict
        Tasks that run, or may run, there, by name.
    slowness : float
        Run times there as a multiple of the estimates, relative to other endpoints.
    outliers : int
        Runs in a row that took far longer, or shorter, than expected.
    faults : int
        Runs in a row that failed or stood still.
    ejected_until_s : float
        Time before which it gets nothing, as it had several faults in a row; 0 for none.
    """

    entry: object
    usable: bool = False
    used: Room = field(default_factory=Room)
    runs: dict = field(default_factory=dict)
    slowness: float = 1.0
    outliers: int = 0
    faults: int = 0
    ejected_until_s: float = 0.0
    free: Room = field(init=False)

    def is_open(self, now_s):
        """Return whether the endpoint may get work; an ejected one gets single trials."""
        if not self.usable or now_s < self.ejected_until_s:
            return False
        return not self.ejected_until_s or not self.faults or not self.runs

    def __post_init__(self):
        self.free = self.entry.capacity

    def renew_entry(self, entry):
        """Take in what the endpoint says of itself now."""
        self.entry = entry
        self.free = entry.capacity - self.used

    def add(self, task):
        """Count a task's demand."""
        self.runs[task.name] = task
        self.used = self.used + task.demand
        self.free = self.free - task.demand

    def remove(self, task):
        """Give back a task's demand; a task that is not there changes nothing."""
        if self.runs.pop(task.name, None) is not None:
            self.used = self.used - task.demand
            self.free = self.free + task.demand


def allowed_at(task, room):
    """Return whether an endpoint may run a task at all, whatever its load."""
    step = task.job.spec.steps[task.step]
    entry = room.entry
    if entry.service != task.job.spec.queue.service or not task.demand.fits(entry.capacity):
        return False
    return not step.required_label or step.required_label in entry.labels


def _has_room(task, room):
    if not task.demand.fits(room.free):
        return False
    limit = task.job.spec.steps[task.step].max_per_endpoint
    if not limit:
        return True
    here = sum(t.job is task.job and t.step == task.step for t in room.runs.values())
    return here < limit


def expected_run_s(task, room, *, distance_factor=DISTANCE_FACTOR):
    """Return how long a task is expected to run at an endpoint, in seconds."""
    rack = task.job.spec.steps[task.step].preferred_rack
    far = distance_factor if rack and rack not in room.entry.labels else 1.0
    return task.estimate_s * room.slowness * far


def count_places(task, rooms, now_s, *, most):
    """Return how many tasks like this one find room now, `most` at the most."""
    places = 0
    for room in rooms:
        if room.is_open(now_s) and allowed_at(task, room):
            places += places_at(task.demand, room.free)
            if places >= most:
                return most
    return places


def without_slow(task, rooms, now_s, by_s, *, usual_slowness, distance_factor=DISTANCE_FACTOR):
    """Return endpoints without those slow ones at which a task would end too late.

    Parameters
    ----------
    task : Task
        What to place.
    rooms : list of EndpointRoom
        Endpoints.
    now_s, by_s : float
        The time, and when the task should have ended.
    usual_slowness : float
        That of most endpoints; where all are slow, none is left out.
    distance_factor : float, optional
        Times as long a task takes away from the rack of its data.
    """
    limit = SLOW_FACTOR * usual_slowness
    return [
        room
        for room in rooms
        if room.slowness <= limit
        or now_s + expected_run_s(task, room, distance_factor=distance_factor) <= by_s
    ]


def places_at(demand, free):
    """Return how many tasks of a demand fit into free resources.

    Examples
    --------
    >>> places_at(Room(6800, 64, 0), Room(16000, 32768, 0))
    2
    """
    if not demand.fits(free):
        return 0
    places = free.cpu // demand.cpu if demand.cpu else MAX_PLACES
    if demand.memory_mb:
        places = min(places, free.memory_mb // demand.memory_mb)
    if demand.accelerators:
        places = min(places, free.accelerators // demand.accelerators)
    return places


def choose_endpoint(task, rooms, now_s, *, distance_factor=DISTANCE_FACTOR):
    """Return the endpoint on which a task ends first, or None where none has room.

    Parameters
    ----------
    task : Task
        What to place.
    rooms : iterable of EndpointRoom
        All endpoints.
    now_s : float
        The time.
    distance_factor : float, optional
        Times as long a task takes away from the rack of its data.

    Notes
    -----
    Of endpoints that are about as fast, the one with the least room left over is chosen, so that
    larger tasks find room elsewhere. Endpoints at which the task has failed come last.
    """
    best, best_key = None, None
    for room in rooms:
        if not _may_start(task, room, now_s):
            continue
        failed_here = room.entry.endpoint_id in task.avoided
        key = (failed_here, *_preference(task, room, distance_factor))
        if best_key is None or key < best_key:
            best, best_key = room, key
    return best


def place_tasks(tasks, rooms, now_s, *, distance_factor=DISTANCE_FACTOR):
    """Yield pairs of a task and its endpoint, in the order of tasks, as long as there is room.

    Parameters
    ----------
    tasks : iterable of Task
        Tasks of one job.
    rooms : list of EndpointRoom
        All endpoints with room.
    now_s : float
        The time.
    distance_factor : float, optional
        Times as long a task takes away from the rack of its data.

    Yields
    ------
    tuple of Task and EndpointRoom
        Each has to be carried out before the next one is asked for.

    Notes
    -----
    Chooses like `choose_endpoint`, yet weighs the endpoints once for all tasks of a step that have
    failed nowhere: with hundreds of endpoints this is most of what a start costs.
    """
    ranked = {}
    for task in tasks:
        if task.avoided:
            room = choose_endpoint(task, rooms, now_s, distance_factor=distance_factor)
        else:
            if task.step not in ranked:
                ranked[task.step] = _rank(task, rooms, now_s, distance_factor)
            room = _next_room(task, ranked[task.step], rooms, now_s, distance_factor)
        if room is None:
            return
        yield task, room


def _may_start(task, room, now_s):
    return room.is_open(now_s) and _has_room(task, room) and allowed_at(task, room)


def _preference(task, room, distance_factor):
    """Return the key of an endpoint for a task: the lowest is chosen."""
    run_s = expected_run_s(task, room, distance_factor=distance_factor)
    left = room.free.cpu - task.demand.cpu
    return round(run_s / max(task.estimate_s, 0.001), 1), left


def _rank(task, rooms, now_s, distance_factor):
    ranked = [
        (*_preference(task, room, distance_factor), number)
        for number, room in enumerate(rooms)
        if _may_start(task, room, now_s)
    ]
    heapq.heapify(ranked)
    return ranked


def _next_room(task, ranked, rooms, now_s, distance_factor):
    """Return the first endpoint of a ranking that still has the place it had when ranked."""
    while ranked:
        *key, number = ranked[0]
        room = rooms[number]
        if not _may_start(task, room, now_s):
            heapq.heappop(ranked)
            continue
        present = _preference(task, room, distance_factor)
        if present == tuple(key):
            return room
        heapq.heapreplace(ranked, (*present, number))
    return None
