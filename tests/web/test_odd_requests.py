"""Requests inside the limits are served, whatever their form."""

import socket

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.web import Application, HttpListener, Request, Response
from standins.ports import free_address
from tests.scenarios import with_scenarios
from tests.web.crowds import head, in_chunks

MAX_BODY_BYTES = 262_144
CHUNKED = "Transfer-Encoding: chunked"
BODY = bytes(range(256)) * (MAX_BODY_BYTES // 256)
LAST = b"0\r\n\r\n"


class SizeApp(Application):
    """Answers with the size of the body; `sums` has the sum of each body's bytes."""

    def __init__(self):
        super().__init__()
        self.sums = []

    def respond(self, environ):
        body = Request(environ, {}, MAX_BODY_BYTES, 30.0).read_body()
        self.sums.append(sum(body))
        return Response(200, b"%d" % len(body))


def extended_chunks():
    return b"".join(b"1;name=value-%d\r\n%c\r\n" % (byte, byte) for byte in BODY)


class ListenerTestCase(TestCase):
    budget = None

    def setUp(self):
        super().setUp()
        self.app = self.make_app()
        self.address = free_address()
        listener = HttpListener(
            self.address, self.app, max_connections=10, header_timeout_s=5.0, budget=self.budget
        )
        listener.start()
        self.addCleanup(listener.stop, timeout_s=1.0)
        self.sock = self.connect()

    def make_app(self):
        """Return the application that the listener serves."""
        return SizeApp()

    def connect(self):
        """Return a new connection to the listener."""
        ip, _, port = self.address.rpartition(":")
        sock = socket.create_connection((ip, int(port)), timeout=30.0)
        self.addCleanup(sock.close)
        return sock

    def read_response(self, sock=None):
        """Return the status and the body of a response."""
        file = (sock or self.sock).makefile("rb")
        status, length = file.readline(), 0
        while (line := file.readline()) != b"\r\n":
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        return int(status.split()[1]), file.read(length)


@with_scenarios
class OddBodyTest(ListenerTestCase):
    scenarios = [
        ("chunks of one byte", {"data": head("/", CHUNKED) + in_chunks(BODY, 1) + LAST}),
        ("one chunk", {"data": head("/", CHUNKED) + in_chunks(BODY, len(BODY)) + LAST}),
        ("chunk extensions", {"data": head("/", CHUNKED) + extended_chunks() + LAST}),
        (
            "trailers",
            {
                "data": head("/", CHUNKED)
                + in_chunks(BODY, 1000)
                + b"0\r\n"
                + b"".join(b"X-%d: %s\r\n" % (number, b"a" * 1000) for number in range(8))
                + b"\r\n"
            },
        ),
        ("a length", {"data": head("/", f"Content-Length: {len(BODY)}") + BODY}),
    ]

    def check(self):
        self.assertThat(self.read_response(), Equals((200, b"%d" % len(BODY))))
        self.assertThat(self.app.sums, Equals([sum(BODY)]))
        self.sock.sendall(head("/", "Content-Length: 2") + b"ab")
        self.assertThat(self.read_response(), Equals((200, b"2")))

    def test_it_is_served_and_so_is_the_next_request(self):
        self.sock.sendall(self.data)
        self.check()

    def test_it_is_served_with_pauses_between_its_pieces(self):
        size = len(self.data) // 7
        for at in range(0, len(self.data), size):
            self.sock.sendall(self.data[at : at + size])
            eventlet.sleep(0.05)
        self.check()
