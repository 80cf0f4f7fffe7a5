"""Real daemons with the profile ``pool`` against the platform's stand-in."""

import http.client
import json
import tempfile
import urllib.request
from pathlib import Path

import yaml

from standins.launch import Child, launch, wait_healthy
from standins.ports import free_address

__all__ = ["GIVEN_UP", "RESUBMIT_S", "PlatformFleet", "call_json"]

GIVEN_UP = (None, 502, 504)  # what callers send again; None is no answer
RESUBMIT_S = 1.3  # from no answer to the next attempt
SECRET = "only-for-tests-of-pools"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-checks",
            "host": "checks.example",
            "prefix": "/checks/",
            "kind": "unsafe",
            "timeout_ms": 8000,
            "target_duration_ms": 3000,
            "priority": 0,
            "service": "press",
            "max_attempts": 2,
            "stretch_factor": 4.0,
        }
    ],
    "services": [{"name": "press", "max_conns": 64, "enforce_capacity": True}],
    "limits": {"max_body_bytes": 65536},
}


class PlatformFleet:
    """Store, workers and daemons.

    Parameters
    ----------
    processes : dict
        Failure domain by name of each daemon.
    workers : int
        Number of workers, in the failure domains in turn.
    limits : dict, optional
        Limits of the operator's configuration that differ from those of `CONFIG`.
    listen : dict, optional
        Settings of the daemons' listeners that differ from the usual ones.
    """

    def __init__(self, processes, *, workers=4, limits=None, listen=None):
        self.processes = dict(processes)
        self.config = {**CONFIG, "limits": {**CONFIG["limits"], **(limits or {})}}
        self.listen = listen or {}
        self.directory = Path(tempfile.mkdtemp(prefix="burdocklug-pool-"))
        self.store = free_address()
        self.worker_addresses = [free_address() for _ in range(workers)]
        self.addresses = {name: free_address() for name in processes}
        self.ready_addresses = {name: free_address() for name in processes}
        self.operators = {name: free_address() for name in processes}
        self.children = {}

    def start(self):
        """Start everything and wait until each daemon is ready."""
        self.children["platform"] = launch(
            "standins.platform", *self.platform_arguments(), health=self.store
        )
        self.control("PUT", "/operator/op/config", self.config)
        for name in self.processes:
            self.start_process(name)
        for name in self.processes:
            self.wait_ready(name)
        return self

    def platform_arguments(self):
        """Return the arguments of the stand-in."""
        zones = ",".join(dict.fromkeys(self.processes.values()))
        return ("--listen", self.store, "--zones", zones, "--workers", *self.worker_addresses)

    def start_process(self, name) -> Child:
        """Start one daemon."""
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.settings(name)), encoding="utf-8")
        self.children[name] = launch(
            "burdocklug.daemon", env={"BURDOCKLUG_CONFIG": str(path), "PYTHONWARNINGS": "ignore"}
        )
        return self.children[name]

    def settings(self, name):
        """Return the settings of a daemon."""
        return {
            "profile": "pool",
            "process": {"name": name, "failure_domain": self.processes[name]},
            "listen": {
                "callers": self.addresses[name],
                "operators": self.operators[name],
                "peers": free_address(),
                "header_timeout_s": 60,
                **self.listen,
            },
            "peers": {"shared_key": SECRET, "heartbeat_s": 0.25},
            "platform": {"addresses": [self.store], "timeout_s": 1.0},
            "operator_token": SECRET,
            "pool": {
                "readiness": self.ready_addresses[name],
                "records": "platform",
                "orders": "platform",
                "max_lease_ms": 1000,
                "grace_s": 6,
            },
        }

    def wait_ready(self, name):
        """Wait until a daemon says that it is ready."""
        wait_healthy(self.children[name], f"http://{self.ready_addresses[name]}/ready")

    def call(self, name, method, path, body=None, *, host="checks.example", timeout_s=12.0):
        """Return status and decoded body of a caller's request; None for a broken connection."""
        return call_json(self.addresses[name], method, path, body, host=host, timeout_s=timeout_s)

    def submit(self, name, job_id, **job):
        """Submit a job of one step and return status and answer."""
        return self.call(name, "POST", f"/checks/{job_id}", self._job(**job))

    def open_submission(self, name, job_id, **job):
        """Submit a job of one step and return the connection, on which the answer is to come."""
        ip, _, port = self.addresses[name].rpartition(":")
        conn = http.client.HTTPConnection(ip, int(port), timeout=12.0)
        body = json.dumps(self._job(**job)).encode()
        conn.request("POST", f"/checks/{job_id}", body=body, headers={"Host": "checks.example"})
        return conn

    @staticmethod
    def _job(*, count=2, spec="run 0.05", **job):
        phases = [{"count": count, "cpu": 1000, "mem_mb": 64, "estimate_ms": 50}]
        return {"spec": spec, "phases": phases, "best_effort": True, **job}

    def state(self, name, *, token=SECRET):
        """Return status and state dump of a daemon."""
        headers = {"Authorization": f"Bearer {token}"}
        return call_json(self.operators[name], "GET", "/v1/state", None, host="x", headers=headers)

    def metrics(self, name):
        """Return the metrics page of a daemon."""
        with urllib.request.urlopen(f"http://{self.operators[name]}/metrics", timeout=5.0) as page:
            return page.read().decode()

    def control(self, method, path, body=None):
        """Call the control interface of the stand-in and return its answer."""
        return call_json(self.store, method, path, body, host="store", timeout_s=5.0)[1]

    def starts(self):
        """Return each start that a worker has carried out: worker, task, attempt, milliseconds."""
        record = self.control("GET", "/record")["starts"]
        return [(worker, *start) for worker, starts in record.items() for start in starts]

    def ends(self):
        """Return each end of a run: worker, task, attempt, how, milliseconds."""
        record = self.control("GET", "/record")["ends"]
        return [(worker, *end) for worker, ends in record.items() for end in ends]

    def stop(self):
        """End everything that was started."""
        for name, child in self.children.items():
            if name != "platform":
                child.kill()
        self.children["platform"].kill()


def call_json(address, method, path, body, *, host="store", timeout_s=5.0, headers=None):
    """Return status and decoded body of a request; None for a broken connection."""
    ip, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    raw = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    try:
        conn.request(method, path, body=raw, headers={"Host": host, **(headers or {})})
        answer = conn.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException):
        return None, None
    finally:
        conn.close()
    return answer.status, json.loads(data) if data else None
