"""Runs benchmark cases: ``python -m bench [--cases PATTERN]``, one JSON line for each figure.

Without a pattern every case with a bound runs; cases under ``compare/`` only report and run
when a pattern names them. Exit code 1 if a bound fails.
"""

import argparse
import fnmatch
import json
import sys

import bench._cases_connections  # noqa: F401, registers cases
import bench._cases_faults  # noqa: F401
import bench._cases_overload  # noqa: F401
import bench._cases_routing  # noqa: F401
from bench._cases import cases

REPORT_ONLY = "compare/*"


def main(argv=None):
    """Run the matching cases and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("--cases", metavar="PATTERN", help="run the cases whose names match")
    pattern = parser.parse_args(argv).cases
    failed = False
    for name, case in cases.items():
        wanted = fnmatch.fnmatch(name, pattern) if pattern else not _reports(name)
        if not wanted:
            continue
        for line in case():
            failed |= not line.passed
            _print(line)
    return int(failed)


def _reports(name):
    return fnmatch.fnmatch(name, REPORT_ONLY)


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
