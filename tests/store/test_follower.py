import eventlet
import greenlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.store import HistoryLost, PrefixFollower, Record, Removal, StoreUnavailable


class ScriptedStore:
    """A record store whose answers are a list; exceptions in it are raised, also to end a loop."""

    def __init__(self, reads, follows):
        self.reads = list(reads)
        self.follows = list(follows)
        self.asked_after = []

    def read(self, prefix):
        return self._next(self.reads)

    def follow(self, prefix, after, *, wait_s):
        self.asked_after.append(after)
        return self._next(self.follows)

    @staticmethod
    def _next(answers):
        answer = answers.pop(0)
        if isinstance(answer, BaseException):
            raise answer
        return answer


def record(key, revision):
    return Record(key, b"v", revision)


class FollowerTest(TestCase):
    def follow(self, reads, follows, *, steps):
        """Take steps of a follower and return the store, the replaced and the applied."""
        store = ScriptedStore(reads, follows)
        replaced, applied = [], []
        follower = PrefixFollower(
            store, "a/", replace=replaced.append, apply=applied.append, pace=lambda: 0.0
        )
        for _ in range(steps):
            try:
                follower._step()
            except HistoryLost:
                follower._revision = None
            except StoreUnavailable as exc:
                follower._note_failure(exc)
            else:
                follower._note_success()
        self.follower = follower
        return store, replaced, applied

    def test_changes_follow_the_first_read(self):
        store, replaced, applied = self.follow(
            [([record("a/1", 5)], 5)],
            [([record("a/2", 6)], 6), ([Removal("a/1", 7)], 8)],
            steps=3,
        )
        self.assertThat(replaced, Equals([[record("a/1", 5)]]))
        self.assertThat(applied, Equals([record("a/2", 6), Removal("a/1", 7)]))
        self.assertThat(store.asked_after, Equals([5, 6]))

    def test_lost_history_is_read_anew(self):
        _store, replaced, _applied = self.follow(
            [([], 5), ([record("a/3", 40)], 40)], [HistoryLost("a/")], steps=3
        )
        self.assertThat(replaced, Equals([[], [record("a/3", 40)]]))

    def test_a_stale_answer_changes_nothing(self):
        store, _replaced, applied = self.follow(
            [([], 10)], [([record("a/1", 9)], 9), ([record("a/1", 11)], 11)], steps=3
        )
        self.assertThat(applied, Equals([record("a/1", 11)]))
        self.assertThat(store.asked_after, Equals([10, 10]))

    def test_a_failure_is_told_and_the_place_kept(self):
        store, _replaced, _applied = self.follow(
            [([], 3)], [StoreUnavailable("down"), ([], 4)], steps=2
        )
        self.assertFalse(self.follower.reached)
        self.follower._step()
        self.assertThat(store.asked_after, Equals([3, 3]))

    def test_it_goes_on_by_itself(self):
        store = ScriptedStore([([], 1)], [([record("a/1", 2)], 2), greenlet.GreenletExit()])
        applied = []
        follower = PrefixFollower(
            store, "a/", replace=lambda _records: None, apply=applied.append, pace=lambda: 0.0
        )
        follower.start()
        for _ in range(10):
            eventlet.sleep(0)
        self.assertThat(applied, Equals([record("a/1", 2)]))

    def test_one_that_is_hastened_does_not_wait_for_its_turn(self):
        """A process that becomes the scheduler needs the list of endpoints as it is now."""
        store = ScriptedStore(
            [([], 1)], [([record("a/1", 2)], 2), ([record("a/2", 3)], 3), greenlet.GreenletExit()]
        )
        applied = []
        follower = PrefixFollower(
            store, "a/", replace=lambda _records: None, apply=applied.append, pace=lambda: 60.0
        )
        follower.start()
        for hastened in range(3):
            eventlet.sleep(0)
            self.assertThat(len(applied), Equals(hastened))
            follower.hasten()
            eventlet.sleep(0)
