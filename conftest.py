"""Pytest hooks: tests named in KNOWN-RED.txt may fail and are printed at the end of the run."""

from pathlib import Path

import pytest

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
    """Print the listed tests and a plain closing count of the tests that ran."""
    for test in known_red_tests():
        terminalreporter.write_line(f"known red: {test}")
    stats = terminalreporter.stats
    passed = len(stats.get("passed", ())) + len(stats.get("xpassed", ()))
    failed = len(stats.get("failed", ())) + len(stats.get("error", ()))
    terminalreporter.write_line(f"{passed} passed, {failed} failed")
