"""Runs cases in virtual time side by side, each in a process of its own."""

import os
import subprocess
import sys
import tempfile
from collections import deque
from pathlib import Path

__all__ = ["MAX_PROCESSES", "run_side_by_side"]

ROOT = Path(__file__).resolve().parent.parent
MAX_PROCESSES = max(1, min(6, (os.cpu_count() or 1) // 2))


def run_side_by_side(names, *, processes=MAX_PROCESSES):
    """Run cases by name and print their lines in the order of the names.

    Parameters
    ----------
    names : iterable of str
        Names of cases.
    processes : int, optional
        Most processes at a time.

    Returns
    -------
    bool
        Whether all of them passed.
    """
    waiting, running, passed = deque(names), deque(), True
    while waiting or running:
        while waiting and len(running) < processes:
            running.append(_start(waiting.popleft()))
        passed &= _finish(*running.popleft())
    return passed


def _start(name):
    out = tempfile.TemporaryFile(mode="w+", encoding="utf-8")
    command = [sys.executable, "-m", "bench", "--cases", name]
    return subprocess.Popen(command, cwd=ROOT, stdout=out), out


def _finish(process, out):
    code = process.wait()
    with out:
        out.seek(0)
        print(out.read(), end="", flush=True)
    return code == 0
