"""What the kernel keeps of a client's bytes that nobody has read."""

import socket

import eventlet
from testtools.matchers import Equals, LessThan

from tests.web.crowds import head
from tests.web.test_full_listener import WaitingApp
from tests.web.test_odd_requests import MAX_BODY_BYTES, ListenerTestCase

SENT_BYTES = 4_000_000
KEPT_BYTES = 300_000  # both sockets' buffers and the file object's


class SocketBufferTest(ListenerTestCase):
    def make_app(self):
        return WaitingApp()

    def test_requests_sent_ahead_fill_a_bounded_buffer(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        for _ in range(100):  # the kernel lets the buffer of a connection grow that is read from
            self.sock.sendall(
                head("/", f"Content-Length: {MAX_BODY_BYTES}") + bytes(MAX_BODY_BYTES)
            )
            self.read_response()
        self.sock.settimeout(0.5)
        self.sock.sendall(head("/wait", "Content-Length: 0"))
        eventlet.sleep(0.05)
        sent = 0
        with self.assertRaises(TimeoutError):
            while sent < SENT_BYTES:
                sent += self.sock.send(bytes(10_000))
        self.assertThat(sent, LessThan(KEPT_BYTES))

    def test_a_response_follows_all_the_same(self):
        self.app.go.send(None)
        self.sock.sendall(head("/wait", "Content-Length: 0"))
        self.assertThat(self.read_response(), Equals((200, b"waited")))
