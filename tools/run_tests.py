"""Runs the whole test suite in a few pytest processes side by side.

``python -m tools.run_tests`` prints the output of each group as it ends, then one line with the
sums. Most tests with whole fleets wait and most others compute, so that the groups take about as
long together as the longest of them. The groups of `ALONE` load a whole process each; they run one
after the other once all others have ended.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path

__all__ = ["ALONE", "GROUPS", "pytest_arguments", "summed_counts"]

ROOT = Path(__file__).resolve().parent.parent
GROUPS = {
    "shutdown and partitions": (
        "tests/daemon/test_shutdown.py",
        "tests/daemon/test_partitions.py",
    ),
    "fleets": ("tests/daemon", "tests/cli", "tests/operators"),
    "demo": ("tests/demo", "tests/docs", "tests/soak"),
    "bench": ("tests/bench",),
    "control": ("tests/tickets", "tests/store", "tests/peers", "tests/hosts"),
    "pools": ("tests/pools",),
    "crowds": ("tests/web/test_crowds.py",),
    "others": ("tests", "burdocklug", "tools"),
}
ALONE = ("crowds",)
COUNTS = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


def pytest_arguments(group):
    """Return the arguments that make pytest run one group: its paths without earlier groups'.

    Parameters
    ----------
    group : str
        A key of `GROUPS`.

    Examples
    --------
    >>> pytest_arguments("fleets")[0], pytest_arguments("fleets")[-1]
    ('tests/daemon', '--ignore=tests/daemon/test_partitions.py')
    """
    earlier = []
    for name, paths in GROUPS.items():
        if name == group:
            return [*paths, *(f"--ignore={path}" for path in earlier)]
        earlier += paths
    raise KeyError(group)


def summed_counts(outputs):
    r"""Return the sums of passed and failed tests over the closing lines of pytest's outputs.

    Raises
    ------
    ValueError
        If an output has no closing line.

    Examples
    --------
    >>> summed_counts(["...\n3 passed, 0 failed\n", "..F\n2 passed, 1 failed\n"])
    (5, 1)
    """
    passed = failed = 0
    for output in outputs:
        found = COUNTS.findall(output)
        if not found:
            raise ValueError(f"a run without a closing line: {output[-200:]!r}")
        passed += int(found[-1][0])
        failed += int(found[-1][1])
    return passed, failed


def main():
    """Run all groups; return 0 if every one of them passed, else 1."""
    runs = {group: _start(group) for group in GROUPS if group not in ALONE}
    results = [_finish(group, *run) for group, run in runs.items()]
    results += [_finish(group, *_start(group)) for group in ALONE]
    passed, failed = summed_counts(output for _code, output in results)
    print(f"{passed} passed, {failed} failed")
    return int(any(code for code, _output in results))


def _start(group):
    """Start pytest for a group; return its process and the file that collects its output."""
    log = tempfile.TemporaryFile(mode="w+", encoding="utf-8")
    command = [sys.executable, "-m", "pytest", *pytest_arguments(group)]
    return subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log), log


def _finish(group, process, log):
    """Wait for a group's end and print its output; return its exit code and output."""
    code = process.wait()
    log.seek(0)
    output = log.read()
    print(f"== {group}\n{output}", flush=True)
    return code, output


if __name__ == "__main__":
    sys.exit(main())
