"""Task starts a second and processor time per task of the real path, over real processes.

``python -m bench.throughput [--processes N] [--profile]`` prints one JSON line a case. Load comes
from the client library in this process; each case is bounded in jobs and time.
"""

import argparse
import json
import os
import time
import warnings
from dataclasses import dataclass

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from burdocklug.client import Client, JobFailed  # noqa: E402
from standins.fleet import Deployment, Fleet  # noqa: E402

__all__ = ["Case", "cpu_seconds", "measure"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
WARM_JOBS = 5
US_PER_S = 1e6


@dataclass(frozen=True)
class Case:
    """Jobs of one size: how many, and how many at once."""

    tasks: int
    jobs: int
    callers: int


CASES = (Case(1, 1500, 32), Case(20, 150, 16), Case(200, 20, 8))


def cpu_seconds(pid):
    """Return the processor time a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def deployment_of(processes):
    """Return a deployment of `processes` entry processes and 24 endpoints with 8 slots."""
    return Deployment(
        name="throughput",
        service="press",
        weight="messages",
        processes={"north": processes},
        endpoints=24,
        teams={"floor": 100_000},
    )


def run_jobs(fleet, case):
    """Run the jobs of a case and return the number of complete ones."""
    addresses = fleet.all_callers()
    clients = [Client([address], team="floor") for address in addresses]
    tasks = [{"payload": {"run_s": 0.0, "value": 1}, "declared_s": 0.05}] * case.tasks
    complete = []

    def run(number):
        try:
            clients[number % len(clients)].submit("press", tasks, deadline_s=60.0)
        except JobFailed:
            return
        complete.append(number)

    pool = eventlet.GreenPool(case.callers)
    for number in range(case.jobs):
        pool.spawn_n(run, number)
    pool.waitall()
    return len(complete)


def measure(fleet, case):
    """Return the figures of one case as plain data."""
    run_jobs(fleet, Case(case.tasks, WARM_JOBS, WARM_JOBS))
    pids = [fleet.children[name].pid for name in fleet.names]
    cpu_s = sum(map(cpu_seconds, pids))
    began_s = time.monotonic()
    complete = run_jobs(fleet, case)
    wall_s = time.monotonic() - began_s
    cpu_s = sum(map(cpu_seconds, pids)) - cpu_s
    started = complete * case.tasks
    return {
        "name": f"throughput/processes={len(pids)}/tasks={case.tasks}",
        "jobs": complete,
        "starts_per_s": round(started / wall_s),
        "cpu_us_per_task": round(US_PER_S * cpu_s / max(1, started)),
        "cpu_share": round(cpu_s / wall_s, 2),
    }


def main():
    """Run every case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=1)
    options = parser.parse_args()
    with Fleet(deployment_of(options.processes)) as fleet:
        fleet.apply(fleet.ticket(1))
        time.sleep(2.0)
        for case in CASES:
            print(json.dumps(measure(fleet, case)), flush=True)


if __name__ == "__main__":
    main()
