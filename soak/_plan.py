"""Which faults come when: a plan that follows from a seed alone."""

import random
from dataclasses import dataclass

from soak._faults import PLANNED, fault_kinds

__all__ = ["Entry", "make_plan"]

MEAN_PAUSE_S = 1.5  # between two faults, so that most of them overlap
SPAN_S = (0.3, 5.0)  # bounds of how long one lasts


@dataclass(frozen=True, slots=True)
class Entry:
    """One fault: when it begins, how long it lasts, its kind, and the seed of its choices."""

    at_s: float
    for_s: float
    kind: str
    seed: int

    @property
    def is_planned(self):
        """Whether it is work that must cut nothing."""
        return self.kind in PLANNED

    @property
    def end_s(self):
        """When it is made good."""
        return self.at_s + self.for_s


def make_plan(seed, duration_s, *, kinds=None):
    """Return the entries of a run.

    Parameters
    ----------
    seed : int
        Decides everything.
    duration_s : float
        No fault begins later; all are made good by then.
    kinds : sequence of str, optional
        Kinds to draw from, all of them if left out.

    Examples
    --------
    >>> make_plan(1, 20.0) == make_plan(1, 20.0)
    True
    >>> {entry.kind for entry in make_plan(2, 3.0, kinds=["pause"])}
    {'pause'}
    """
    rng = random.Random(seed)
    kinds = sorted(kinds or fault_kinds.names())
    entries, at_s = [], rng.uniform(0.5, 2.0)
    while at_s < duration_s:
        for_s = min(rng.uniform(*SPAN_S), duration_s - at_s)
        entries.append(
            Entry(round(at_s, 2), round(for_s, 2), rng.choice(kinds), rng.getrandbits(32))
        )
        at_s += rng.expovariate(1 / MEAN_PAUSE_S)
    return entries
