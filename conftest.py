"""Pytest hooks: patches the loop in, lets tests in KNOWN-RED.txt fail, prints a closing count."""

import warnings
from pathlib import Path

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import pytest  # noqa: E402

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def known_red_tests():
    """Yield the test ids that KNOWN-RED.txt lists, one on each line that starts with `test:`."""
    if not KNOWN_RED.exists():
        return
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.startswith("test:"):
            yield line.removeprefix("test:").strip()


def pytest_collection_modifyitems(items):
    """Mark each listed test as one that may fail."""
    listed = set(known_red_tests())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests that ran and a plain closing count of all that ran."""
    stats = terminalreporter.stats
    listed = set(known_red_tests())
    for outcome in ("xfailed", "xpassed"):
        for report in stats.get(outcome, ()):
            if report.nodeid in listed:
                terminalreporter.write_line(f"known red: {report.nodeid} ({outcome})")
    passed = len(stats.get("passed", ())) + len(stats.get("xpassed", ()))
    failed = len(stats.get("failed", ())) + len(stats.get("error", ()))
    terminalreporter.write_line(f"{passed} passed, {failed} failed")
