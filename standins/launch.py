"""Starts programs for tests, the demo and benchmarks, and ends them by their process id."""

import atexit
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

__all__ = ["Child", "LaunchError", "launch", "wait_healthy"]

ROOT = Path(__file__).resolve().parent.parent
POLL_S = 0.02
PROBE_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 10.0
HEALTHY_TIMEOUT_S = 30.0

_running = {}


class LaunchError(Exception):
    """A program ended, or did not answer in time; the message holds its standard error."""


class Child:
    """One started program.

    Parameters
    ----------
    process : subprocess.Popen
        The program.
    name : str
        Its module, for messages.
    stderr_path : str
        File that collects its standard error.

    Notes
    -----
    As a context manager it stops the program at the end.
    """

    def __init__(self, process, name, stderr_path):
        self._process = process
        self.name = name
        self.stderr_path = stderr_path

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    @property
    def pid(self):
        """Process id."""
        return self._process.pid

    @property
    def returncode(self):
        """Exit code, negative for a signal, None while it runs."""
        return self._process.poll()

    def stderr_text(self):
        """Return what the program wrote to standard error so far."""
        return Path(self.stderr_path).read_text(encoding="utf-8", errors="replace")

    def signal(self, number):
        """Send a signal unless the program has ended."""
        if self.returncode is None:
            os.kill(self.pid, number)

    def pause(self):
        """Freeze the program by SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Let a frozen program go on by SIGCONT."""
        self.signal(signal.SIGCONT)

    def kill(self):
        """End the program by SIGKILL and return its exit code."""
        self.signal(signal.SIGKILL)
        return self.wait(STOP_TIMEOUT_S)

    def stop(self, *, timeout_s=STOP_TIMEOUT_S):
        """End the program by SIGTERM, after the timeout by SIGKILL; return its exit code."""
        self.signal(signal.SIGTERM)
        self.resume()
        code = self.wait(timeout_s)
        return self.kill() if code is None else code

    def wait(self, timeout_s):
        """Wait for the program's end; return its exit code, or None after the timeout."""
        end_s = time.monotonic() + timeout_s
        while self.returncode is None and time.monotonic() < end_s:
            time.sleep(POLL_S)
        if self.returncode is not None:
            _running.pop(self.pid, None)
        return self.returncode


def launch(
    module, *args, health=None, timeout_s=HEALTHY_TIMEOUT_S, env=None, stdout=subprocess.DEVNULL
):
    """Start ``python -m module args`` and wait until it answers.

    Parameters
    ----------
    module : str
        Module to run.
    *args : str
        Its arguments.
    health : str, optional
        ``IP:port`` that has to accept a connection, or ``http://...`` that has to answer with
        status 200, before the call returns.
    timeout_s : float, optional
        Longest wait for it, seconds.
    env : dict, optional
        Environment variables to add.
    stdout : optional
        As for subprocess.Popen.

    Returns
    -------
    Child
        The running program.

    Raises
    ------
    LaunchError
        If it ends, or does not answer in time; it is killed then.
    """
    handle, stderr_path = tempfile.mkstemp(prefix=f"{module}-", suffix=".stderr")
    process = subprocess.Popen(
        [sys.executable, "-m", module, *map(str, args)],
        cwd=ROOT,
        env={**os.environ, **(env or {})},
        stdin=subprocess.DEVNULL,
        stdout=stdout,
        stderr=handle,
    )
    os.close(handle)
    child = Child(process, module, stderr_path)
    _running[child.pid] = child
    if health is not None:
        wait_healthy(child, health, timeout_s=timeout_s)
    return child


def wait_healthy(child, health, *, timeout_s=HEALTHY_TIMEOUT_S):
    """Wait until a program answers.

    Parameters
    ----------
    child : Child
        The program.
    health : str
        As for `launch`.
    timeout_s : float, optional
        Longest wait, seconds.

    Raises
    ------
    LaunchError
        If it ends, or does not answer in time; it is killed then.
    """
    end_s = time.monotonic() + timeout_s
    while not _answers(health):
        if child.returncode is not None:
            _running.pop(child.pid, None)
            raise LaunchError(f"{child.name} ended with {child.returncode}: {child.stderr_text()}")
        if time.monotonic() > end_s:
            child.kill()
            raise LaunchError(f"{child.name} does not answer at {health}: {child.stderr_text()}")
        time.sleep(POLL_S)


def _answers(health):
    try:
        if health.startswith("http://"):
            with urllib.request.urlopen(health, timeout=PROBE_TIMEOUT_S) as answer:
                return answer.status == 200
        host, _, port = health.rpartition(":")
        socket.create_connection((host, int(port)), PROBE_TIMEOUT_S).close()
        return True
    except OSError:
        return False


@atexit.register
def _kill_running():
    for child in list(_running.values()):
        child.kill()
