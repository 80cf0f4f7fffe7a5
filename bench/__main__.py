"""Runs benchmark cases: ``python -m bench [--cases PATTERN]``, one JSON line for each figure.

Without a pattern every case with a bound runs: those in virtual time side by side, then those
under ``clock/`` against real processes (some minutes; CI runs none of these). Cases under
``compare/`` only report and run when a pattern names them. Exit code 1 if a bound fails.
"""

import argparse
import fnmatch
import json
import sys

from burdocklug._loop import patch_loop

patch_loop()

import bench._cases_clock  # noqa: E402, F401, registers cases
import bench._cases_connections  # noqa: E402, F401
import bench._cases_contention  # noqa: E402, F401
import bench._cases_faults  # noqa: E402, F401
import bench._cases_overload  # noqa: E402, F401
import bench._cases_routing  # noqa: E402, F401
import bench._cases_speed  # noqa: E402, F401
from bench._cases import cases, clock_cases  # noqa: E402
from bench._side_by_side import run_side_by_side  # noqa: E402

REPORT_ONLY = "compare/*"


def main(argv=None):
    """Run the matching cases and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("--cases", metavar="PATTERN", help="run the cases whose names match")
    pattern = parser.parse_args(argv).cases
    if pattern:
        found = {**dict(cases.items()), **dict(clock_cases.items())}
        wanted = [case for name, case in found.items() if fnmatch.fnmatch(name, pattern)]
        return int(not _run(wanted))
    bounded = [name for name in cases.names() if not fnmatch.fnmatch(name, REPORT_ONLY)]
    passed = run_side_by_side(bounded)
    return int(not (_run(case for _, case in clock_cases.items()) and passed))


def _run(found):
    """Run cases one after another and return whether all lines passed."""
    passed = True
    for case in found:
        for line in case():
            passed &= line.passed
            _print(line)
    return passed


def _print(line):
    row = {
        "name": line.name,
        "measured": line.measured,
        "bound": line.bound,
        "pass": line.passed,
    }
    if line.details:
        row["details"] = line.details
    print(json.dumps(row), flush=True)


if __name__ == "__main__":
    sys.exit(main())
