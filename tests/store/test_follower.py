import contextlib
import io

import eventlet
import greenlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.store import (
    DeletedRecord,
    PollIntervals,
    PrefixFollower,
    Record,
    RevisionCompacted,
    StoreUnavailable,
)

NO_PAUSE = PollIntervals(0.0)


class ScriptedStore:
    """Record store with a list of responses; an exception in it is raised, or ends the loop."""

    def __init__(self, reads, follows):
        self.reads = list(reads)
        self.follows = list(follows)
        self.follow_revisions = []
        self.is_answer_arriving = False

    def read(self, prefix):
        return self._next(self.reads)

    def follow(self, prefix, after, *, wait_s):
        self.follow_revisions.append(after)
        return self._next(self.follows)

    def is_receiving(self, prefix):
        return self.is_answer_arriving

    @staticmethod
    def _next(responses):
        response = responses.pop(0)
        if isinstance(response, BaseException):
            raise response
        return response


def run_greenlets():
    """Run the follower's greenlets until they wait."""
    for _ in range(10):
        eventlet.sleep(0)


def record(key, revision):
    return Record(key, b"v", revision)


def make_follower(store, *, pace=NO_PAUSE, replace=lambda _records: None, **options):
    """Return a follower that is not started, and the list of changes that it will apply."""
    applied = []
    follower = PrefixFollower(
        store, "a/", replace=replace, apply=applied.append, pace=lambda: pace, **options
    )
    return follower, applied


class FollowerTest(TestCase):
    def follow(self, reads, follows, *, steps):
        """Run some steps; return the store, the lists of records read and the changes applied."""
        store = ScriptedStore(reads, follows)
        replaced = []
        follower, applied = make_follower(store, replace=replaced.append)
        for _ in range(steps):
            try:
                follower._step()
            except RevisionCompacted:
                follower._revision = None
            except StoreUnavailable as exc:
                follower._record_failure(exc, 0.0)
            else:
                follower._record_success()
        self.follower = follower
        return store, replaced, applied

    def test_changes_follow_the_first_read(self):
        store, replaced, applied = self.follow(
            [([record("a/1", 5)], 5)],
            [([record("a/2", 6)], 6), ([DeletedRecord("a/1", 7)], 8)],
            steps=3,
        )
        self.assertThat(replaced, Equals([[record("a/1", 5)]]))
        self.assertThat(applied, Equals([record("a/2", 6), DeletedRecord("a/1", 7)]))
        self.assertThat(store.follow_revisions, Equals([5, 6]))

    def test_lost_history_is_read_anew(self):
        _store, replaced, _applied = self.follow(
            [([], 5), ([record("a/3", 40)], 40)], [RevisionCompacted("a/")], steps=3
        )
        self.assertThat(replaced, Equals([[], [record("a/3", 40)]]))

    def test_after_several_changes_of_one_record_only_the_newest_state_is_read(self):
        store = ScriptedStore(
            [([], 5), ([record("a/1", 9)], 9)], [([record("a/1", 6), record("a/1", 7)], 7)]
        )
        replaced = []
        follower, applied = make_follower(store, replace=replaced.append, skips_superseded=True)
        for _ in range(3):
            follower._step()
        self.assertThat(applied, Equals([record("a/1", 6), record("a/1", 7)]))
        self.assertThat(replaced, Equals([[], [record("a/1", 9)]]))

    def test_a_stale_answer_changes_nothing(self):
        store, _replaced, applied = self.follow(
            [([], 10)], [([record("a/1", 9)], 9), ([record("a/1", 11)], 11)], steps=3
        )
        self.assertThat(applied, Equals([record("a/1", 11)]))
        self.assertThat(store.follow_revisions, Equals([10, 10]))

    def test_a_stale_list_after_lost_history_replaces_nothing(self):
        _store, replaced, _applied = self.follow(
            [([], 5), ([record("a/1", 3)], 4), ([record("a/3", 40)], 40)],
            [RevisionCompacted("a/")],
            steps=4,
        )
        self.assertThat(replaced, Equals([[], [record("a/3", 40)]]))

    def test_a_stale_answer_counts_as_a_failed_call(self):
        store = ScriptedStore([([], 10)], [([], 9), ([], 11), greenlet.GreenletExit()])
        events = []
        follower, _applied = make_follower(
            store,
            on_answer=lambda _sent_s: events.append("answer"),
            on_failure=lambda _sent_s: events.append("failure"),
        )
        follower.start()
        run_greenlets()
        self.assertThat(events, Equals(["answer", "failure", "answer"]))

    def test_the_revision_is_kept_after_a_failure(self):
        store, _replaced, _applied = self.follow(
            [([], 3)], [StoreUnavailable("down"), ([], 4)], steps=2
        )
        self.assertFalse(self.follower.reached)
        self.follower._step()
        self.assertThat(store.follow_revisions, Equals([3, 3]))

    def test_started_follower_keeps_applying_changes(self):
        store = ScriptedStore([([], 1)], [([record("a/1", 2)], 2), greenlet.GreenletExit()])
        follower, applied = make_follower(store)
        follower.start()
        run_greenlets()
        self.assertThat(applied, Equals([record("a/1", 2)]))

    def test_poll_now_skips_the_pause(self):
        """A process that becomes the scheduler needs the current list of endpoints."""
        store = ScriptedStore(
            [([], 1)], [([record("a/1", 2)], 2), ([record("a/2", 3)], 3), greenlet.GreenletExit()]
        )
        follower, applied = make_follower(store, pace=PollIntervals(60.0))
        follower.start()
        for poll_count in range(3):
            run_greenlets()
            self.assertThat(len(applied), Equals(poll_count))
            follower.poll_now()


