"""A clock, an event heap and fake endpoints for benchmarks in virtual time."""

import heapq
import itertools
from dataclasses import dataclass, field

__all__ = ["FakeEndpoint", "VirtualLoop"]


class VirtualLoop:
    """Runs callbacks in order of their virtual time.

    Examples
    --------
    >>> loop = VirtualLoop()
    >>> loop.after(2.0, print, "second")
    >>> loop.after(1.0, print, "first")
    >>> loop.run(until_s=5.0)
    first
    second
    >>> loop.now_s
    5.0
    """

    def __init__(self):
        self.now_s = 0.0
        self._heap = []
        self._order = itertools.count()

    def after(self, delay_s, callback, *args):
        """Call `callback(*args)` in `delay_s` seconds."""
        heapq.heappush(self._heap, (self.now_s + delay_s, next(self._order), callback, args))

    def run(self, *, until_s):
        """Run every callback that is due by `until_s`, in seconds."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, callback, args = heapq.heappop(self._heap)
            callback(*args)
        self.now_s = until_s


@dataclass(slots=True)
class FakeEndpoint:
    """An endpoint with a slot guard.

    Parameters
    ----------
    name, failure_domain, rack : str
        Where it is.
    slots : int
        Most tasks at once; a start beyond them is refused.
    slowdown : float
        Factor on each task's run time.
    alive : bool
        A dead endpoint refuses connections, and its running tasks are lost.
    claims_free : int or None
        What it answers as its free slots in place of the truth.
    """

    name: str
    failure_domain: str
    rack: str
    slots: int
    slowdown: float = 1.0
    alive: bool = True
    claims_free: int | None = None
    busy: int = 0
    starts: int = 0
    refused: int = 0
    peak_connections: int = 0
    connections: set = field(default_factory=set)

    def free(self):
        """Return the number of free slots that it claims."""
        return self.slots - self.busy if self.claims_free is None else self.claims_free
