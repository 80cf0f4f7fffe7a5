"""A small deployment on loopback: platform, network and daemons, each a process of its own."""

import atexit
import http.client
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
READY_S = 40.0
HOST = "press.example"
PREFIX = "/press/"
CANNOT_RUN = 2
BROKEN = 1
HELD = 0
PORTS = (11000, 31000)

_given = set()


class CannotRun(Exception):
    """The deployment did not start, or a precondition of the case was not met."""


def free_addresses(count):
    """Return free loopback addresses, below the ports that the system gives to connections."""
    addresses = []
    while len(addresses) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            addresses.append(f"127.0.0.1:{port}")
    return addresses


def route(name, prefix, **fields):
    """Return a route of the service ``press-control``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 30000,
        "target_duration_ms": 10000,
        "priority": 0,
        "service": "press-control",
        "max_attempts": 3,
        "stretch_factor": 3.0,
        **fields,
    }


def config(version, *routes, guards=True):
    """Return a config with the given routes beside the route of all cases."""
    return {
        "version": version,
        "routes": [route("r-press", PREFIX), *routes],
        "services": [{"name": "press-control", "max_conns": 64, "enforce_capacity": guards}],
        "limits": {"max_body_bytes": 262144},
    }


def job(spec, *phases):
    """Return the body of a job without a stored answer; see `phase`."""
    return {"spec": spec, "phases": list(phases), "best_effort": True}


def phase(count, estimate_ms, *, after=(), cpu=2000, **fields):
    """Return one step of a job."""
    body = {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms, **fields}
    return {**body, "after": list(after)} if after else body


class Deployment:
    """Processes in zones with a platform; see the parameters.

    Parameters
    ----------
    processes : dict
        Zone by name of each daemon, in the order in which they are started.
    workers : int
        Number of workers in each zone.
    record : Record
        Takes what is sent and answered.
    guards : bool
        Whether workers reject what does not fit.
    stop_ms : int
        How long a worker takes to stop a run.
    networked : bool
        Whether all connections go through the stand-in of the network.
    workers_apart : bool
        Whether a cut of a zone leaves its workers with the other zones, as one of machines does.
    """

    def __init__(
        self,
        processes,
        *,
        workers,
        record,
        guards=True,
        stop_ms=10,
        networked=False,
        workers_apart=False,
    ):
        self.processes = dict(processes)
        self.record = record
        self.guards = guards
        self.children = {}
        self.threads = []
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        atexit.register(self.end)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: sys.exit(CANNOT_RUN))
        self.networked = networked
        zones = list(dict.fromkeys(self.processes.values()))
        self.links = []
        self.store = free_addresses(1)[0]
        self.store_seen = {name: self._link(self.store, "platform") for name in self.processes}
        self.frontends = dict(zip(processes, free_addresses(len(processes)), strict=True))
        self.readiness = dict(zip(processes, free_addresses(len(processes)), strict=True))
        self.operators = dict(zip(processes, free_addresses(len(processes)), strict=True))
        self.peers = dict(zip(processes, free_addresses(len(processes)), strict=True))
        self.peers_seen = {
            name: self._link(address, self.processes[name]) for name, address in self.peers.items()
        }
        rows = []
        for zone in zones:
            for number, listen in enumerate(free_addresses(workers)):
                rows.append(
                    {
                        "id": f"i-{zone}-{number}",
                        "zone": zone,
                        "rack": f"{zone}-r{number // 8}",
                        "listen": listen,
                        "address": self._link(listen, "workers" if workers_apart else zone),
                        "cpu": 16000,
                        "guards": guards,
                        "stop_ms": stop_ms,
                    }
                )
        self.workers = rows
        self.control = free_addresses(1)[0]

    def _link(self, address, zone):
        if not self.networked:
            return address
        listen = free_addresses(1)[0]
        self.links.append({"listen": listen, "to": address, "zone": zone})
        return listen

    # Processes

    def _launch(self, name, command, env=None):
        log = open(self.directory / f"{name}.log", "wb")  # noqa: SIM115
        self.children[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env={"PATH": os.environ["PATH"], "HOME": str(self.directory), **(env or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        return self.children[name]

    def _spec(self, name, value):
        path = self.directory / name
        path.write_text(json.dumps(value), encoding="utf-8")
        return str(path)

    def start(self):
        """Start everything and wait until each daemon is ready."""
        spec = self._spec("platform.json", {"store": self.store, "workers": self.workers})
        self._launch("platform", [sys.executable, "-m", "review.standins.platform", spec])
        if self.networked:
            spec = self._spec("network.json", {"control": self.control, "links": self.links})
            self._launch("network", [sys.executable, "-m", "review.standins.network", spec])
            self._await(lambda: _accepts(self.control))
        self._await(lambda: _accepts(self.store))
        self.operate(config(1, guards=self.guards))
        for name in self.processes:
            self.start_daemon(name)
        for name in self.processes:
            self._await(lambda name=name: self.is_ready(name))
        if self.networked:
            owners = {self.children[n].pid: zone for n, zone in self.processes.items()}
            self.network(owners=owners)
        self._await(lambda: self._has_taken_over())
        self.record.note("deployment ready", scheduler=self.leader())
        return self

    def _await(self, condition):
        end = time.monotonic() + READY_S
        while not condition():
            if time.monotonic() > end or any(c.poll() is not None for c in self.children.values()):
                raise CannotRun(f"not started; logs in {self.directory}")
            time.sleep(0.1)

    def _has_taken_over(self):
        leader = self.leader()
        return leader is not None and self._metric(leader, "schedules") == 1.0

    def start_daemon(self, name):
        """Start one daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"]["dispatcher"]["run"])
        settings = self._spec(f"{name}.yaml", self.settings(name))
        env = {"BURDOCKLUG_CONFIG": settings, "PYTHONPATH": str(ROOT / "target" / "deps")}
        return self._launch(name, command, env)

    def settings(self, name):
        """Return the settings of a daemon, as the template of the deploy file has them."""
        return {
            "profile": "pool",
            "process": {"name": name, "failure_domain": self.processes[name]},
            "listen": {
                "callers": self.frontends[name],
                "operators": self.operators[name],
                "peers": self.peers[name],
                "advertised_peers": self.peers_seen[name],
                "header_timeout_s": 60,
            },
            "peers": {"shared_key": "one-installation", "heartbeat_s": 0.25},
            "platform": {"addresses": [self.store_seen[name]], "timeout_s": 1.0},
            "operator_token": "one-installation",
            "pool": {
                "readiness": self.readiness[name],
                "records": "platform",
                "orders": "platform",
                "max_lease_ms": 1000,
                "distance_factor": 1.5,
                "grace_s": 6,
                "cpu_share": 0.537,
                "cpu_speed": 2,
            },
        }

    def signal(self, name, number):
        """Send a signal to a process that this deployment started."""
        self.record.note("signal", process=name, signal=signal.Signals(number).name)
        if self.children[name].poll() is None:
            self.children[name].send_signal(number)

    def end(self):
        """End everything that was started."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
        for child in self.children.values():
            child.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    # Calls

    def is_ready(self, name):
        """Return whether a daemon's readiness check succeeds."""
        return call(self.readiness[name], "GET", "/ready", timeout_s=1.0)[0] == 200

    def _metric(self, name, metric):
        ip, _, port = self.operators[name].rpartition(":")
        conn = http.client.HTTPConnection(ip, int(port), timeout=2.0)
        try:
            conn.request("GET", "/metrics")
            text = conn.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            conn.close()
        match = re.search(rf'name="{metric}"[^}}]*\}} ([0-9.]+)', text)
        return float(match[1]) if match else None

    def leader(self):
        """Return the name of the daemon that schedules, by the operators' state dump."""
        for name in self.processes:
            headers = {"Authorization": "Bearer one-installation"}
            status, state = call(self.operators[name], "GET", "/v1/state", headers=headers)
            if status == 200 and state["pool"]["following"]["leads"]:
                return name
        return None

    def operate(self, value):
        """Write a config as the operator does; return the time of its ack."""
        call(self.store, "PUT", "/operator/op/config", value)
        acked = time.monotonic()
        self.record.note("config acknowledged", version=value["version"], at=acked)
        return acked

    def network(self, **order):
        """Send an order to the stand-in of the network and return its answer."""
        ip, _, port = self.control.rpartition(":")
        with socket.create_connection((ip, int(port)), timeout=5.0) as conn:
            conn.sendall(json.dumps(order).encode() + b"\n")
            answer = json.loads(conn.makefile().readline())
        self.record.note("network", **order, answer=answer)
        return answer

    def request(self, name, method, path, body=None, *, timeout_s=5.0, deadline_ms=None):
        """Send a client's request to one daemon and return status and answer."""
        sent = time.monotonic()
        headers = {"Host": HOST, "Content-Type": "application/json"}
        if deadline_ms is not None:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        status, answer = call(
            self.frontends[name], method, path, body, timeout_s=timeout_s, headers=headers
        )
        self.record.note("request", to=name, call=f"{method} {path}", sent=sent, status=status)
        return status, answer

    def request_later(self, *args, **options):
        """Send a request in a thread of its own; return a list that takes status and answer."""
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self.request(*args, **options)), daemon=True
        )
        thread.start()
        self.threads.append(thread)
        return answers

    def runs(self):
        """Return all runs that the workers began, and write them to the record."""
        _status, answer = call(self.store, "GET", "/runs", timeout_s=10.0)
        return sorted(answer["runs"], key=lambda run: run["start"])


