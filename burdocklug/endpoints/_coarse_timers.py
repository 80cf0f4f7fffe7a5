"""Timers that are nearly always cancelled: set and cancelled in constant time, late by a tick."""

import time

import eventlet.hubs
import structlog

__all__ = ["CoarseTimers"]

TICK_S = 0.02

log = structlog.get_logger(__name__)


class CoarseTimers:
    """Calls back at the first tick after a delay; the loop has one timer for all of them.

    Parameters
    ----------
    now : callable, optional
        Returns monotonic seconds.
    schedule : callable, optional
        ``(seconds, callback)``; calls back on the loop. The hub's timers by default.

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
        self._slots = {}  # timers by the number of the tick that they wait for
        self._passed = 0  # number of the last tick
        self._live = 0
        self._ticking = False

    def __len__(self):
        return self._live

    def after(self, delay_s, callback):
        """Call `callback` once, `delay_s` to `delay_s` + `TICK_S` seconds from now.

        Returns
        -------
        object
            Its method `cancel` prevents the call; it is idempotent.
        """
        now_s = self._now()
        if not self._ticking:
            self._ticking = True
            self._passed = int(now_s / TICK_S)
            self._schedule(TICK_S, self._tick)
        number = max(int((now_s + delay_s) / TICK_S), self._passed) + 1
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = set()
        timer = _CoarseTimer(self, slot, callback)
        slot.add(timer)
        self._live += 1
        return timer

    def note_cancelled(self):
        """Count a timer that does not wait any more."""
        self._live -= 1

    def _tick(self):
        last = int(self._now() / TICK_S)
        while self._passed < last:
            self._passed += 1
            slot = self._slots.pop(self._passed, ())
            while slot:
                self._call(slot.pop())
        if self._live:
            self._schedule(TICK_S, self._tick)
        else:
            self._slots.clear()
            self._ticking = False

    def _call(self, timer):
        self._live -= 1
        try:
            timer.callback()
        except Exception:
            log.exception("timer_callback_failed", callback=repr(timer.callback))


class _CoarseTimer:
    """One callback that waits for its tick."""

    __slots__ = ("_slot", "_timers", "callback")

    def __init__(self, timers, slot, callback):
        self._timers = timers
        self._slot = slot
        self.callback = callback

    def cancel(self):
        """Prevent the call."""
        if self in self._slot:
            self._slot.discard(self)
            self._timers.note_cancelled()


def _schedule_on_hub(seconds, callback):
    eventlet.hubs.get_hub().schedule_call_global(seconds, callback)
