"""Limits on the size and the time of a request's headers."""

import eventlet
from testtools.matchers import Equals

from burdocklug.web import ClientBudget, ConnectionLimits, HttpListener
from standins.ports import free_address
from tests.scenarios import with_scenarios
from tests.web.crowds import head
from tests.web.test_odd_requests import ListenerTestCase

MAX_HEADER_BYTES = 16_384
HEADER_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 1.0


class HeaderTestCase(ListenerTestCase):
    def setUp(self):
        super().setUp()
        self.budget = ClientBudget()
        self.address = free_address()
        limits = ConnectionLimits(HEADER_TIMEOUT_S, IDLE_TIMEOUT_S, MAX_HEADER_BYTES)
        listener = HttpListener(
            self.address,
            self.app,
            max_connections=10,
            header_timeout_s=10.0,
            get_limits=lambda: limits,
            budget=self.budget,
        )
        listener.start()
        self.addCleanup(listener.stop, timeout_s=1.0)
        self.sock = self.connect()


def sized(size, *headers):
    """Return a request whose headers, with their line ends, have `size` bytes."""
    given = head("/", "Content-Length: 2", *headers)
    filled = len(given) - len("POST / HTTP/1.1\r\n\r\n") + len("X: \r\n")
    return head("/", "Content-Length: 2", *headers, "X: " + "a" * (size - filled))


@with_scenarios
class HeaderSizeTest(HeaderTestCase):
    scenarios = [
        ("one long line", {"data": sized(MAX_HEADER_BYTES), "status": 200}),
        (
            "many short lines",
            {"data": sized(MAX_HEADER_BYTES, *(f"A{n}: b" for n in range(900))), "status": 200},
        ),
        ("a byte too many", {"data": sized(MAX_HEADER_BYTES + 1), "status": 431}),
        ("far too many", {"data": sized(10 * MAX_HEADER_BYTES), "status": 431}),
        ("a coding", {"data": head("/", "Transfer-Encoding: gzip, chunked"), "status": 400}),
        (
            "two lengths",
            {"data": head("/", "Content-Length: 2", "Content-Length: 3"), "status": 400},
        ),
        ("no version", {"data": b"POST / x\r\n\r\n", "status": 400}),
    ]

    def test_what_is_within_the_limit_is_served(self):
        self.sock.sendall(self.data + b"ab")
        status, answer = self.read_response()
        self.assertThat(status, Equals(self.status))
        if status != 200:
            self.assertIn(b'"ran":"no"', answer)
            self.assertThat(sum(self.budget.refusals.values()), Equals(1))
        eventlet.sleep(0.1)
        self.assertThat(self.budget.held_bytes, Equals(0))


@with_scenarios
class HeaderTimeTest(HeaderTestCase):
    scenarios = [
        ("request line", {"begin": b"GET /"}),
        ("header", {"begin": b"GET / HTTP/1.1\r\nA: "}),
        ("headers", {"begin": b"GET / HTTP/1.1\r\n"}),
    ]

    def test_trickling_does_not_outlast_the_limit(self):
        self.sock.sendall(self.begin)
        with self.assertRaises(OSError):
            for _ in range(100):
                self.sock.sendall(b"a")
                eventlet.sleep(HEADER_TIMEOUT_S / 10)
        self.assertThat(self.budget.refusals["headers_slow"], Equals(1))


class IdleTest(HeaderTestCase):
    def test_a_connection_is_kept_between_requests_and_closed_after_the_idle_timeout(self):
        for _ in range(3):
            self.sock.sendall(head("/", "Content-Length: 2") + b"ab")
            self.assertThat(self.read_response(), Equals((200, b"2")))
            eventlet.sleep(IDLE_TIMEOUT_S / 2)
        self.assertThat(self.sock.recv(1), Equals(b""))
