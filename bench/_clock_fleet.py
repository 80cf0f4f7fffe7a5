"""The two deployments of the brief as real processes over loopback, under an open-loop load.

Whoever runs a load patches the loop before the first import (`burdocklug._loop.patch_loop`).
"""

import time
from dataclasses import dataclass

import eventlet
import urllib3

from bench._measure import quantile
from bench._workload import DEPLOYMENTS, ENDPOINTS, TEAMS, JobMix, jobs
from burdocklug.client import Client, JobFailed
from standins.fleet import Deployment

__all__ = ["ClockJob", "deployment_of", "measure_trip_s", "run_load", "wait_ready", "wait_until"]

SERVICE = "service"
MAX_RUNNING = 100_000  # of each team, so that quotas bind nowhere
MAX_QUEUE = 200_000
DEADLINE_S = 60.0
READY_TIMEOUT_S = 30.0
POLL_S = 0.02
MAX_IN_FLIGHT = 10_000
MIN_DECLARED_S = 0.05
TRIPS = 200


@dataclass(slots=True)
class ClockJob:
    """What the caller of one job saw; times in seconds."""

    arrival_s: float
    tasks: int
    longest_s: float
    response_s: float | None = None
    failure: str | None = None
    whole: bool = True


def deployment_of(name):
    """Return one of the brief's deployments: its 7 processes and 24 endpoints with 8 slots."""
    sizes = DEPLOYMENTS[name]
    domains = dict(zip(sizes.failure_domains, sizes.processes, strict=True))
    return Deployment(
        name=name,
        service=SERVICE,
        weight=sizes.weight,
        processes=domains,
        endpoints=ENDPOINTS // len(domains),
        teams={f"team-{number}": MAX_RUNNING for number in range(TEAMS)},
        max_queue=MAX_QUEUE,
    )


def wait_until(condition, *, timeout_s=READY_TIMEOUT_S):
    """Poll until a condition holds and return the seconds it took.

    Raises
    ------
    TimeoutError
        If it doesn't hold in time.
    """
    began_s = time.monotonic()
    while not condition():
        if time.monotonic() - began_s > timeout_s:
            raise TimeoutError(f"{condition.__name__} not within {timeout_s} s")
        time.sleep(POLL_S)
    return time.monotonic() - began_s


def wait_ready(fleet):
    """Apply ticket 1 and wait until each process has it and knows all others."""
    fleet.apply(fleet.ticket(1))

    def ready():
        states = [fleet.state(name) for name in fleet.names]
        return all(_is_ready(state, len(fleet.names) - 1) for state in states)

    wait_until(ready)


def _is_ready(state, peers):
    alive = [member for member in state["peers"]["members"] if member["state"] == "alive"]
    return state["tickets"]["highest"] == 1 and len(alive) == peers


def measure_trip_s(fleet):
    """Return the median seconds of the unavoidable trips of a task over the bare path.

    Notes
    -----
    One request to a process that answers at once, and one to an endpoint: the trips that a task
    makes in any case, with the same client library, on the same machine at the same time.
    """
    pool = urllib3.PoolManager(retries=False)
    process = f"http://{fleet.callers(fleet.names[0])}/v1/health"
    endpoint = f"http://{fleet.endpoint_addresses()[0]}/v1/status"
    return sum(_median_s(pool, url) for url in (process, endpoint))


def _median_s(pool, url):
    times = []
    for _ in range(TRIPS):
        began_s = time.monotonic()
        pool.request("GET", url)
        times.append(time.monotonic() - began_s)
    return quantile(times, 0.5)


def run_load(fleet, *, load, seconds, seed, uneven=False, during=None):
    """Send the bench's mix of jobs by the clock and return what their callers saw.

    Parameters
    ----------
    fleet : Fleet
        A running fleet of `deployment_of`.
    load : float
        Offered slot time over the slots of all endpoints.
    seconds : float
        Length of the arrivals.
    seed : int
        Seed of the arrivals.
    uneven : bool, optional
        Whether one process gets half of the jobs.
    during : callable, optional
        Runs beside the load.

    Returns
    -------
    list of ClockJob
        One for each job, in order of arrival.
    """
    sizes = DEPLOYMENTS[fleet.deployment.name]
    clients = _warm_clients(fleet)
    seen = []
    pool = eventlet.GreenPool(MAX_IN_FLIGHT)
    beside = eventlet.spawn(during) if during else None
    began_s = time.monotonic()
    for job in jobs(sizes, JobMix(uneven=uneven), load=load, seconds=seconds, seed=seed):
        eventlet.sleep(max(0.0, began_s + job.arrival_s - time.monotonic()))
        record = ClockJob(job.arrival_s, len(job.tasks), max(task.run_s for task in job.tasks))
        seen.append(record)
        pool.spawn_n(_run_job, clients[job.process, job.team], job, record)
    pool.waitall()
    if beside is not None:
        beside.wait()
    return seen


def _warm_clients(fleet):
    """Return a client for each process and team, with its session open."""
    clients = {}
    for number, name in enumerate(fleet.names):
        for team in fleet.deployment.teams:
            client = clients[number, team] = Client([fleet.callers(name)], team=team, seed=number)
            client.submit(SERVICE, [{"payload": {"run_s": 0.0}, "declared_s": MIN_DECLARED_S}])
    return clients


def _run_job(client, job, record):
    tasks = [
        {"payload": {"run_s": task.run_s, "value": number}, "declared_s": task.declared_s}
        for number, task in enumerate(job.tasks)
    ]
    began_s = time.monotonic()
    try:
        outcome = client.submit(SERVICE, tasks, deadline_s=DEADLINE_S, refusals=0)
    except JobFailed as exc:
        record.failure = str(exc.kind)
        return
    record.response_s = time.monotonic() - began_s
    record.whole = [result["value"] for result in outcome.results] == list(range(len(tasks)))
