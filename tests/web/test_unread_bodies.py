"""Responses to requests whose body the process does not read, or not to its end."""

import socket

from testtools.matchers import Equals

from burdocklug.web import Response
from tests.scenarios import with_scenarios
from tests.web.crowds import head, in_chunks
from tests.web.test_odd_requests import CHUNKED, MAX_BODY_BYTES, ListenerTestCase, SizeApp

LARGE = bytes(3 * MAX_BODY_BYTES)


class IgnoringApp(SizeApp):
    """Reads no body of requests to ``/ignored``."""

    def respond(self, environ):
        if environ["PATH_INFO"] == "/ignored":
            return Response(404, b"no such path")
        return super().respond(environ)


class UnreadBodyTestCase(ListenerTestCase):
    def make_app(self):
        return IgnoringApp()

    def send(self, data):
        try:
            self.sock.sendall(data)
        except OSError:
            pass  # closed meanwhile; the response is in the socket


@with_scenarios
class RefusedBodyTest(UnreadBodyTestCase):
    scenarios = [
        ("length", {"data": head("/", f"Content-Length: {len(LARGE)}") + LARGE, "status": 413}),
        ("chunked", {"data": head("/", CHUNKED) + in_chunks(LARGE, 4096), "status": 413}),
        (
            "unneeded",
            {"data": head("/ignored", f"Content-Length: {len(LARGE)}") + LARGE, "status": 404},
        ),
        ("unneeded chunks", {"data": head("/ignored", CHUNKED) + in_chunks(LARGE, 4096)}),
        ("bad length", {"data": head("/", "Content-Length: x") + LARGE[:100_000], "status": 400}),
        ("malformed", {"data": head("/", CHUNKED) + b"x\r\n" + LARGE[:100_000], "status": 400}),
    ]
    status = 404

    def test_the_client_reads_the_response_after_it_has_sent_all(self):
        self.send(self.data)
        self.assertThat(self.read_response()[0], Equals(self.status))
        self.sock.shutdown(socket.SHUT_WR)
        self.assertThat(self.sock.recv(1), Equals(b""))


class KeptConnectionTest(UnreadBodyTestCase):
    def test_a_short_body_that_is_not_needed_is_skipped(self):
        for number in range(5):
            self.send(head("/ignored", CHUNKED) + in_chunks(bytes(1000 * number), 7) + b"0\r\n\r\n")
            self.assertThat(self.read_response()[0], Equals(404))
        self.send(head("/", "Content-Length: 3") + b"abc")
        self.assertThat(self.read_response(), Equals((200, b"3")))