class Record:
    """The file ``record.txt`` of a case.

    Parameters
    ----------
    path : Path
        The file, which is written anew.
    """

    def __init__(self, path):
        self._began = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def at(self, monotonic_s):
        """Return a time as seconds since the record began."""
        return round(monotonic_s - self._began, 3)

    def note(self, what, **fields):
        """Write one line."""
        now = self.at(time.monotonic())
        for name in ("sent", "at", "start", "end"):
            if fields.get(name) is not None:
                fields[name] = self.at(fields[name])
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{now:9.3f} {what} {rest}\n")
            self._file.flush()

    def note_runs(self, runs):
        """Write all runs of the workers."""
        for run in runs:
            self.note("run", **run)


def call(address, method, path, body=None, *, timeout_s=5.0, headers=None):
    """Return status and decoded body of a request, None and None for no complete answer."""
    ip, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    raw = None if body is None else json.dumps(body).encode()
    try:
        conn.request(method, path, body=raw, headers=headers or {})
        answer = conn.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException):
        return None, None
    finally:
        conn.close()
    return answer.status, json.loads(data) if data else None


def _accepts(address):
    ip, _, port = address.rpartition(":")
    try:
        socket.create_connection((ip, int(port)), timeout=1.0).close()
    except OSError:
        return False
    return True


def overlaps(runs):
    """Return the pairs of runs of one task that were at work at the same time."""
    pairs = []
    by_task = {}
    now = time.monotonic()
    for run in runs:
        for other in by_task.setdefault(run["task"], []):
            end = min(run["end"] or now, other["end"] or now)
            if end > run["start"]:
                pairs.append((other, run, end - run["start"]))
        by_task[run["task"]].append(run)
    return pairs


def main(case):
    """Run a case: a function of the record and of whether trouble is made; exit with its result."""
    folder = Path(sys.argv[1]).resolve()
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = case(record, trouble)
    except Exception as exc:  # whatever goes wrong here says nothing of the rule
        record.note("cannot run", why=repr(exc))
        print(f"could not run: {exc}")
        sys.exit(CANNOT_RUN)
    record.note("result", broken=broken)
    print("rule broken" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)
