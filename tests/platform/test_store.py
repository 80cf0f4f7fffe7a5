"""Contract of `RecordStore`: `PlatformStore` against the stand-in's store."""

import time

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.platform._store import PlatformStore
from burdocklug.store import (
    DeletedRecord,
    LeaseEnded,
    Record,
    RevisionCompacted,
    StoreUnavailable,
    StoreUncertain,
)
from standins.launch import launch
from standins.platform_fleet import call_json
from standins.ports import free_address


class PlatformStoreTest(TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.address = free_address()
        arguments = ("--listen", cls.address, "--workers", free_address())
        cls.child = launch("standins.platform", *arguments, health=cls.address)
        cls.addClassCleanup(cls.child.kill)

    def setUp(self):
        super().setUp()
        self.store = PlatformStore(self.address, timeout_s=0.5, now=time.monotonic)
        self.prefix = f"test/{self.id().rpartition('.')[2]}/"
        self.addCleanup(self.faults, store_down=False, store_silent=False, lost_writes=0.0)

    def faults(self, **changes):
        call_json(self.address, "POST", "/faults", changes)

    def test_what_was_put_is_read_and_followed(self):
        self.store.put(self.prefix + "a", b"1")
        records, revision = self.store.read(self.prefix)
        self.assertThat([(r.key, r.value) for r in records], Equals([(self.prefix + "a", b"1")]))
        self.store.put(self.prefix + "b", b"2")
        changes, _revision = self.store.follow(self.prefix, revision, wait_s=1.0)
        self.assertThat([type(c) for c in changes], Equals([Record]))

    def test_following_waits_and_returns_nothing_after_the_time(self):
        _records, revision = self.store.read(self.prefix)
        changes, later = self.store.follow(self.prefix, revision, wait_s=0.1)
        self.assertThat(changes, Equals([]))
        self.assertTrue(later >= revision)

    def test_a_lease_that_ends_removes_its_records(self):
        lease, ttl_s = self.store.grant_lease(5.0)
        self.assertThat(ttl_s, Equals(5.0))
        self.store.put(self.prefix + "a", b"1", lease=lease)
        self.store.keep_lease(lease)
        _records, revision = self.store.read(self.prefix)
        self.store.end_lease(lease)
        changes, _revision = self.store.follow(self.prefix, revision, wait_s=1.0)
        self.assertThat([type(c) for c in changes], Equals([DeletedRecord]))
        for call in (self.store.keep_lease, self.store.end_lease):
            self.assertRaises(LeaseEnded, call, lease)
        self.assertRaises(LeaseEnded, self.store.put, self.prefix + "b", b"", lease=lease)

    def test_following_from_a_discarded_revision_raises_history_lost(self):
        self.store.put(self.prefix + "a", b"1")
        call_json(self.address, "POST", "/compact", {})
        self.assertRaises(RevisionCompacted, self.store.follow, self.prefix, 1, wait_s=0.1)

    def test_a_store_that_refuses_has_done_nothing(self):
        self.faults(store_down=True)
        self.assertRaises(StoreUnavailable, self.store.read, self.prefix)
        self.assertRaises(StoreUnavailable, self.store.put, self.prefix + "a", b"1")

    def test_a_write_without_an_answer_is_uncertain_and_a_read_is_not(self):
        self.faults(lost_writes=1.0)
        self.assertRaises(StoreUncertain, self.store.put, self.prefix + "a", b"1")
        self.faults(lost_writes=0.0, store_silent=True)
        self.assertRaises(StoreUnavailable, self.store.read, self.prefix)

    def test_a_store_that_is_not_there_has_done_nothing(self):
        store = PlatformStore(free_address(), timeout_s=0.5, now=time.monotonic)
        self.assertRaises(StoreUnavailable, store.put, "a", b"1")


class SlowAnswerTest(TestCase):
    """A store whose answers arrive in pieces, as large ones do over a slow link.

    Guards against an answer that is given up while it arrives, and never read whole then.
    """

    TIMEOUT_S = 0.5
    PAUSE_S = 0.15
    PIECES = 8

    def read(self, *, pieces):
        """Read from a store that sends some of the pieces of its answer; return the value."""
        body = b'{"items":[{"key":"a/1","revision":3,"value":"%s"}],"current_rev":3}' % (
            b"QUFB" * 80
        )
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        eventlet.spawn(self.serve, listener, body, pieces)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        store = PlatformStore(address, timeout_s=self.TIMEOUT_S, now=time.monotonic)
        return store.read("a/")[0][0].value

    def serve(self, listener, body, pieces):
        conn, _ = listener.accept()
        conn.recv(4096)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        answer = head + body
        step = len(answer) // self.PIECES + 1
        for start in range(0, step * pieces, step):
            conn.sendall(answer[start : start + step])
            eventlet.sleep(self.PAUSE_S)
        eventlet.sleep(4 * self.TIMEOUT_S)

    def test_an_answer_that_takes_longer_than_the_timeout_is_read_while_it_arrives(self):
        self.assertThat(self.read(pieces=self.PIECES), Equals(b"AAA" * 80))

    def test_an_answer_that_stops_arriving_is_given_up_and_says_how_much_arrived(self):
        exc = self.assertRaises(StoreUnavailable, self.read, pieces=3)
        self.assertIn("bytes received", str(exc))
