"""Starts stand-ins and processes, waits until they answer, and ends them by process id."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

__all__ = ["Child", "launch"]

START_S = 20.0


class Child:
    """A started process."""

    def __init__(self, command):
        self.log = tempfile.TemporaryFile()
        self._process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.pid = self._process.pid

    def running(self):
        """Return whether it has not ended."""
        return self._process.poll() is None

    def signal(self, number):
        """Send a signal."""
        if self.running():
            os.kill(self.pid, number)

    def kill(self):
        """Kill it and wait for its end."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self, *, timeout_s=20.0):
        """Ask it to stop and return its exit code."""
        self.signal(signal.SIGTERM)
        return self._process.wait(timeout_s)

    def stop(self):
        """End it, gracefully where it lets us."""
        self.signal(signal.SIGCONT)
        self.kill()

    def output(self):
        """Return everything it wrote."""
        self.log.seek(0)
        return self.log.read().decode("utf-8", "replace")


def launch(module, *args, health=None, token=None):
    """Start ``python -m module`` and wait until its health address answers."""
    child = Child([sys.executable, "-m", module, *args])
    if health is None and "--listen" in args:
        health = f"http://{args[args.index('--listen') + 1]}/record"
    until = time.monotonic() + START_S
    while health and time.monotonic() < until:
        if not child.running():
            raise RuntimeError(f"{module} ended: {child.output()[-2000:]}")
        try:
            request = urllib.request.Request(health)
            if token:
                request.add_header("Authorization", f"Bearer {token}")
            urllib.request.urlopen(request, timeout=1.0).close()
            return child
        except (urllib.error.URLError, OSError):
            time.sleep(0.02)
    if health:
        child.kill()
        raise RuntimeError(f"{module} did not answer: {child.output()[-2000:]}")
    return child
