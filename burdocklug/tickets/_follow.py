"""Follows the configuration in the store: one watch for a failure domain, polls as a fallback."""

from dataclasses import dataclass

import structlog

from burdocklug.kernel import BurdocklugError
from burdocklug.tickets._decisions import (
    POLL_TIMEOUT_S,
    TICK_S,
    WATCH_TIMEOUT_S,
    FollowState,
    StoreAction,
    next_action,
    record_answer,
    record_call,
    record_failure,
)

__all__ = ["CONFIGURATION_KEY", "FollowCounters", "StoreFollower"]

CONFIGURATION_KEY = "burdocklug/configuration"

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class FollowCounters:
    """Calls to the store since the start."""

    watches: int = 0
    polls: int = 0
    failed: int = 0
    silent: int = 0


class StoreFollower:
    """Brings each new value of the store to this process.

    Parameters
    ----------
    store : Store
        The platform's store.
    timers : TimerService
        Source of time.
    loop : Loop
        Runs the calls.
    rng : random.Random
        Source of jitter.
    on_entry : callable
        Takes each Entry; an entry may be older than one before it.
    role : callable
        Returns a `Role`.

    Notes
    -----
    An open call that is past its timeout and a margin is given up, and the next one begins: a
    connection can go silent for good. An answer that comes after that is still used.
    """

    def __init__(self, store, timers, *, loop, rng, on_entry, role):
        self.state = FollowState()
        self.counters = FollowCounters()
        self._store = store
        self._timers = timers
        self._loop = loop
        self._rng = rng
        self._on_entry = on_entry
        self._role = role
        self._generation = 0
        self._call = None
        self._tick = None

    def start(self):
        """Make the first call at once and keep following until `stop`."""
        self._tick = self._timers.every(TICK_S, self.tick)
        self.tick()

    def stop(self):
        """Begin no further call and end the open one."""
        if self._tick is not None:
            self._tick.cancel()
        self._end_call()

    def tick(self):
        """Give up a silent call and begin the one that is due."""
        now_s = self._timers.now()
        if self.state.deadline_s is not None:
            if now_s < self.state.deadline_s:
                return
            self._give_up(now_s)
        action = next_action(self.state, now_s, self._role(), jitter=self._rng.random())
        if action is not StoreAction.NONE:
            self._begin(action, now_s)

    def _give_up(self, now_s):
        self.counters.silent += 1
        self._end_call()
        # Idle connections of the same age may have gone silent too.
        self._store.close()
        record_failure(self.state, now_s, jitter=self._rng.random())
        log.warning("store_call_silent", key=CONFIGURATION_KEY, failures=self.state.failures)

    def _begin(self, action, now_s):
        watch = action is StoreAction.WATCH
        record_call(self.state, now_s, WATCH_TIMEOUT_S if watch else POLL_TIMEOUT_S)
        self._generation += 1
        self._call = self._loop.spawn(self._watch if watch else self._poll, self._generation)

    def _end_call(self):
        self._generation += 1
        call, self._call = self._call, None
        if call is not None:
            call.kill()

    def _watch(self, generation):
        self.counters.watches += 1
        after = self.state.version
        self._run(
            generation,
            lambda: self._store.watch(
                CONFIGURATION_KEY,
                after_version=after,
                timeout_s=WATCH_TIMEOUT_S,
                purpose="ticket_watch",
            ),
            unchanged_version=after,
        )

    def _poll(self, generation):
        self.counters.polls += 1
        self._run(
            generation,
            lambda: self._store.get(CONFIGURATION_KEY, purpose="ticket_poll"),
            unchanged_version=0,
            polled=True,
        )

    def _run(self, generation, call, *, unchanged_version, polled=False):
        try:
            entry = call()
        except BurdocklugError as exc:
            log.info("store_call_failed", key=CONFIGURATION_KEY, fault=exc.message)
            self._fail(generation, retry_after_s=exc.retry_after_s)
        except Exception:
            log.exception("store_call_failed", key=CONFIGURATION_KEY)
            self._fail(generation)
        else:
            version = unchanged_version if entry is None else entry.version
            self._answer(generation, version, polled=polled)
            if entry is not None:
                self._on_entry(entry)

    def _answer(self, generation, version, *, polled):
        if generation != self._generation:
            return
        self._call = None
        news = version != self.state.version
        record_answer(self.state, self._timers.now(), version=version, news=news, polled=polled)

    def _fail(self, generation, *, retry_after_s=None):
        self.counters.failed += 1
        if generation != self._generation:
            return
        self._call = None
        record_failure(
            self.state,
            self._timers.now(),
            jitter=self._rng.random(),
            retry_after_s=retry_after_s,
        )
