import random

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.pools import _placement
from burdocklug.pools._jobs import make_job
from burdocklug.pools._models import Room
from burdocklug.pools._placement import EndpointRoom, choose_endpoint, place_tasks
from tests.pools.builders import entry, spec, step

NOW_S = 100.0
ENDPOINTS = 176


def make_rooms(rng, count):
    rooms = []
    for number in range(count):
        labels = (f"r{number % 4}",)
        room = EndpointRoom(entry(number, cpu=rng.choice([8000, 16000]), labels=labels))
        room.usable = rng.random() < 0.9
        room.slowness = rng.choice([0.8, 1.0, 1.25])
        room.free = room.free - Room(rng.choice([0, 0, 6800]), 64, 0)
        if rng.random() < 0.1:
            room.faults, room.ejected_until_s = 3, NOW_S - 1
        rooms.append(room)
    return rooms


def make_tasks(rng, rooms):
    steps = [
        step(
            rng.randint(1, 12),
            cpu=rng.choice([1000, 6800]),
            estimate_s=rng.choice([0.06, 0.9]),
            preferred_rack=rng.choice(["", "r1"]),
            max_per_endpoint=rng.choice([0, 1]),
        )
        for _ in range(2)
    ]
    tasks = make_job(spec("a" * 16, *steps), received_s=NOW_S, wait_s=1.5).tasks
    for task in tasks:
        if rng.random() < 0.2:
            task.avoided.add(rng.choice(rooms).entry.endpoint_id)
    return tasks


class PlaceTasksTest(TestCase):
    def test_each_task_goes_where_it_would_go_by_itself(self):
        for seed in range(60):
            placed = []
            for way in (self.place_together, self.place_one_by_one):
                rng = random.Random(seed)
                rooms = make_rooms(rng, 12)
                placed.append(way(make_tasks(rng, rooms), rooms))
            self.assertThat(placed[0], Equals(placed[1]), f"seed {seed}")

    def place_together(self, tasks, rooms):
        placed = []
        for task, room in place_tasks(tasks, rooms, NOW_S):
            room.add(task)
            placed.append((task.name, room.entry.endpoint_id))
        return placed

    def place_one_by_one(self, tasks, rooms):
        placed = []
        for task in tasks:
            room = choose_endpoint(task, rooms, NOW_S)
            if room is None:
                break
            room.add(task)
            placed.append((task.name, room.entry.endpoint_id))
        return placed

    def test_a_wide_job_on_a_large_fleet_weighs_each_endpoint_about_once(self):
        """Load: a job of 64 tasks on the 176 endpoints of a grown installation."""
        weighed = []
        original = _placement.expected_run_s

        def counted(*args, **options):
            weighed.append(args)
            return original(*args, **options)

        self.addCleanup(setattr, _placement, "expected_run_s", original)
        _placement.expected_run_s = counted
        rooms = [EndpointRoom(entry(number), usable=True) for number in range(ENDPOINTS)]
        tasks = make_job(spec("b" * 16, step(64)), received_s=NOW_S, wait_s=1.5).tasks
        self.assertThat(len(self.place_together(tasks, rooms)), Equals(64))
        self.assertThat(len(weighed), LessThan(ENDPOINTS + 3 * 64))
