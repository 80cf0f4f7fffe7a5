"""Follows the configuration in the store: one watcher per failure domain, polling as a fallback."""

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
    """Calls to the store since the process started; `silent` counts abandoned calls."""

    watches: int = 0
    polls: int = 0
    failed: int = 0
    silent: int = 0


class StoreFollower:
    """Watches or polls the configuration in the store and reports each value read.

    Parameters
    ----------
    store : Store
        The platform's store.
    timers : TimerService
        Source of time.
    loop : Loop
        Runs the calls concurrently.
    rng : random.Random
        Source of jitter.
    on_entry : callable
        Called with each `Entry` read; entries may arrive out of order, an older one after a newer.
    role : callable
        Returns the current `Role` of this process.

    Notes
    -----
    A call without an answer `CALL_MARGIN_S` after its timeout is abandoned and the next one
    started, because a connection can stop delivering data without being closed. An answer that
    arrives later is still used.
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
        """Make the first call immediately and follow the store until `stop`."""
        self._tick = self._timers.every(TICK_S, self.tick)
        self.tick()

    def stop(self):
        """Start no further call and cancel the one in flight."""
        if self._tick is not None:
            self._tick.cancel()
        self._cancel_call()

    def tick(self):
        """Abandon a call past its deadline and start the one that is due, if any."""
        now_s = self._timers.now()
        if self.state.deadline_s is not None:
            if now_s < self.state.deadline_s:
                return
            self._abandon_call(now_s)
        action = next_action(self.state, now_s, self._role(), jitter=self._rng.random())
        if action is not StoreAction.NONE:
            self._start_call(action, now_s)

    def _abandon_call(self, now_s):
        self.counters.silent += 1
        self._cancel_call()
        # The fault may affect idle connections of the same age too, so none is reused.
        self._store.close()
        record_failure(self.state, now_s, jitter=self._rng.random())
        log.warning("store_call_silent", key=CONFIGURATION_KEY, failures=self.state.failures)

    def _start_call(self, action, now_s):
        watch = action is StoreAction.WATCH
        record_call(self.state, now_s, WATCH_TIMEOUT_S if watch else POLL_TIMEOUT_S)
        self._generation += 1
        self._call = self._loop.spawn(self._watch if watch else self._poll, self._generation)

    def _cancel_call(self):
        self._generation += 1
        call, self._call = self._call, None
        if call is not None:
            call.kill()

    def _watch(self, generation):
        self.counters.watches += 1
        after = self.state.version
        self._run_call(
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
        self._run_call(
            generation,
            lambda: self._store.get(CONFIGURATION_KEY, purpose="ticket_poll"),
            unchanged_version=0,
            polled=True,
        )

    def _run_call(self, generation, call, *, unchanged_version, polled=False):
        try:
            entry = call()
        except BurdocklugError as exc:
            log.info("store_call_failed", key=CONFIGURATION_KEY, fault=exc.message)
            self._on_failure(generation, retry_after_s=exc.retry_after_s)
        except Exception:
            log.exception("store_call_failed", key=CONFIGURATION_KEY)
            self._on_failure(generation)
        else:
            version = unchanged_version if entry is None else entry.version
            self._on_answer(generation, version, polled=polled)
            if entry is not None:
                self._on_entry(entry)

    def _on_answer(self, generation, version, *, polled):
        if generation != self._generation:
            return
        self._call = None
        changed = version != self.state.version
        record_answer(
            self.state, self._timers.now(), version=version, changed=changed, polled=polled
        )

    def _on_failure(self, generation, *, retry_after_s=None):
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
