"""Follows the records under a prefix: reads them all, then applies each change."""

import random
import time
from dataclasses import dataclass

import eventlet
import structlog
from eventlet.event import Event

from burdocklug.store._records import RevisionCompacted
from burdocklug.store._store import StoreUnavailable, StoreUncertain

__all__ = ["PollIntervals", "PrefixFollower"]

MAX_WAIT_S = 20.0  # longest wait of a call for a change; middleboxes cut longer calls
INITIAL_BACKOFF_S = 0.2  # backoff after the first failure; doubles with each further one
MAX_BACKOFF_S = 2.0  # longest backoff, so that a fleet does not overload a recovering store

log = structlog.get_logger(__name__)


class _CallCancelled(Exception):
    """Cancels a call that waits for changes, so that a new one is sent."""


@dataclass(frozen=True)
class PollIntervals:
    """Time limits that set how often a follower calls the store.

    Parameters
    ----------
    pause_s : float
        Shortest time from a response to the next call; bounds the call rate when there are many
        changes.
    wait_s : float
        Longest time for which a call waits for a change; sets the call rate when there are few
        changes.
    retry_s : float
        Longest backoff from a failure to the next call.

    Notes
    -----
    A silent connection is detected only when a call on it times out. For changes to arrive
    within a bound, the sum of the three times and the store's timeout must stay below it.
    """

    pause_s: float
    wait_s: float = MAX_WAIT_S
    retry_s: float = MAX_BACKOFF_S

    def longest_delay_s(self, timeout_s):
        """Return the longest time from a change until it is read if one call gets no answer.

        Parameters
        ----------
        timeout_s : float
            Time that a call waits for its answer, in addition to `wait_s`.

        Examples
        --------
        >>> PollIntervals(pause_s=0.5, wait_s=0.0, retry_s=0.25).longest_delay_s(1.0)
        1.75
        """
        return self.pause_s + self.wait_s + timeout_s + self.retry_s


