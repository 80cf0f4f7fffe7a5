"""Benchmark cases: each returns lines with a name, a measured figure and its bound."""

import math
from dataclasses import dataclass, field

from burdocklug.kernel import Registry

__all__ = ["Line", "cases", "clock_cases", "at_least", "at_most"]

cases = Registry("benchmark case")  # in virtual time: the same figures in every run
clock_cases = Registry("benchmark case on the clock")


@dataclass(frozen=True, slots=True)
class Line:
    """One measured figure against its bound; a bound of None only reports."""

    name: str
    measured: float
    bound: float | None
    passed: bool
    details: dict = field(default_factory=dict)


def at_most(name, measured, bound, **details):
    """Return a line that passes if `measured` doesn't exceed `bound`."""
    passed = bound is None or (measured <= bound and not math.isnan(measured))
    return Line(name, measured, bound, passed, details)


def at_least(name, measured, bound, **details):
    """Return a line that passes if `measured` isn't below `bound`."""
    return Line(name, measured, bound, measured >= bound, details)
