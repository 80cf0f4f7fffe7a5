"""A timer wheel for timers that are nearly always cancelled.

Setting and cancelling take constant time; callbacks are late by up to two ticks.
"""

import time

import eventlet.hubs
import structlog

__all__ = ["CoarseTimers"]

TICK_S = 0.02

log = structlog.get_logger(__name__)


class CoarseTimers:
    """Calls back at the first tick after a delay; all timers share one timer of the event loop.

    Parameters
    ----------
    now : callable, optional
        Returns monotonic seconds.
    schedule : callable, optional
        Called with ``(seconds, callback)``; calls back on the event loop after that time. The
        timers of eventlet's hub by default.

    Examples
    --------
    >>> clock, ticks, seen = [0.0], [], []
    >>> timers = CoarseTimers(now=lambda: clock[0], schedule=lambda _, tick: ticks.append(tick))
    >>> kept = timers.after(1.0, lambda: seen.append("kept"))
    >>> timers.after(1.0, lambda: seen.append("cancelled")).cancel()
    >>> for clock[0] in (0.99, 1.03):
    ...     ticks.pop()()
    >>> seen, len(timers), ticks
    (['kept'], 0, [])
    """

    def __init__(self, *, now=time.monotonic, schedule=None):
        self._now = now
        self._schedule = schedule or _schedule_on_hub
        self._slots = {}  # tick number to the set of timers due at that tick
        self._last_tick = 0  # number of the latest tick that was run
        self._pending_count = 0
        self._ticking = False

    def __len__(self):
        return self._pending_count

    def after(self, delay_s, callback):
        """Call `callback` once, `delay_s` to `delay_s` + 2 * `TICK_S` seconds from now.

        Returns
        -------
        object
            The timer; its idempotent method `cancel` prevents the call.
        """
        now_s = self._now()
        if not self._ticking:
            self._ticking = True
            self._last_tick = int(now_s / TICK_S)
            self._schedule(TICK_S, self._tick)
        tick = max(int((now_s + delay_s) / TICK_S), self._last_tick) + 1
        slot = self._slots.get(tick)
        if slot is None:
            slot = self._slots[tick] = set()
        timer = _CoarseTimer(self, slot, callback)
        slot.add(timer)
        self._pending_count += 1
        return timer

    def note_cancelled(self):
        """Decrement the number of pending timers."""
        self._pending_count -= 1

    def _tick(self):
        current = int(self._now() / TICK_S)
        while self._last_tick < current:
            self._last_tick += 1
            slot = self._slots.pop(self._last_tick, ())
            while slot:
                self._call(slot.pop())
        if self._pending_count:
            self._schedule(TICK_S, self._tick)
        else:
            self._slots.clear()
            self._ticking = False

    def _call(self, timer):
        self._pending_count -= 1
        try:
            timer.callback()
        except Exception:
            log.exception("timer_callback_failed", callback=repr(timer.callback))


class _CoarseTimer:
    """A timer set by `CoarseTimers.after`."""

    __slots__ = ("_slot", "_timers", "callback")

    def __init__(self, timers, slot, callback):
        self._timers = timers
        self._slot = slot
        self.callback = callback

    def cancel(self):
        """Prevent the call, unless it was made already."""
        if self in self._slot:
            self._slot.discard(self)
            self._timers.note_cancelled()


def _schedule_on_hub(seconds, callback):
    eventlet.hubs.get_hub().schedule_call_global(seconds, callback)
