"""Callers that submit jobs over connections that they keep, and send them again as clients do."""

import http.client
import json
import random
import time
from dataclasses import dataclass, field

import eventlet

from standins.platform_fleet import GIVEN_UP, RESUBMIT_S

__all__ = ["Attempt", "Callers", "Job"]

MOST_ATTEMPTS = 4
DEADLINE_S = 4.0
ANSWER_S = 6.0  # a process that says nothing by then is given up
MEAN_PAUSE_S = 0.4  # of one caller between two jobs
CANCELLED_SHARE = 0.1  # of the jobs, some time after they were sent
CANCEL_AFTER_S = (0.05, 3.0)
LONG_SHARE = 0.1  # of the jobs; they keep others waiting for capacity


@dataclass(slots=True)
class Attempt:
    """One sending of a job; `status` is None for a connection that broke without an answer."""

    process: str
    sent_s: float
    status: int | None = None
    state: str = ""
    ended_s: float = 0.0
    connected: bool = False


@dataclass(slots=True)
class Job:
    """What was submitted, and what its caller was told; `cancelled_s` is that of the first ack."""

    job_id: str
    count: int
    attempts: list = field(default_factory=list)
    cancelled_s: float | None = None


class Callers:
    """Some callers at once.

    Parameters
    ----------
    fleet : SoakFleet
        Whose processes are called.
    seed : int
        Of jobs and choices.
    number : int
        Callers at once.
    """

    def __init__(self, fleet, *, seed, number):
        self.jobs = []
        self._fleet = fleet
        self._stopped = False
        self._cancels = []
        self._threads = [
            eventlet.spawn(self._run, random.Random(f"{seed}/{caller}"), caller)
            for caller in range(number)
        ]

    def stop(self):
        """Submit nothing more and wait for the answers of what was."""
        self._stopped = True
        for thread in self._threads + self._cancels:
            thread.wait()

    def _run(self, rng, caller):
        conn = _Connection(self._fleet, rng)
        number = 0
        while not self._stopped:
            job = Job(f"{caller:04x}{number:012x}", rng.choice([1, 2, 2, 4, 8]))
            number += 1
            self.jobs.append(job)
            if rng.random() < CANCELLED_SHARE:
                self._cancels.append(eventlet.spawn(self._cancel, rng.getrandbits(32), job))
            self._submit(conn, rng, job)
            eventlet.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
        conn.close()

    def _submit(self, conn, rng, job):
        run_s = 3.0 if rng.random() < LONG_SHARE else rng.choice([0.05, 0.05, 0.2, 0.6])
        fails = " fail" if rng.random() < 0.05 else ""
        step = {"count": job.count, "cpu": 1000, "mem_mb": 64, "estimate_ms": int(1000 * run_s)}
        body = {"spec": f"run {run_s}{fails}", "phases": [step], "best_effort": True}
        for _ in range(MOST_ATTEMPTS):
            attempt = conn.post(f"/checks/{job.job_id}", body)
            job.attempts.append(attempt)
            if attempt.status not in GIVEN_UP:
                return
            eventlet.sleep(RESUBMIT_S)

    def _cancel(self, seed, job):
        """Cancel a job at some process, and at others until one acknowledges it."""
        rng = random.Random(seed)
        eventlet.sleep(rng.uniform(*CANCEL_AFTER_S))
        for name in rng.sample(sorted(self._fleet.processes), len(self._fleet.processes)):
            status, _answer = self._fleet.call(name, "DELETE", f"/checks/{job.job_id}")
            if status in (200, 410):
                job.cancelled_s = time.monotonic()
                return


class _Connection:
    """Kept to one process until it breaks, then to one of another failure domain."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng
        self._conn = None
        self._process = None

    def post(self, path, body):
        """Send a job and return the attempt."""
        if self._conn is None:
            domains = self._fleet.processes
            before = domains.get(self._process)
            elsewhere = [name for name in sorted(domains) if domains[name] != before]
            self._process = self._rng.choice(elsewhere or sorted(domains))
            ip, _, port = self._fleet.addresses[self._process].rpartition(":")
            self._conn = http.client.HTTPConnection(ip, int(port), timeout=ANSWER_S)
        attempt = Attempt(self._process, time.monotonic())
        headers = {"Host": "checks.example", "X-Deadline-Ms": str(int(1000 * DEADLINE_S))}
        try:
            if self._conn.sock is None:
                self._conn.connect()
            attempt.connected = True
            self._conn.request("POST", path, body=json.dumps(body).encode(), headers=headers)
            answer = self._conn.getresponse()
            data = answer.read()
            attempt.status = answer.status
            attempt.state = json.loads(data).get("state", "") if data else ""
        except (OSError, http.client.HTTPException):
            self.close()
        else:
            if answer.will_close:
                self.close()
        attempt.ended_s = time.monotonic()
        return attempt

    def close(self):
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None
