"""Stand-in endpoints for the tests, in this process or in a child process."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request

import eventlet

from burdocklug.endpoints import Attempt
from standins.endpoint import Process
from standins.endpoint_state import Faults, answer_digest

ANSWER_TIMEOUT_S = 10.0
HISTORY_S = 60.0  # age that a local endpoint reports when the test begins


def attempt(number=0, **payload):
    """Return an attempt whose payload determines the stand-in's behaviour."""
    return Attempt(f"attempt-{number}", f"job.1/{number}", "loom", payload, ANSWER_TIMEOUT_S)


def own_value(sent, value=None):
    """Return the value of the stand-in's result for the attempt `sent`."""
    return {"value": value, "digest": answer_digest(sent.task_id)}


def local_endpoint(**options):
    """Return an endpoint that serves in this process, with its `address` set as an attribute."""
    process = Process("127.0.0.1", 0, **options)
    process.open()
    endpoint = process.endpoints[0]
    endpoint.state.remembers_from_s -= HISTORY_S
    endpoint.address = f"127.0.0.1:{endpoint.port}"
    return endpoint


def set_faults(endpoint, **faults):
    endpoint.state.faults = Faults(**faults)


def starts_by_task(starts):
    """Return a dict from task id to the number of its starts."""
    counts = {}
    for task_id, *_ in starts:
        counts[task_id] = counts.get(task_id, 0) + 1
    return counts


class RemoteEndpoint:
    """A stand-in endpoint in its own process."""

    def __init__(self, port=0):
        command = [sys.executable, "-m", "standins.endpoint", "--listen", f"127.0.0.1:{port}"]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.port = int(self.process.stdout.readline().split()[1])
        self.address = f"127.0.0.1:{self.port}"

    def starts(self):
        with urllib.request.urlopen(f"http://{self.address}/record", timeout=5) as answer:
            return json.load(answer)["starts"]

    def wait_for_starts(self, count):
        """Wait until `count` starts are recorded and return the record."""
        end_s = time.monotonic() + ANSWER_TIMEOUT_S
        while len(starts := self.starts()) < count and time.monotonic() < end_s:
            eventlet.sleep(0.01)
        return starts

    def freeze(self):
        os.kill(self.process.pid, signal.SIGSTOP)

    def wake(self):
        os.kill(self.process.pid, signal.SIGCONT)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()
