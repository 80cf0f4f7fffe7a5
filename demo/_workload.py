"""Callers that send jobs through the client library and check their own answers."""

import random
import time
from dataclasses import dataclass

import eventlet
import urllib3

from burdocklug.client import Client, JobFailed
from demo._deployments import KINDS

__all__ = ["JobRecord", "run_callers"]

LONG_RUN_S = (2.0, 3.0)
RESUBMIT_SHARE = 0.3
DEADLINE_S = 15.0
PAUSE_S = 0.15


@dataclass
class JobRecord:
    """What a caller saw of one job."""

    kind: str
    state: str
    tasks: int
    elapsed_s: float
    ideal_s: float
    whole: bool = True
    reason: str = ""


def run_callers(deployment, addresses, *, callers, until_s, seed):
    """Run callers until a time and return what they saw.

    Parameters
    ----------
    deployment : Deployment
        Names the service and the kinds of jobs.
    addresses : list of str
        Callers' addresses of the entry hosts.
    callers : int
        Number of concurrent callers.
    until_s : float
        Monotonic seconds at which callers stop to send new jobs.
    seed : int
        Seed of the workload.

    Returns
    -------
    list of JobRecord
        One for each job.
    """
    records = []
    pool = eventlet.GreenPool(callers)
    for number in range(callers):
        rng = random.Random(seed * 1000 + number)
        start = rng.randrange(len(addresses))
        rotated = addresses[start:] + addresses[:start]
        pool.spawn(_run_caller, deployment, rotated, rng, until_s, records)
    pool.waitall()
    return records


def _run_caller(deployment, addresses, rng, until_s, records):
    clients = {}
    while time.monotonic() < until_s:
        kind = rng.choice(KINDS[deployment.name])
        client = clients.get(kind.team)
        if client is None:
            client = clients[kind.team] = Client(addresses, team=kind.team, seed=rng.random())
        records.append(_run_job(deployment, client, kind, rng, addresses))
        eventlet.sleep(rng.uniform(0, PAUSE_S))


def _run_job(deployment, client, kind, rng, addresses):
    tasks = [_task(kind, rng) for _ in range(rng.randint(*kind.tasks))]
    ideal_s = max(task["payload"]["run_s"] for task in tasks)
    began_s = time.monotonic()
    try:
        outcome = client.submit(deployment.service, tasks, deadline_s=DEADLINE_S)
    except JobFailed as exc:
        state = "refused" if exc.ran == "no" else "failed"
        elapsed_s = time.monotonic() - began_s
        return JobRecord(kind.name, state, len(tasks), elapsed_s, ideal_s, reason=str(exc.kind))
    elapsed_s = time.monotonic() - began_s
    whole = _is_whole(tasks, outcome.results)
    if rng.random() < RESUBMIT_SHARE:
        whole = whole and _resubmit(client, outcome, addresses, rng)
    return JobRecord(kind.name, "complete", len(tasks), elapsed_s, ideal_s, whole)


def _task(kind, rng):
    low, high = LONG_RUN_S if rng.random() < kind.long_share else kind.run_s
    run_s = round(rng.uniform(low, high), 3)
    declared_s = round(run_s * rng.uniform(0.3, 3.0), 3)
    payload = {"run_s": run_s, "value": rng.getrandbits(48)}
    return {"payload": payload, "declared_s": declared_s}


def _is_whole(tasks, results):
    if len(tasks) != len(results):
        return False
    pairs = zip(tasks, results, strict=True)
    return all(task["payload"]["value"] == result["value"] for task, result in pairs)


def _resubmit(client, outcome, addresses, rng):
    """Ask for a finished job again at any process; a lost owner may not know it any more."""
    try:
        answer = client.status(outcome.key, wait_s=1.0)
    except (JobFailed, urllib3.exceptions.HTTPError):
        return True
    if answer["state"] != "complete":
        return True
    return answer["results"] == outcome.results
