"""Starts the system, the platform's stand-in and TCP proxies as separate processes for a case.

All of it listens on loopback addresses. A case imports this module, calls `Deployment.start`, and
`Deployment.stop` in a `finally` clause. What was sent, answered and run goes to `record.txt`.
"""

import contextlib
import http.client
import json
import os
import random
import select
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
GRACE_S = 6.0
SECRET = "only-for-this-case"
FIRST_PORT, PORTS, BLOCKS = 12_000, 500, 36
_given = set()
_block = []
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def _first_port():
    """Return the first port of a block that belongs to this program until it ends.

    The blocks lie below the ports that the system gives to outgoing connections. Cases that run
    side by side take different ones, as each keeps the first port of its own bound.
    """
    while not _block:
        port = FIRST_PORT + PORTS * random.randrange(BLOCKS)
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
        else:
            _block.extend((port, sock))
    return _block[0]


def free_address():
    """Return a loopback address with a port that nothing uses now."""
    first = _first_port()
    while True:
        port = random.randrange(first + 1, first + PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in _given:
                _given.add(port)
                return f"127.0.0.1:{port}"


def call(address, method, path, body=None, *, host="platform", headers=None, timeout_s=5.0):
    """Return status and decoded body of one request; None for a broken connection."""
    ip, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
    raw = None if body is None else json.dumps(body).encode()
    try:
        conn.request(method, path, body=raw, headers={"Host": host, **(headers or {})})
        answer = conn.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException):
        return None, None
    finally:
        conn.close()
    return answer.status, json.loads(data) if data else None


class Record:
    """Lines with the time since the start, written to `record.txt` and to standard output."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line."""
        with self._lock:
            line = f"{self.now_s():8.3f}  {text}"
            print(line, flush=True)
            print(line, file=self._file, flush=True)


class Proxy:
    """A TCP proxy in front of one address, which can refuse and reset for a while."""

    def __init__(self, target):
        self.address = free_address()
        self._target = _pair(target)
        self._open = set()
        self._lock = threading.Lock()
        self._listener = None
        self._is_cut = False
        self.heal()

    def cut(self):
        """Reset all connections, and refuse new ones."""
        with self._lock:
            self._is_cut = True
            listener, self._listener = self._listener, None
            socks, self._open = list(self._open), set()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for sock in socks:
            _reset(sock)

    def heal(self):
        """Accept connections again."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(_pair(self.address))
        listener.listen(128)
        with self._lock:
            self._listener, self._is_cut = listener, False
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _accept(self, listener):
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        try:
            server = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            _reset(client)
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            is_cut = self._is_cut
            if not is_cut:
                self._open.update((client, server))
        if is_cut:
            _reset(client)
            _reset(server)
            return
        with contextlib.suppress(OSError, ValueError):
            while self._copy(client, server):
                pass
        with self._lock:
            self._open.difference_update((client, server))
        for sock in (client, server):
            with contextlib.suppress(OSError):
                sock.close()

    @staticmethod
    def _copy(client, server):
        for sock in select.select([client, server], [], [])[0]:
            data = sock.recv(65536)
            if not data:
                return False
            (server if sock is client else client).sendall(data)
        return True


def _pair(address):
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def _reset(sock):
    """Close a socket with a reset; wake a thread that waits for it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        sock.close()


def route(name, service="press", *, timeout_ms=30_000, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "checks.example",
        "prefix": f"/{name}/",
        "kind": "unsafe",
        "timeout_ms": timeout_ms,
        "target_duration_ms": 3000,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "stretch_factor": 4.0,
        **fields,
    }


