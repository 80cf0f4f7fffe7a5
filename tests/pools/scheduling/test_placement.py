import random

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.pools._models import Resources
from burdocklug.pools.scheduling import _placement
from burdocklug.pools.scheduling._jobs import make_job
from burdocklug.pools.scheduling._placement import PoolEndpoint, choose_endpoint, place_tasks
from tests.pools.builders import entry, spec, step

NOW_S = 100.0
ENDPOINTS = 176


def make_endpoints(rng, count):
    endpoints = []
    for number in range(count):
        labels = (f"r{number % 4}",)
        endpoint = PoolEndpoint(entry(number, cpu=rng.choice([8000, 16000]), labels=labels))
        endpoint.usable = rng.random() < 0.9
        endpoint.slowness = rng.choice([0.8, 1.0, 1.25])
        endpoint.free = endpoint.free - Resources(rng.choice([0, 0, 6800]), 64, 0)
        if rng.random() < 0.1:
            endpoint.faults, endpoint.ejected_until_s = 3, NOW_S - 1
        endpoints.append(endpoint)
    return endpoints


def make_tasks(rng, endpoints):
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
            task.avoided_endpoints.add(rng.choice(endpoints).entry.endpoint_id)
    return tasks


class PlaceTasksTest(TestCase):
    def test_tasks_are_placed_as_by_choose_endpoint(self):
        for seed in range(60):
            placed = []
            for place in (self.place_together, self.place_one_by_one):
                rng = random.Random(seed)
                endpoints = make_endpoints(rng, 12)
                placed.append(place(make_tasks(rng, endpoints), endpoints))
            self.assertThat(placed[0], Equals(placed[1]), f"seed {seed}")

    def place_together(self, tasks, endpoints):
        placed = []
        for task, endpoint in place_tasks(tasks, endpoints, NOW_S):
            endpoint.add(task)
            placed.append((task.name, endpoint.entry.endpoint_id))
        return placed

    def place_one_by_one(self, tasks, endpoints):
        placed = []
        for task in tasks:
            endpoint = choose_endpoint(task, endpoints, NOW_S)
            if endpoint is None:
                break
            endpoint.add(task)
            placed.append((task.name, endpoint.entry.endpoint_id))
        return placed

    def test_a_wide_job_on_a_large_fleet_ranks_each_endpoint_about_once(self):
        """Guards against ranking all endpoints for each task: 64 tasks on 176 endpoints."""
        evaluated = []
        original = _placement.expected_run_s

        def counted(*args, **options):
            evaluated.append(args)
            return original(*args, **options)

        self.addCleanup(setattr, _placement, "expected_run_s", original)
        _placement.expected_run_s = counted
        endpoints = [PoolEndpoint(entry(number), usable=True) for number in range(ENDPOINTS)]
        tasks = make_job(spec("b" * 16, step(64)), received_s=NOW_S, wait_s=1.5).tasks
        self.assertThat(len(self.place_together(tasks, endpoints)), Equals(64))
        self.assertThat(len(evaluated), LessThan(ENDPOINTS + 3 * 64))
