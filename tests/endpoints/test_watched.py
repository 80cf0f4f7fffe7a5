"""Watched connections over real sockets on loopback."""

import eventlet
import eventlet.hubs
import testtools
import urllib3.connection
from eventlet.green import socket
from eventlet.patcher import original
from testtools.matchers import Equals, HasLength

from burdocklug.endpoints._watched import AnswerTimeout, WatchedConnection

PAUSE_S = 0.02
LARGE_BYTES = 20_000_000  # more than the sockets' buffers hold


class WatchedConnectionTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        conn = urllib3.connection.HTTPConnection(*listener.getsockname(), timeout=1.0)
        conn.connect()
        conn.sock.settimeout(None)
        self.peer, _ = listener.accept()
        self.addCleanup(self.peer.close)
        self.readers = eventlet.hubs.get_hub().listeners["read"]
        self.descriptor = conn.sock.fileno()
        self.conn = WatchedConnection(conn)
        self.addCleanup(self.conn.close)


class WatchedConnectionTest(WatchedConnectionTestCase):
    """Registration with the event loop, and whether an idle connection is reusable."""

    def test_requests_share_one_registration(self):
        registered = self.readers[self.descriptor]
        for number in range(3):
            self.conn.send(b"ping")
            self.assertThat(self.peer.recv(100), Equals(b"ping"))
            eventlet.spawn_after(PAUSE_S, self.peer.sendall, b"pong%d" % number)
            self.assertThat(self.conn.recv(100), Equals(b"pong%d" % number))
            self.assertThat(self.conn.is_reusable(), Equals(True))
            self.assertThat(self.readers[self.descriptor], Equals(registered))

    def test_unsolicited_bytes_make_connection_not_reusable(self):
        for pause_s in (0.0, PAUSE_S):  # before and after the loop reports them
            self.peer.sendall(b"stray")
            eventlet.sleep(pause_s)
            self.assertThat(self.conn.is_reusable(), Equals(False))

    def test_end_of_stream_while_idle(self):
        self.peer.close()
        eventlet.sleep(PAUSE_S)
        self.assertThat(self.conn.is_reusable(), Equals(False))
        self.assertThat(self.readers.get(self.descriptor), Equals(None))

    def test_end_of_stream_while_waiting(self):
        eventlet.spawn_after(PAUSE_S, self.peer.close)
        self.assertThat(self.conn.recv(100), HasLength(0))

    def test_an_answer_before_the_request_is_out(self):
        self.peer.sendall(b"early")
        received = []

        def receive():
            eventlet.sleep(PAUSE_S)
            while len(received) < LARGE_BYTES:
                received.extend(self.peer.recv(1 << 20))

        receiver = eventlet.spawn(receive)
        self.conn.send(bytes(LARGE_BYTES))
        with eventlet.Timeout(5.0):
            self.assertThat(self.conn.recv(100), Equals(b"early"))
            receiver.wait()

    def test_an_interrupted_wait_leaves_no_waiter(self):
        with eventlet.Timeout(PAUSE_S, False):
            self.conn.recv(100)
        self.peer.sendall(b"late")
        eventlet.sleep(PAUSE_S)
        self.assertThat(self.conn.is_reusable(), Equals(False))

    def test_closing_ends_the_registration(self):
        self.conn.close()
        self.assertThat(self.readers.get(self.descriptor), Equals(None))
        self.conn.close()


class OverdueAnswerTest(WatchedConnectionTestCase):
    """An answer that has arrived counts, even if a late loop reads it after the timeout."""

    def recv_with_blocked_loop(self, *, answer):
        """Receive with a timeout that ends while the loop is blocked by other work."""

        def block():
            reader.recv(1)
            if answer:
                self.peer.sendall(answer)
            original("time").sleep(3 * PAUSE_S)

        reader, writer = socket.socketpair()
        eventlet.spawn(block)
        eventlet.sleep(0)
        writer.send(b"x")  # the loop calls `block` when it polls, so timers are due next
        with eventlet.Timeout(PAUSE_S, AnswerTimeout("no answer")):
            return self.conn.recv(100)

    def test_an_answer_that_has_arrived_is_read_although_the_timeout_has_passed(self):
        self.assertThat(self.recv_with_blocked_loop(answer=b"pong"), Equals(b"pong"))

    def test_a_missing_answer_times_out(self):
        self.assertRaises(AnswerTimeout, self.recv_with_blocked_loop, answer=b"")

    def test_the_rest_of_a_late_answer_is_not_waited_for(self):
        self.recv_with_blocked_loop(answer=b"first part")
        with eventlet.Timeout(1.0):
            self.assertRaises(AnswerTimeout, self.conn.recv, 100)

    def test_the_next_request_waits_again(self):
        self.recv_with_blocked_loop(answer=b"pong")
        self.conn.send(b"ping")
        eventlet.spawn_after(PAUSE_S, self.peer.sendall, b"pong 2")
        self.assertThat(self.conn.recv(100), Equals(b"pong 2"))
