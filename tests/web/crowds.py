"""Processes of both profiles, and crowds of clients that send without regard to any limit."""

import json
import socket
import urllib.request

import eventlet
from testtools import TestCase
from testtools.content import text_content
from testtools.matchers import Equals

from standins.deployment import Deployment
from standins.fleet import Fleet
from standins.platform_fleet import PlatformFleet

__all__ = ["MEMORY_BOUND_KB", "CrowdTestCase", "OwnTarget", "PoolTarget", "head", "in_chunks"]

MEMORY_BOUND_KB = 160 * 1024  # of the smallest host
SEND_TIMEOUT_S = 5.0
SLICE_BYTES = 65_536
LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 262_144}


def head(path, *headers, method="POST"):
    """Return the request line and headers of a request, with the empty line."""
    lines = [f"{method} {path} HTTP/1.1", "Host: checks.example", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def in_chunks(data, size):
    """Return `data` in chunks of `size` bytes, without the last chunk."""
    pieces = (data[at : at + size] for at in range(0, len(data), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


class PoolTarget:
    """A pool of one process, with the operator's default limits.

    Parameters
    ----------
    listen : dict, optional
        Settings of the listeners that differ from the defaults.
    """

    def __init__(self, listen=None):
        self._fleet = PlatformFleet({"north-1": "north"}, workers=2, limits=LIMITS, listen=listen)
        self.max_body_bytes = LIMITS["max_body_bytes"]

    def start(self):
        """Start the process and its stand-ins."""
        self._fleet.start()
        self.child = self._fleet.children["north-1"]
        self.listeners = {
            "callers": self._fleet.addresses["north-1"],
            "readiness": self._fleet.ready_addresses["north-1"],
            "operators": self._fleet.operators["north-1"],
        }
        return self

    def stop(self):
        """End everything that was started."""
        self._fleet.stop()

    def submission(self, *headers):
        """Return the head of a request that submits a job."""
        return head("/checks/" + "d" * 16, *headers)

    def submit(self, number, *, run_s=0.05):
        """Submit an ordinary job; return whether it completed."""
        spec = f"run {run_s}"
        return self._fleet.submit("north-1", f"{number:016x}", spec=spec) == (
            200,
            {"state": "completed"},
        )

    def ask(self, listener):
        """Send an ordinary request to a listener; return its status."""
        if listener == "callers":
            return self._fleet.call("north-1", "GET", "/checks/")[0]
        path = {"readiness": "/ready", "operators": "/metrics"}[listener]
        return _status(self.listeners[listener], path)


class OwnTarget:
    """One process of the profile ``own``, with bodies of 2 MB at most.

    Parameters
    ----------
    listen : dict, optional
        Settings of the listeners that differ from the defaults.
    """

    def __init__(self, listen=None):
        shape = Deployment("crowd", "press", "latency", {"north": 1}, endpoints=1)
        self._fleet = Fleet(shape)
        self.max_body_bytes = 2_000_000
        self._listen = {"max_body_bytes": self.max_body_bytes, **(listen or {})}

    def start(self):
        """Start the process and its stand-ins."""
        fleet = self._fleet
        fleet.start_store()
        fleet.start_endpoints("north")
        listen = {**fleet.process_settings("north-1")["listen"], **self._listen}
        self.child = fleet.start_process("north-1", listen=listen)
        fleet.apply(fleet.ticket(1))
        self.listeners = {
            "callers": fleet.callers("north-1"),
            "operators": fleet.operators("north-1"),
        }
        return self

    def stop(self):
        """End everything that was started."""
        self._fleet.stop()

    def submission(self, *headers, key="a~1"):
        """Return the head of a request that submits a job."""
        return head("/v1/jobs", f"Idempotency-Key: {key}", *headers)

    def new_key(self):
        """Return the first key of a new session."""
        url = f"http://{self.listeners['callers']}/v1/sessions"
        return json.loads(_post(url, b"", {}))["session"] + "~1"

    def submit(self, _number, *, run_s=0.05):
        """Submit an ordinary job; return whether it completed."""
        url = f"http://{self.listeners['callers']}"
        tasks = [{"payload": {"run_s": run_s, "value": 1}}]
        job = json.dumps({"service": "press", "team": "floor", "tasks": tasks}).encode()
        answer = _post(f"{url}/v1/jobs?wait_s=10", job, {"Idempotency-Key": self.new_key()})
        return json.loads(answer)["state"] == "complete"

    def ask(self, listener):
        """Send an ordinary request to a listener; return its status."""
        if listener == "callers":
            return _status(self.listeners[listener], "/v1/health")
        return 200 if self._fleet.state("north-1")["process"] == "north-1" else None


def _post(url, data, headers):
    req = urllib.request.Request(url, data=data, headers=headers, method="POST")
    with urllib.request.urlopen(req, timeout=20.0) as answer:
        return answer.read()


def _status(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=20.0) as answer:
        return answer.status


class CrowdTestCase(TestCase):
    """Base of tests that open one crowd against a process of the scenario's `profile`."""

    listen = None

    def setUp(self):
        super().setUp()
        self.sockets = []
        self.addCleanup(lambda: [sock.close() for sock in self.sockets])

    def start_target(self):
        """Start the process and see an ordinary request answered."""
        self.target = self.profile(self.listen)
        self.addCleanup(self.target.stop)
        self.target.start()
        self.addOnException(lambda _exc_info: self._attach_log())
        self.assertTrue(self.target.submit(1))

    def _attach_log(self):
        self.addDetail("log", text_content(self.target.child.stderr_text()[-20_000:]))

    def connect(self, listener="callers"):
        """Return a new connection to a listener; it stays open until the end of the test."""
        ip, _, port = self.target.listeners[listener].rpartition(":")
        sock = socket.create_connection((ip, int(port)), timeout=SEND_TIMEOUT_S)
        self.sockets.append(sock)
        return sock

    def send(self, data, *, repeat=1, listener="callers"):
        """Connect and send `data` `repeat` times; return the bytes that the process took."""
        sent = 0
        try:
            sock = self.connect(listener)
            for _ in range(repeat):
                for at in range(0, len(data), SLICE_BYTES):
                    piece = data[at : at + SLICE_BYTES]
                    sock.sendall(piece)
                    sent += len(piece)
        except OSError:
            pass  # closed by the process, or it no longer reads
        return sent

    def crowd(self, count, data, *, repeat=1, listener="callers"):
        """Open `count` connections that send alike at the same time; return what each sent."""
        pool = eventlet.GreenPool(count)
        sizes = [
            pool.spawn(self.send, data, repeat=repeat, listener=listener) for _ in range(count)
        ]
        return [size.wait() for size in sizes]

    def memory_kb(self):
        """Return the largest resident size that the process ever had."""
        with open(f"/proc/{self.target.child.pid}/status", encoding="ascii") as status:
            line = next(line for line in status if line.startswith("VmHWM:"))
        return int(line.split()[1])

    def assert_bounded_and_serving(self):
        """Assert that the process lives within its memory and serves an ordinary caller."""
        self.assertTrue(self.target.submit(2))
        self.assertThat(self.target.child.returncode, Equals(None))
        peak_kb = self.memory_kb()
        self.assertTrue(peak_kb < MEMORY_BOUND_KB, f"{peak_kb} kB, {MEMORY_BOUND_KB} allowed")
