"""Processor time of the dispatcher's side of one task at an endpoint."""

import subprocess
import sys
import time
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from burdocklug.endpoints import Attempt, HttpEndpoints  # noqa: E402

ENDPOINTS = 8
CONCURRENCY = 32
WARM_UP_TASKS = 500
PAYLOAD = {"run_s": 0.0, "value": {"sheet": 17, "density": 0.42}}

__all__ = ["figures", "task_cost"]


def start_standins(count):
    """Start `count` stand-in endpoints in one process; return it and their addresses."""
    command = [sys.executable, "-m", "standins.endpoint", "--listen", "127.0.0.1:0"]
    command += ["--count", str(count), "--slots", "64"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    ports = process.stdout.readline().split()[1:]
    return process, [f"127.0.0.1:{port}" for port in ports]


def task_cost(run_one, addresses, tasks):
    """Return microseconds of this process's processor time per task.

    Parameters
    ----------
    run_one : callable
        Called with address and attempt; returns the attempt's result.
    addresses : list of str
        Endpoints, used in turn.
    tasks : int
        Number of tasks that are measured.
    """
    pool = eventlet.GreenPool(CONCURRENCY)

    def run(number):
        attempt = Attempt(f"a{number}-{tasks}", f"job.1/{number}", "loom", PAYLOAD, 10.0)
        result = run_one(addresses[number % len(addresses)], attempt)
        assert result.task_id == attempt.task_id and result.ok

    began_s = time.process_time()
    for _ in pool.imap(run, range(tasks)):
        pass
    return (time.process_time() - began_s) * 1e6 / tasks


def figures(tasks=10_000, rounds=3):
    """Return the median processor time per task through `HttpEndpoints`, in microseconds."""
    process, addresses = start_standins(ENDPOINTS)
    try:
        endpoints = HttpEndpoints()

        def run_one(address, attempt):
            return endpoints.start(address, attempt, timeout_s=10.0)

        task_cost(run_one, addresses, WARM_UP_TASKS)
        costs = sorted(task_cost(run_one, addresses, tasks + i) for i in range(rounds))
        return {"endpoint_start_cpu_us": round(costs[rounds // 2], 1)}
    finally:
        process.terminate()
        process.wait()


if __name__ == "__main__":
    print(figures())
