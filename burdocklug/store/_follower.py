"""Follows the records under a prefix: reads them, then takes in each change."""

import random

import eventlet
import structlog
from eventlet.event import Event

from burdocklug.store._records import HistoryLost
from burdocklug.store._store import StoreUnavailable, StoreUncertain

__all__ = ["PrefixFollower"]

WAIT_S = 20.0  # of one call that waits; longer ones are cut by what lies between the two ends
RETRY_S = (0.2, 2.0)  # first and longest pause after a failure, so that a fleet does not stampede

log = structlog.get_logger(__name__)


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
        Returns the shortest time from one call to the next, in seconds; it bounds the calls where
        many records change.

    Attributes
    ----------
    reached : bool
        Whether the last call got an answer.
    whole : bool
        Whether the records were read once.
    """

    def __init__(self, store, prefix, *, replace, apply, pace):
        self.reached = False
        self.whole = False
        self._store = store
        self._prefix = prefix
        self._replace = replace
        self._apply = apply
        self._pace = pace
        self._hastened = Event()
        self._revision = None
        self._retry_s = RETRY_S[0]

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
            except (StoreUnavailable, StoreUncertain) as exc:
                self._note_failure(exc)
                eventlet.sleep(self._retry_s * random.uniform(0.5, 1.0))
                self._retry_s = min(2 * self._retry_s, RETRY_S[1])
            except Exception:
                log.exception("follower_failed", prefix=self._prefix)
                eventlet.sleep(RETRY_S[1])
            else:
                self._note_success()
                self._wait_for_turn()

    def _wait_for_turn(self):
        self._hastened.wait(timeout=self._pace())
        self._hastened = Event()

    def hasten(self):
        """Look for changes at once, as the reader needs them fresh."""
        if not self._hastened.ready():
            self._hastened.send(None)

    def _note_failure(self, exc):
        if self.reached:
            log.warning("store_lost", prefix=self._prefix, error=str(exc)[:120])
        self.reached = False

    def _note_success(self):
        if not self.reached:
            log.info("store_reached", prefix=self._prefix, revision=self._revision)
        self.reached = True
        self._retry_s = RETRY_S[0]

    def _step(self):
        if self._revision is None:
            records, self._revision = self._store.read(self._prefix)
            self._replace(records)
            self.whole = True
            return
        wait_s = WAIT_S if self.reached else 0.0
        changes, revision = self._store.follow(self._prefix, self._revision, wait_s=wait_s)
        if revision < self._revision:
            log.info("store_answer_stale", prefix=self._prefix, revision=revision)
            return
        for change in changes:
            self._apply(change)
        self._revision = revision
