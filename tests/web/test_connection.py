"""The end of a client's connection is noticed while its request is served, and only then."""

import socket
import struct

import eventlet
from testtools import TestCase
from testtools.matchers import Contains, Equals

from burdocklug.web import Application, HttpListener, Request, Response
from standins.ports import free_address
from tests.scenarios import with_scenarios

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
SERVE_S = 0.6
NOTICED_S = 0.3


class WatchingApp(Application):
    """Serves each request for `SERVE_S` and records whether its connection has ended."""

    def __init__(self):
        super().__init__()
        self.results = []
        self.ended = []

    def respond(self, environ):
        req = Request(environ, {}, 1000, 1.0)
        req.read_body()
        with req.watch_connection() as connection:
            connection.on_end(lambda: self.ended.append(connection))
            eventlet.sleep(SERVE_S)
            self.results.append(connection.has_ended)
        return Response(200, b"{}")


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def half_close(sock):
    sock.shutdown(socket.SHUT_WR)


class ConnectionTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.app = WatchingApp()
        address = free_address()
        listener = HttpListener(address, self.app, max_connections=10, header_timeout_s=5.0)
        listener.start()
        self.addCleanup(listener.stop, timeout_s=1.0)
        ip, _, port = address.rpartition(":")
        self.sock = socket.create_connection((ip, int(port)), timeout=5.0)
        self.addCleanup(self.sock.close)

    def read_response(self):
        self.assertThat(self.sock.recv(10_000), Contains(b"200 OK"))


@with_scenarios
class EndedConnectionTest(ConnectionTestCase):
    """Guards against a request that is served on after its client has gone (review/6)."""

    scenarios = [
        ("closed", {"end": lambda sock: sock.close()}),
        ("reset", {"end": reset}),
        ("half closed", {"end": half_close}),
    ]

    def check_noticed(self):
        eventlet.sleep(0.1)
        self.assertThat(self.app.ended, Equals([]))
        self.end(self.sock)
        eventlet.sleep(NOTICED_S)
        self.assertThat(len(self.app.ended), Equals(1))

    def test_it_is_noticed_during_the_first_request(self):
        self.sock.sendall(REQUEST)
        self.check_noticed()

    def test_it_is_noticed_during_a_later_request_of_the_connection(self):
        self.sock.sendall(REQUEST)
        self.read_response()
        self.sock.sendall(REQUEST)
        self.check_noticed()

    def test_it_is_noticed_behind_a_request_that_was_sent_ahead(self):
        self.sock.sendall(REQUEST)
        eventlet.sleep(0.1)
        self.sock.sendall(REQUEST)
        self.check_noticed()

    def test_an_end_before_the_request_is_served_is_noticed(self):
        self.sock.sendall(REQUEST)
        self.end(self.sock)
        eventlet.sleep(SERVE_S + NOTICED_S)
        self.assertThat(self.app.results, Equals([True]))


class OpenConnectionTest(ConnectionTestCase):
    def test_requests_sent_ahead_are_all_served_on_an_open_connection(self):
        self.sock.sendall(REQUEST)
        eventlet.sleep(0.1)
        self.sock.sendall(REQUEST * 2)
        for _ in range(3):
            self.read_response()
        self.assertThat(self.app.results, Equals([False] * 3))

    def test_an_end_between_two_requests_is_none_during_one(self):
        self.sock.sendall(REQUEST)
        self.read_response()
        self.sock.close()
        eventlet.sleep(NOTICED_S)
        self.assertThat((self.app.results, self.app.ended), Equals(([False], [])))
