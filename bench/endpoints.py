"""Processor time of the dispatcher's side of one task at an endpoint."""

import subprocess
import sys
import time
import warnings
from collections import Counter

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from bench._reference import scaled_median  # noqa: E402
from burdocklug.endpoints import (  # noqa: E402
    Attempt,
    CancelBatcher,
    EndpointHealth,
    EndpointProtocol,
    HttpEndpoints,
    Outcome,
    OutcomeKind,
)
from burdocklug.kernel import TimerService  # noqa: E402
from burdocklug.retries import run_attempt  # noqa: E402

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


def median_cost(run_one, addresses, tasks, slices):
    """Return the median of several `task_cost` after a warm-up, scaled by the reference work."""
    task_cost(run_one, addresses, WARM_UP_TASKS)
    return round(scaled_median(lambda i: task_cost(run_one, addresses, tasks + i), slices), 1)


def cancel_cost(cancellations=10_000, addresses=24):
    """Return microseconds per collected cancellation."""
    timers = TimerService()
    batcher = CancelBatcher(EndpointProtocol(), timers, spawn=lambda *_: None)
    began_s = time.process_time()
    for number in range(cancellations):
        batcher.add(f"10.0.0.{number % addresses}:1", f"a{number}")
    return round((time.process_time() - began_s) * 1e6 / cancellations, 2)


def health_cost(outcomes=50_000, addresses=24):
    """Return microseconds of one noted outcome and one weight, at `addresses` endpoints."""
    health = EndpointHealth({f"10.0.0.{n}:1": f"d{n % 3}" for n in range(addresses)})
    success = Outcome(OutcomeKind.SUCCEEDED, 0.1, 0.1)
    began_s = time.process_time()
    for number in range(outcomes):
        address = f"10.0.0.{number % addresses}:1"
        health.record_outcome(address, success, number * 0.001)
        health.weight(address, number * 0.001)
    return round((time.process_time() - began_s) * 1e6 / outcomes, 2)


def figures(tasks=400, slices=14):
    """Return processor time per task and per cancellation, in microseconds.

    Notes
    -----
    Times per task are scaled by the reference work (`bench/_reference.py`), the others are not.
    """
    process, addresses = start_standins(ENDPOINTS)
    try:
        http = HttpEndpoints()
        counts = Counter()

        def start(address, attempt):
            return http.start(address, attempt, timeout_s=10.0)

        def run(address, attempt):
            deadline_s = time.monotonic() + 10.0
            outcome = run_attempt(
                http, address, attempt, deadline_s, 1.0, counts=counts, timers=http.timers
            )
            return outcome.result

        return {
            "endpoint_start_cpu_us": median_cost(start, addresses, tasks, slices),
            "endpoint_run_attempt_cpu_us": median_cost(run, addresses, 2 * tasks, slices),
            "endpoint_cancel_cpu_us": cancel_cost(),
            "endpoint_health_cpu_us": health_cost(),
        }
    finally:
        process.terminate()
        process.wait()


if __name__ == "__main__":
    print(figures())
