"""Timer service that calls the callbacks of all parts of a process when they are due.

Functions that make decisions take the time as an argument. Parts that act at a certain time
schedule a callback here, so that a test can replace `time.monotonic` by a counter and advance
the time of every part itself.
"""

import heapq
import itertools
import time
from dataclasses import dataclass, field

import structlog

__all__ = ["Subscription", "TimerService"]

log = structlog.get_logger(__name__)

MIN_CANCELLED_TO_PURGE = 1000  # up to this many, a scan of the heap isn't worthwhile


@dataclass(order=True, slots=True)
class Subscription:
    """A scheduled callback; `cancel` is idempotent."""

    due_s: float
    order: int
    callback: object = field(compare=False)
    period_s: float | None = field(compare=False, default=None)
    service: object = field(compare=False, default=None)
    cancelled: bool = field(compare=False, default=False)

    def cancel(self):
        """Prevent all later calls of the callback."""
        if not self.cancelled:
            self.cancelled = True
            self.callback = None
            self.service.note_cancelled()


class TimerService:
    """Schedules callbacks and calls them when they are due.

    Parameters
    ----------
    now : callable, optional
        Returns the monotonic time, in seconds.

    Examples
    --------
    >>> clock = [0.0]
    >>> timers = TimerService(now=lambda: clock[0])
    >>> seen = []
    >>> sub = timers.every(2.0, lambda: seen.append(clock[0]))
    >>> for clock[0] in (1.0, 2.0, 4.5):
    ...     _ = timers.run_due()
    >>> seen
    [2.0, 4.5]
    """

    def __init__(self, *, now=time.monotonic):
        self.now = now
        self._heap = []
        self._order = itertools.count()
        self._wake = None
        self._cancelled = 0

    def __len__(self):
        return len(self._heap)

    def note_cancelled(self):
        """Count a cancellation, and purge the heap if the count is large.

        The count has to exceed `MIN_CANCELLED_TO_PURGE` and half of the heap's length.
        """
        self._cancelled += 1
        if self._cancelled > MIN_CANCELLED_TO_PURGE and 2 * self._cancelled > len(self._heap):
            self._heap = [sub for sub in self._heap if not sub.cancelled]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def after(self, delay_s, callback):
        """Call `callback` once, `delay_s` seconds from now, and return its subscription."""
        return self._push(self.now() + delay_s, callback, None)

    def every(self, period_s, callback):
        """Call `callback` every `period_s` seconds, first after 0.5 to 1.5 periods.

        Notes
        -----
        Calls are due at multiples of the period, so that subscriptions with equal periods share
        their wake-ups. Multiples missed by a late call are skipped, so that it causes no burst.
        """
        return self._push(_next_multiple(self.now(), period_s), callback, period_s)

    def _push(self, due_s, callback, period_s):
        sub = Subscription(due_s, next(self._order), callback, period_s, self)
        heapq.heappush(self._heap, sub)
        if self._wake is not None and self._heap[0] is sub:
            self._wake()
        return sub

    def next_due_s(self):
        """Return the due time of the earliest subscription that is not cancelled, or None."""
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0].due_s if self._heap else None

    def run_due(self):
        """Call all due callbacks and return the number of calls."""
        now = self.now()
        calls = 0
        while (due_s := self.next_due_s()) is not None and due_s <= now:
            sub = heapq.heappop(self._heap)
            callback = sub.callback
            if sub.period_s is not None:
                sub.due_s = _next_multiple(now, sub.period_s)
                heapq.heappush(self._heap, sub)
            self._call(callback)
            calls += 1
        return calls

    def _call(self, callback):
        try:
            callback()
        except Exception:
            log.exception("timer_callback_failed", callback=repr(callback))

    def serve(self, stopped):
        """Call due callbacks on the event loop until `stopped()` is true.

        Parameters
        ----------
        stopped : callable
            Returns True once this method has to return.
        """
        import eventlet
        from eventlet.event import Event

        idle_s = 1.0
        while not stopped():
            self.run_due()
            due_s = self.next_due_s()
            wait_s = idle_s if due_s is None else min(idle_s, max(0.0, due_s - self.now()))
            wake = Event()
            self._wake = lambda wake=wake: None if wake.ready() else wake.send(None)
            with eventlet.Timeout(max(wait_s, 0.001), False):
                wake.wait()
            self._wake = None


def _next_multiple(now_s, period_s):
    """Return the first multiple of a period that is at least half a period after a time."""
    due_s = (now_s // period_s + 1) * period_s
    return due_s if due_s - now_s >= period_s / 2 else due_s + period_s
