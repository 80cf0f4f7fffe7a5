"""A team's quota holds for the sum over all processes, by the starts that endpoints recorded."""

import time

import eventlet

from standins.fleet import Deployment
from tests.daemon.fleets import FleetTestCase

RUN_S = 0.25
QUOTA = 3  # less than the number of processes
QUOTAS = Deployment(
    name="quotas",
    service="press",
    weight="latency",
    processes={"north": 2, "south": 2},
    endpoints=2,
    teams={"vat": QUOTA},
    jobs={"longest_task_s": 2.0},
)


def max_concurrent(starts, run_s):
    """Return the largest number of tasks that ran at the same time."""
    edges = sorted([(at, 1) for at in starts] + [(at + run_s, -1) for at in starts])
    running = most = 0
    for _, change in edges:
        running += change
        most = max(most, running)
    return most


class QuotaTest(FleetTestCase):
    deployment = QUOTAS

    def test_the_sum_stays_within_the_quota_while_processes_die(self):
        sessions = {name: self.open_session(name) for name in self.fleet.names}
        states = []

        def call(name):
            for number in range(1, 9):
                try:
                    answer = self.submit(
                        name, f"{sessions[name]}~{number}", run_s=RUN_S, tasks=2, wait_s=30.0
                    )
                except Exception:
                    return
                states.append(answer["state"])

        pool = eventlet.GreenPool()
        for name in self.fleet.names:
            pool.spawn_n(call, name)
        time.sleep(1.0)
        self.fleet.children["south-2"].kill()
        time.sleep(0.5)
        self.fleet.start_process("south-2")
        pool.waitall()
        starts = [s[2] for s in self.fleet.starts()]
        self.assertTrue(states.count("complete") >= 24, states)
        self.assertTrue(max_concurrent(starts, RUN_S) <= QUOTA, max_concurrent(starts, RUN_S))
        self.assertTrue(max_concurrent(starts, RUN_S) > 1)
