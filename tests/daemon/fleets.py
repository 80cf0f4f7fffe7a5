"""Small fleets of real processes, shared by the tests of one class."""

import time
from collections import Counter

import msgspec
import urllib3
from testtools import TestCase
from testtools.content import text_content
from testtools.matchers import Equals

from standins.fleet import Deployment, Fleet

__all__ = ["FleetTestCase", "SMALL"]

SMALL = Deployment(
    name="small",
    service="press",
    weight="latency",
    processes={"north": 2, "south": 2},
    endpoints=2,
    teams={"vat": 64},
    jobs={"shutdown_s": 10.0},
)
REQUEST_TIMEOUT_S = 30.0
LOG_LINES = 25


class FleetTestCase(TestCase):
    """Starts one fleet for the class; each test begins with every process ready."""

    deployment = SMALL

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = Fleet(cls.deployment)
        try:
            cls.fleet.start()
            cls.fleet.apply(cls.fleet.ticket(1))
            cls.wait_ready()
        except BaseException:
            cls.fleet.stop()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        super().tearDownClass()

    @classmethod
    def wait_ready(cls):
        """Wait until every process is ready and sees the others alive; restart those that ended.

        Each poll checks all of them, as a process that ended keeps the others from being ready.
        """
        cls.wait_for(lambda: all([cls.restart_or_check(name) for name in cls.fleet.names]))

    @classmethod
    def restart_or_check(cls, name):
        """Start a process that ended; return whether it is ready and sees the others alive."""
        if cls.fleet.children[name].returncode is not None:
            cls.fleet.start_process(name)
        try:
            answer = cls.http("GET", name, "/v1/health")
            state = cls.fleet.state(name)
        except (OSError, urllib3.exceptions.HTTPError):
            return False  # a process that was declared dead may be stopping
        alive = [m for m in state["peers"]["members"] if m["state"] == "alive"]
        dead = state["peers"]["declared_dead_by"]
        return dead is None and answer.status == 200 and len(alive) >= len(cls.fleet.names) - 1

    @staticmethod
    def wait_for(condition, *, timeout_s=20.0):
        """Poll until a condition holds."""
        until = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until:
                raise AssertionError(f"condition not met within {timeout_s} s")
            time.sleep(0.05)

    def lists_as_dead(self, name, incarnation):
        """Return whether the member list of process `name` has an incarnation as dead."""
        members = self.fleet.state(name)["peers"]["members"]
        return any(m["incarnation"] == incarnation and m["state"] == "dead" for m in members)

    def setUp(self):
        super().setUp()
        self.addOnException(lambda _exc_info: self.attach_logs())
        self.wait_ready()
        self.pool = urllib3.PoolManager(retries=False, maxsize=32)

    def attach_logs(self):
        """Attach the last log lines of each child, any of which may have caused a failure."""
        for name, child in self.fleet.children.items():
            lines = child.stderr_text().splitlines()[-LOG_LINES:]
            if lines:
                self.addDetail(f"log of {name}", text_content("\n".join(lines)))

    @classmethod
    def http(cls, method, name, path, data=None, **headers):
        pool = urllib3.PoolManager(retries=False)
        url = f"http://{cls.fleet.callers(name)}{path}"
        return pool.request(method, url, body=data, headers=headers, timeout=REQUEST_TIMEOUT_S)

    def open_session(self, name):
        return self.http("POST", name, "/v1/sessions").json()["session"]

    def submit(self, name, key, *, run_s=0.1, tasks=2, wait_s=10.0, value=1):
        """Submit a job to a process and return the decoded answer."""
        payloads = [{"payload": {"run_s": run_s, "value": value}} for _ in range(tasks)]
        job = {"service": "press", "team": "vat", "tasks": payloads}
        path = f"/v1/jobs?wait_s={wait_s}"
        data = msgspec.json.encode(job)
        return self.http("POST", name, path, data, **{"Idempotency-Key": key}).json()

    def submit_for_error(self, name, key, **job):
        """Submit a job and return `kind` and `ran` of the error, or None without an error."""
        answer = self.submit(name, key, **job)
        error = answer.get("error")
        return None if error is None else (error["kind"], error["ran"])

    def starts_of(self, key):
        """Return the number of starts of each task of a job, from the endpoints' records."""
        return Counter(s[0] for s in self.fleet.starts() if s[0].startswith(f"{key}/"))

    def assert_started_once(self, key, tasks=2):
        expected = Counter(f"{key}/{index}" for index in range(tasks))
        self.assertThat(self.starts_of(key), Equals(expected))
