import eventlet

eventlet.monkey_patch()

import socket  # noqa: E402

import msgspec  # noqa: E402
from testtools import ExpectedException, TestCase  # noqa: E402
from testtools.matchers import Equals, Is  # noqa: E402

from burdocklug.kernel import PeerSettings, Ran, TimerService  # noqa: E402
from burdocklug.peers import PeerNetwork, PeerNotReached, PeerSilent  # noqa: E402

KEY = "0123456789abcdef"


class Echo(msgspec.Struct, tag="echo", array_like=True):
    number: int


class Slow(msgspec.Struct, tag="slow", array_like=True):
    pass


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class NetworkCase(TestCase):
    def network(self, name, *, address=None, domain="freistadt", seeds=(), key=KEY, **options):
        settings = PeerSettings(shared_key=key, seeds=list(seeds), heartbeat_s=0.1)
        timers = TimerService()
        network = PeerNetwork(name, domain, address or free_address(), settings, timers, **options)
        network.handled = []
        network.register(Echo, lambda sender, message: self._echo(network, message))
        network.register(Slow, lambda sender, message: eventlet.sleep(5))
        network.start()
        stopped = []
        server = eventlet.spawn(timers.serve, lambda: bool(stopped))
        self.addCleanup(server.kill)
        self.addCleanup(network.stop)
        return network

    def _echo(self, network, message):
        network.handled.append(message.number)
        return message


class CallTest(NetworkCase):
    def test_call_returns_the_reply(self):
        one, two = self.network("p1"), self.network("p2")
        replies = [one.call(two.incarnation, Echo(n), timeout_s=5).number for n in range(20)]
        self.assertThat(replies, Equals(list(range(20))))
        self.assertThat(two.handled, Equals(list(range(20))))

    def test_concurrent_calls_get_their_own_replies_in_few_frames(self):
        one, two = self.network("p1"), self.network("p2")
        pool = eventlet.GreenPool(500)
        numbers = range(500)
        replies = pool.imap(lambda n: one.call(two.incarnation, Echo(n), timeout_s=5), numbers)
        self.assertThat([reply.number for reply in replies], Equals(list(numbers)))
        self.assertTrue(two.counts()["frames_received"] < 100)

    def test_refused_connection_is_not_reached(self):
        one, two = self.network("p1"), self.network("p2")
        two.stop()
        with ExpectedException(PeerNotReached):
            one.call(two.incarnation, Echo(1), timeout_s=5)

    def test_malformed_incarnation_is_not_reached(self):
        with ExpectedException(PeerNotReached):
            self.network("p1").call("nobody", Echo(1), timeout_s=5)

    def test_handed_call_without_reply_is_silent(self):
        one, two = self.network("p1"), self.network("p2")
        exc = self.assertRaises(PeerSilent, one.call, two.incarnation, Slow(), timeout_s=0.3)
        self.assertThat(exc.ran, Is(Ran.UNKNOWN))

    def test_old_incarnation_is_not_reached_after_replacement(self):
        one, two = self.network("p1"), self.network("p2")
        old = two.incarnation
        two.stop()
        new = self.network("p2", address=two.address)
        with ExpectedException(PeerNotReached):
            one.call(old, Echo(1), timeout_s=5)
        self.assertThat(new.handled, Equals([]))

    def test_wrong_key_is_counted_and_not_handled(self):
        one, two = self.network("p1", key="f" * 16), self.network("p2")
        exc = self.assertRaises(PeerSilent, one.call, two.incarnation, Echo(1), timeout_s=0.3)
        self.assertThat(exc.ran, Is(Ran.UNKNOWN))
        self.assertThat(two.handled, Equals([]))
        self.assertTrue(two.counts()["frames_not_authentic"] >= 1)
