import eventlet

eventlet.monkey_patch()

from testtools import ExpectedException  # noqa: E402
from testtools.matchers import Equals, Is  # noqa: E402

from burdocklug.kernel import Ran  # noqa: E402
from burdocklug.peers import MessageTooLarge, PeerOutcomeUnknown, PeerUnreachable  # noqa: E402
from burdocklug.peers._codec import MAX_MESSAGE_BYTES  # noqa: E402
from tests.peers.support import Blob, Echo, NetworkCase, Slow  # noqa: E402


class CallTest(NetworkCase):
    def test_call_returns_the_reply(self):
        one, two = self.network("p1"), self.network("p2")
        replies = [one.call(two.incarnation, Echo(n), timeout_s=5).number for n in range(20)]
        self.assertThat(replies, Equals(list(range(20))))
        self.assertThat(two.handled, Equals(list(range(20))))

    def test_messages_are_counted_by_type_where_they_are_sent(self):
        one, two = self.network("p1"), self.network("p2")
        for number in range(3):
            one.call(two.incarnation, Echo(number), timeout_s=5)
        self.assertThat(one.counts()["messages_echo"], Equals(3))
        self.assertThat(two.counts()["messages_echo"], Equals(3))

    def test_concurrent_calls_get_their_own_replies_in_few_frames(self):
        one, two = self.network("p1"), self.network("p2")
        pool = eventlet.GreenPool(500)
        numbers = range(500)
        replies = pool.imap(lambda n: one.call(two.incarnation, Echo(n), timeout_s=5), numbers)
        self.assertThat([reply.number for reply in replies], Equals(list(numbers)))
        self.assertTrue(two.counts()["frames_received"] < 100)

    def test_slow_call_does_not_hold_up_a_later_one(self):
        one, two = self.network("p1"), self.network("p2")
        slow = eventlet.spawn(one.call, two.incarnation, Slow(1, 0.5), timeout_s=5)
        self.assertThat(one.call(two.incarnation, Echo(2), timeout_s=5), Equals(Echo(2)))
        self.assertThat(slow.wait(), Equals(Slow(1, 0.5)))

    def test_call_to_the_own_incarnation_is_handled_here(self):
        one = self.network("p1")
        self.assertThat(one.call(one.incarnation, Echo(3), timeout_s=5), Equals(Echo(3)))

    def test_large_message_arrives_and_a_larger_one_is_not_sent(self):
        one, two = self.network("p1"), self.network("p2")
        blob = Blob(b"x" * 8_000_000)
        self.assertThat(one.call(two.incarnation, blob, timeout_s=20), Equals(blob))
        blob = Blob(b"x" * MAX_MESSAGE_BYTES)
        with ExpectedException(MessageTooLarge):
            one.call(two.incarnation, blob, timeout_s=5)

    def test_refused_connection_raises_peer_unreachable(self):
        one, two = self.network("p1"), self.network("p2")
        two.stop()
        exc = self.assertRaises(PeerUnreachable, one.call, two.incarnation, Echo(1), timeout_s=5)
        self.assertThat(exc.ran, Is(Ran.NO))

    def test_malformed_incarnation_raises_peer_unreachable(self):
        with ExpectedException(PeerUnreachable):
            self.network("p1").call("nobody", Echo(1), timeout_s=5)

    def test_handed_call_without_reply_is_silent(self):
        one, two = self.network("p1"), self.network("p2")
        exc = self.assertRaises(
            PeerOutcomeUnknown, one.call, two.incarnation, Slow(1, 5), timeout_s=0.3
        )
        self.assertThat(exc.ran, Is(Ran.UNKNOWN))

    def test_long_call_is_asked_after_and_runs_once(self):
        one, two = self.network("p1"), self.network("p2")
        slow = Slow(1, 2.0)
        self.assertThat(one.call(two.incarnation, slow, timeout_s=10), Equals(slow))
        self.assertTrue(one.counts()["calls_asked_after"] >= 2)
        self.assertThat(two.handled, Equals([1]))

    def test_failed_handler_is_silent(self):
        one, two = self.network("p1"), self.network("p2")
        two.register(Blob, lambda *_: 1 / 0)
        with ExpectedException(PeerOutcomeUnknown, ".*handler_failed ZeroDivisionError"):
            one.call(two.incarnation, Blob(b""), timeout_s=5)

    def test_one_way_message_is_handled(self):
        one, two = self.network("p1"), self.network("p2")
        one.send(two.incarnation, Echo(5))
        self.wait_for(lambda: two.handled == [5])
