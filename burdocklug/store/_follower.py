"""Follows the records under a prefix: reads them, then takes in each change."""

import random
from dataclasses import dataclass

import eventlet
import structlog
from eventlet.event import Event

from burdocklug.store._records import HistoryLost
from burdocklug.store._store import StoreUnavailable, StoreUncertain

__all__ = ["FollowPace", "PrefixFollower"]

WAIT_S = 20.0  # of one call that waits; longer ones are cut by what lies between the two ends
FIRST_RETRY_S = 0.2  # pause after a first failure; it doubles with each further one
RETRY_S = 2.0  # longest pause after a failure, so that a fleet does not stampede

log = structlog.get_logger(__name__)


class _Hastened(Exception):
    """Ends a call that waits for changes."""


@dataclass(frozen=True)
class FollowPace:
    """How often a follower calls the store.

    Parameters
    ----------
    pause_s : float
        Shortest time from an answer to the next call; bounds the calls where much changes.
    wait_s : float
        Longest time for which a call waits for a change; bounds the calls where little changes.
    retry_s : float
        Longest time from a failure to the next call.

    Notes
    -----
    A connection that went silent is found out by the end of a call only. What has to be known
    within a bound needs the sum of the three, and of the store's timeout, below it.
    """

    pause_s: float
    wait_s: float = WAIT_S
    retry_s: float = RETRY_S


class PrefixFollower:
    """Keeps a reader up to date with the records under a prefix.

    Parameters
    ----------
    store : RecordStore
        Where the records are.
    prefix : str
        Beginning of their keys.
    replace : callable
        Takes the list of all records, after each whole read.
    apply : callable
        Takes one `Record` or `Removal`.
    pace : callable
        Returns the `FollowPace` of the next call.
    on_failure : callable, optional
        Called after each call without an answer.

    Attributes
    ----------
    reached : bool
        Whether the last call got an answer.
    whole : bool
        Whether the records were read once.
    """

    def __init__(self, store, prefix, *, replace, apply, pace, on_failure=None):
        self.reached = False
        self.whole = False
        self._store = store
        self._prefix = prefix
        self._replace = replace
        self._apply = apply
        self._pace = pace
        self._on_failure = on_failure
        self._hastened = Event()
        self._waiting = None
        self._revision = None
        self._retry_s = FIRST_RETRY_S

    def start(self):
        """Follow in a greenlet of its own."""
        eventlet.spawn(self._run)

    def _run(self):
        while True:
            try:
                self._step()
            except HistoryLost:
                log.info("store_history_lost", prefix=self._prefix, revision=self._revision)
                self._revision = None
            except _Hastened:
                log.debug("store_asked_anew", prefix=self._prefix, revision=self._revision)
            except (StoreUnavailable, StoreUncertain) as exc:
                self._note_failure(exc)
                pause_s = min(self._retry_s, self._pace().retry_s)
                eventlet.sleep(pause_s * random.uniform(0.5, 1.0))
                self._retry_s = min(2 * self._retry_s, RETRY_S)
            except Exception:
                log.exception("follower_failed", prefix=self._prefix)
                eventlet.sleep(RETRY_S)
            else:
                self._note_success()
                self._wait_for_turn()

    def _wait_for_turn(self):
        self._hastened.wait(timeout=self._pace().pause_s)
        self._hastened = Event()

    def hasten(self):
        """Look for changes at once, as the reader needs them fresh.

        A call that waits is given up: its connection may have gone silent unnoticed.
        """
        if self._waiting is not None:
            eventlet.spawn_n(self._waiting.kill, _Hastened())
        elif not self._hastened.ready():
            self._hastened.send(None)

    def _note_failure(self, exc):
        if self.reached:
            log.warning("store_lost", prefix=self._prefix, error=str(exc)[:120])
        self.reached = False
        if self._on_failure is not None:
            self._on_failure()

    def _note_success(self):
        if not self.reached:
            log.info("store_reached", prefix=self._prefix, revision=self._revision)
        self.reached = True
        self._retry_s = FIRST_RETRY_S

    def _step(self):
        if self._revision is None:
            records, self._revision = self._store.read(self._prefix)
            self._replace(records)
            self.whole = True
            return
        changes, revision = self._call(self._pace().wait_s if self.reached else 0.0)
        if revision < self._revision:
            log.info("store_answer_stale", prefix=self._prefix, revision=revision)
            return
        for change in changes:
            self._apply(change)
        self._revision = revision

    def _call(self, wait_s):
        """Return changes and their revision; the call runs in a greenlet that can be ended."""
        done = Event()
        self._waiting = eventlet.spawn(self._follow, wait_s, done)
        try:
            return done.wait()
        finally:
            self._waiting = None

    def _follow(self, wait_s, done):
        try:
            answer = self._store.follow(self._prefix, self._revision, wait_s=wait_s)
        except Exception as exc:  # raised where the answer is waited for
            done.send_exception(exc)
        else:
            done.send(answer)
