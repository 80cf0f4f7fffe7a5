"""Runs the whole test suite in a few pytest processes side by side.

``python -m tools.run_tests`` prints the output of each group as it ends, then one line with the
sums. Most tests with whole fleets wait and most others compute, so that the groups take about as
long together as the longest of them.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path

__all__ = ["GROUPS", "pytest_arguments", "summed_counts"]

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
    "others": ("tests", "burdocklug", "tools"),
}
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
    runs = {}
    for group in GROUPS:
        log = tempfile.TemporaryFile(mode="w+", encoding="utf-8")
        command = [sys.executable, "-m", "pytest", *pytest_arguments(group)]
        runs[group] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log), log
    codes, outputs = [], []
    for group, (process, log) in runs.items():
        codes.append(process.wait())
        log.seek(0)
        outputs.append(log.read())
        print(f"== {group}\n{outputs[-1]}", flush=True)
    passed, failed = summed_counts(outputs)
    print(f"{passed} passed, {failed} failed")
    return int(any(codes))


if __name__ == "__main__":
    sys.exit(main())