def config(version, routes, services=("press",)):
    """Return a configuration in full."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "max_conns": 64, "enforce_capacity": True} for name in services
        ],
        "limits": {"max_body_bytes": 65536},
    }


class Deployment:
    """Platform, workers and processes of a small deployment."""

    def __init__(self, folder, processes, *, workers, routes, services=("press",), zones=None):
        self.record = Record(folder)
        self.processes = processes
        self.zones = zones or list(dict.fromkeys(processes.values()))
        self.store = free_address()
        self.worker_addresses = [free_address() for _ in range(workers)]
        self.proxies = [None] * workers
        self.callers = {name: free_address() for name in processes}
        self.ready = {name: free_address() for name in processes}
        self.peers = {name: free_address() for name in processes}
        self.operators = {name: free_address() for name in processes}
        self._routes, self._services = routes, services
        self._folder = Path(tempfile.mkdtemp(prefix="burdocklug-review-"))
        self._children = {}
        # Each process sees the port that it or a proxy of the case will use.

    def _launch(self, name, command, **variables):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        env["PYTHONWARNINGS"] = "ignore"
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env.update(variables)
        with open(self._folder / f"{name}.log", "ab") as log:
            child = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self._children[name] = child
        return child

    def start(self, platform_command=None):
        """Start everything, and wait until each process is ready."""
        for number, address in enumerate(self.worker_addresses):
            self.proxies[number] = self._make_proxy(number, address)
        command = platform_command or [sys.executable, "-m", "standins.platform"]
        arguments = ["--listen", self.store, "--zones", ",".join(self.zones)]
        arguments += ["--workers", *self.worker_addresses]
        arguments += ["--advertised", *(proxy.address for proxy in self.proxies)]
        self._launch("platform", [*command, *arguments])
        self._wait(lambda: call(self.store, "GET", "/record")[0] == 200, "platform")
        self.put("op/config", config(1, self._routes, self._services))
        for name in self.processes:
            self.start_process(name)
        for name in self.processes:
            self.wait_ready(name)
        time.sleep(1.5)  # workers are listed, and there is a scheduler
        self.record.write("started")

    @staticmethod
    def _make_proxy(_number, address):
        return Proxy(address)

    def start_process(self, name):
        """Start one process by the command of the deploy file."""
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        command = shlex.split(roles["dispatcher"]["run"])
        path = self._folder / f"{name}.yaml"
        path.write_text(json.dumps(self._settings(name)))  # JSON is YAML
        self._launch(name, command, BURDOCKLUG_CONFIG=str(path))

    def _settings(self, name):
        """Return what `deploy/settings.yaml` gives for this process."""
        return {
            "profile": "pool",
            "process": {
                "name": name,
                "failure_domain": self.processes[name],
                "memory_mb": 300,
                "max_fds": 4100,
            },
            "listen": {
                "callers": self.callers[name],
                "operators": self.operators[name],
                "peers": self.peers[name],
            },
            "peers": {"shared_key": SECRET, "heartbeat_s": 0.25},
            "platform": {"addresses": [self.store], "timeout_s": 1.0},
            "operator_token": SECRET,
            "pool": {
                "readiness": self.ready[name],
                "records": "platform",
                "orders": "platform",
                "max_lease_ms": 1000,
                "distance_factor": 1.5,
                "grace_s": GRACE_S,
                "cpu_share": 0.537,
                "cpu_speed": 2,
            },
        }

    def wait_ready(self, name):
        """Wait until a process says that it is ready."""
        self._wait(lambda: call(self.ready[name], "GET", "/ready")[0] == 200, name)

    @staticmethod
    def _wait(is_met, what, timeout_s=30.0):
        end_s = time.monotonic() + timeout_s
        while not is_met():
            if time.monotonic() > end_s:
                raise RuntimeError(f"{what} is not ready")
            time.sleep(0.05)

    def put(self, key, value):
        """Write a key as the operator does."""
        status, _ = call(self.store, "PUT", f"/operator/{key}", value)
        if status != 200:
            raise RuntimeError(f"the store did not take {key}: {status}")

    def child(self, name):
        """Return the running program of a name."""
        return self._children[name]

    def signal(self, name, number):
        """Send a signal to a process."""
        self._children[name].send_signal(number)

    def kill(self, name):
        """Kill a process, and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self._children[name].wait()

    def log(self, name):
        """Return what a process has logged, one object a line."""
        rows = []
        for line in (self._folder / f"{name}.log").read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def scheduler(self):
        """Return the name of the process that said last that it schedules."""
        began = [
            (row["timestamp"], name)
            for name in self.processes
            for row in self.log(name)
            if row.get("event") == "scheduling_begins"
        ]
        return max(began)[1]

    def client_call(self, name, method, path, body=None, **options):
        """Send a client's request, and record it with its answer."""
        self.record.write(f"client -> {name}: {method} {path}")
        status, answer = call(
            self.callers[name], method, path, body, host="checks.example", **options
        )
        self.record.write(f"client <- {name}: {method} {path}: {status} {answer}")
        return status, answer

    def runs(self):
        """Return starts and ends that the workers recorded."""
        record = call(self.store, "GET", "/record")[1]
        return record["starts"], record["ends"]

    def active(self, prefix):
        """Return worker, task and attempt of the runs that go on, of tasks with a prefix."""
        starts, ends = self.runs()
        over = {(w, task, attempt) for w, rows in ends.items() for task, attempt, *_ in rows}
        began = {(w, task, attempt) for w, rows in starts.items() for task, attempt, _ in rows}
        return sorted(run for run in began - over if run[1].startswith(prefix))

    def stop(self):
        """End everything that was started."""
        for child in self._children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self._children.values():
            child.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def job(count=1, *, run_s=0.05, estimate_ms=None, cpu=1000, **fields):
    """Return the body of a job of one step."""
    phase = {"count": count, "cpu": cpu, "mem_mb": 64}
    phase["estimate_ms"] = int(1000 * run_s) if estimate_ms is None else estimate_ms
    return {"spec": f"run {run_s}", "best_effort": True, "phases": [phase], **fields}


def new_id():
    """Return a job id."""
    return f"{random.getrandbits(64):016x}"


def main(case, folder):
    """Run a case; return its exit code, 2 if it could not run."""
    try:
        return case(Path(folder))
    except Exception as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        return NOT_RUN