class SilentStore(ScriptedStore):
    """Store whose first calls hang; a later call returns one record, and the next ones hang."""

    def __init__(self, *, silent):
        super().__init__([], [])
        self.silent = silent
        self.waits_s = []

    def read(self, prefix):
        return [], 1

    def follow(self, prefix, after, *, wait_s):
        self.waits_s.append(wait_s)
        if len(self.waits_s) <= self.silent or after == 2:
            eventlet.sleep(60.0)
        return [record("a/1", 2)], 2


class SilentCallTest(TestCase):
    """A waiting call was sent while the store was silent and will never get a response."""

    def follow(self, store, pace, **options):
        follower, self.applied = make_follower(store, pace=pace, **options)
        follower.start()
        run_greenlets()
        return follower

    def test_poll_now_replaces_the_silent_call(self):
        follower = self.follow(SilentStore(silent=1), PollIntervals(0.0))
        self.assertThat(self.applied, Equals([]))
        follower.poll_now()
        run_greenlets()
        self.assertThat(self.applied, Equals([record("a/1", 2)]))

    def test_poll_now_leaves_an_answer_that_is_arriving_and_asks_after_it_without_a_pause(self):
        """Guards against a large answer that is received in part, time and again."""
        store = SilentStore(silent=1)
        store.is_answer_arriving = True
        follower = self.follow(store, PollIntervals(0.0, retry_s=60.0))
        follower._backoff_s = 60.0
        arriving = follower._in_flight
        follower.poll_now()
        run_greenlets()
        self.assertIs(follower._in_flight, arriving)
        arriving.kill(StoreUnavailable("stopped arriving"))
        run_greenlets()
        self.assertThat(self.applied, Equals([record("a/1", 2)]))

    def test_each_call_waits_for_the_time_of_the_pace(self):
        store = SilentStore(silent=1)
        self.follow(store, PollIntervals(0.0, wait_s=0.3))
        self.assertThat(store.waits_s, Equals([0.3]))

    def test_poll_now_skips_the_backoff(self):
        store = ScriptedStore([([], 1)], [([], 2), StoreUnavailable("down"), ([], 3)])
        store.follows.append(greenlet.GreenletExit())
        follower, _applied = make_follower(store, pace=PollIntervals(0.0, retry_s=60.0))
        follower._backoff_s = 60.0
        follower.start()
        run_greenlets()
        follower._backoff_s = 60.0
        follower.poll_now()
        run_greenlets()
        self.assertThat(store.follow_revisions, Equals([1, 2, 2, 3]))

    def test_an_answer_is_reported_with_the_time_at_which_it_was_asked_for(self):
        sent, clock = [], [5.0]
        store = ScriptedStore([([], 1)], [StoreUnavailable("down"), greenlet.GreenletExit()])
        follower, _applied = make_follower(store, on_answer=sent.append, now=lambda: clock[0])
        follower.start()
        run_greenlets()
        self.assertThat(sent, Equals([5.0]))

    def test_a_failure_calls_on_failure(self):
        store = ScriptedStore([([], 3)], [StoreUnavailable("silent"), greenlet.GreenletExit()])
        failures = []
        self.follow(store, PollIntervals(0.0), on_failure=lambda _sent_s: failures.append(True))
        self.assertThat(failures, Equals([True]))

    def test_a_failure_reaches_the_follower_and_not_the_loop(self):
        """The event loop printed each failure with a traceback and dropped its file descriptor."""
        store = ScriptedStore([([], 3)], [StoreUnavailable("reset"), greenlet.GreenletExit()])
        with contextlib.redirect_stderr(io.StringIO()) as printed:
            self.follow(store, PollIntervals(0.0, retry_s=0.0))
        self.assertThat(printed.getvalue(), Equals(""))

    def test_the_pause_after_many_failures_is_bounded_by_the_pace(self):
        follower = self.follow(
            ScriptedStore([StoreUnavailable("down") for _ in range(100)], []),
            PollIntervals(0.0, retry_s=0.0),
        )
        self.assertTrue(follower._backoff_s >= 1.0)