class PrefixFollower:
    """Keeps a reader up to date with the records under a prefix.

    Parameters
    ----------
    store : RecordStore
        The store to read and follow.
    prefix : str
        Common prefix of the records' keys.
    replace : callable
        Called with the list of all records after each full read.
    apply : callable
        Called with each change, a `Record` or a `DeletedRecord`.
    pace : callable
        Returns the `PollIntervals` of the next call.
    on_answer : callable, optional
        Called after each answered call with the time at which it was sent.
    on_failure : callable, optional
        Called with the time at which it was sent after each failed call, and after one whose answer
        was older than an earlier one.
    skips_superseded : bool, optional
        Whether to read all records anew after an answer with several changes of one record, as
        when a slow link does not keep up with changes of a large one.
    known_revision : callable, optional
        Returns a revision up to which the reader knows all changes from elsewhere; those are not
        read again.
    now : callable, optional
        Returns monotonic seconds.

    Attributes
    ----------
    reached : bool
        Whether the last call to the store succeeded.
    is_loaded : bool
        Whether all records have been read at least once.
    """

    def __init__(
        self,
        store,
        prefix,
        *,
        replace,
        apply,
        pace,
        on_answer=None,
        on_failure=None,
        skips_superseded=False,
        known_revision=int,
        now=time.monotonic,
    ):
        self.reached = False
        self.is_loaded = False
        self._store = store
        self._prefix = prefix
        self._replace = replace
        self._apply = apply
        self._pace = pace
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._skips_superseded = skips_superseded
        self._known_revision = known_revision
        self._now = now
        self._is_suspect = False  # a connection may be silent, so calls must not wait on one
        self._wakeup = Event()
        self._in_flight = None
        self._is_poll_due = False  # a poll was asked for while an answer arrived
        self._revision = None
        self._newest_revision = 0
        self._backoff_s = INITIAL_BACKOFF_S

    @property
    def revision(self):
        """Revision up to which changes were applied; None while all records must be read."""
        return self._revision

    @property
    def newest_revision(self):
        """Revision of the newest answer that was applied; 0 before the first one."""
        return self._newest_revision

    def start(self):
        """Start following in a new greenlet."""
        eventlet.spawn(self._run)

    def _run(self):
        while True:
            sent_s = self._now()
            try:
                is_current = self._step()
            except RevisionCompacted:
                log.info("store_history_lost", prefix=self._prefix, revision=self._revision)
                self._revision = None
            except _CallCancelled:
                log.debug("store_asked_anew", prefix=self._prefix, revision=self._revision)
            except (StoreUnavailable, StoreUncertain) as exc:
                self._record_failure(exc, sent_s)
                backoff_s = min(self._backoff_s, self._pace().retry_s)
                self._wait_for_wakeup(backoff_s * random.uniform(0.5, 1.0))
                self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
            except Exception:
                log.exception("follower_failed", prefix=self._prefix)
                eventlet.sleep(MAX_BACKOFF_S)
            else:
                self._record_success()
                self._report(sent_s, is_current)
                self._wait_for_wakeup(self._pace().pause_s)

    def _report(self, sent_s, is_current):
        if is_current and self._on_answer is not None:
            self._on_answer(sent_s)
        elif not is_current and self._on_failure is not None:
            self._on_failure(sent_s)

    def _wait_for_wakeup(self, timeout_s):
        if not self._is_poll_due:
            self._wakeup.wait(timeout=timeout_s)
        self._is_poll_due = False
        self._wakeup = Event()

    def poll_now(self):
        """Ask for changes at once, without the pause or the backoff.

        A call in flight is cancelled and sent again, as its connection may be silent. If its answer
        is arriving, the poll follows it, so that a large answer is not received in vain.
        """
        self._is_suspect = True
        if self._in_flight is not None and self._store.is_receiving(self._prefix):
            self._is_poll_due = True
        elif self._in_flight is not None:
            eventlet.spawn_n(self._in_flight.kill, _CallCancelled())
        elif not self._wakeup.ready():
            self._wakeup.send(None)

    def _record_failure(self, exc, sent_s):
        if self.reached:
            log.warning("store_unreachable", prefix=self._prefix, error=str(exc)[:120])
        self.reached = False
        if self._on_failure is not None:
            self._on_failure(sent_s)

    def _record_success(self):
        if not self.reached:
            log.info("store_reached", prefix=self._prefix, revision=self._revision)
        self.reached = True
        self._is_suspect = False
        self._backoff_s = INITIAL_BACKOFF_S

    def _step(self):
        """Read once, and return whether the answer was at least as new as the last one."""
        if self._revision is None:
            records, revision = self._store.read(self._prefix)
            if revision < self._newest_revision:
                log.info("store_answer_stale", prefix=self._prefix, revision=revision)
                return False
            self._revision = self._newest_revision = revision
            self._replace(records)
            self.is_loaded = True
            return True
        self._revision = max(self._revision, self._known_revision())
        may_wait = self.reached and not self._is_suspect
        changes, revision = self._fetch_changes(self._pace().wait_s if may_wait else 0.0)
        if revision < self._revision:
            log.info("store_answer_stale", prefix=self._prefix, revision=revision)
            return False
        for change in changes:
            self._apply_change(change)
        self._revision = self._newest_revision = revision
        if self._skips_superseded and len({change.key for change in changes}) < len(changes):
            self._revision = None
        return True

    def _apply_change(self, change):
        """Apply a change; one that the reader can't handle must not hold up those after it."""
        try:
            self._apply(change)
        except Exception:
            log.exception("change_not_applied", key=change.key, revision=change.revision)

    def _fetch_changes(self, wait_s):
        """Return changes and their revision; the call runs in a greenlet that can be cancelled."""
        done = Event()
        self._in_flight = eventlet.spawn(self._send_call, wait_s, done)
        try:
            return done.wait()
        finally:
            self._in_flight = None

    def _send_call(self, wait_s, done):
        try:
            response = self._store.follow(self._prefix, self._revision, wait_s=wait_s)
        except Exception as exc:  # raised again in `_fetch_changes`
            done.send_exception(exc)
        else:
            done.send(response)
