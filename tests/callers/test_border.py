"""The callers' HTTP interface over real sockets.

Bad input must get a 4xx response, start no task, and leave no record in the ledger.
"""

import json
import socket
from collections import Counter

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.callers import callers_app
from burdocklug.kernel import ListenSettings
from burdocklug.web import HttpListener
from standins.ports import free_ports
from tests.fakes import FakeClock, FakeHub
from tests.jobs.nodes import Node, body
from tests.scenarios import with_scenarios

MAX_BODY_BYTES = 100_000
ANSWER_TIMEOUT_S = 10.0


def exchange(address, data, *, half_close=False):
    """Send raw bytes and return the status and the decoded JSON body of the answer."""
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S) as sock:
        sock.sendall(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
            head, found, rest = received.partition(b"\r\n\r\n")
            if found and len(rest) >= _length(head):
                break
    head, _, rest = received.partition(b"\r\n\r\n")
    if not head:
        return 0, None
    return int(head.split()[1]), json.loads(rest) if rest.startswith(b"{") else None


def _length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


def request(method, path, data=b"", **headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: x"]
    named = {"Content_Length": str(len(data)), **headers}
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in named.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


class CallersHttpTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.starts = Counter()
        self.node = Node(FakeHub(), None, FakeClock(), "a", self.starts)
        port = free_ports(3)
        listen = ListenSettings(
            callers=f"127.0.0.1:{port[0]}",
            operators=f"127.0.0.1:{port[1]}",
            peers=f"127.0.0.1:{port[2]}",
            body_timeout_s=0.3,
            header_timeout_s=0.3,
            max_body_bytes=MAX_BODY_BYTES,
        )
        app = callers_app(
            self.node.service, listen, health=lambda: None, metrics=lambda: (b"m 1\n", "text/plain")
        )
        self.address = listen.callers
        listener = HttpListener(
            listen.callers, app, max_connections=10, header_timeout_s=listen.header_timeout_s
        )
        listener.start()
        self.addCleanup(listener.stop, timeout_s=1.0)
        _, opened = exchange(self.address, request("POST", "/v1/sessions"))
        self.key = f"{opened['session']}~1"

    def assert_no_start_and_no_record(self):
        self.assertThat(self.starts, Equals(Counter()))
        records = [s.records for s in self.node.ledger.sessions.values()]
        self.assertThat((records, self.node.ledger.bytes), Equals(([{}], 0)))


class GoodRequestTest(CallersHttpTestCase):
    def test_a_job_is_submitted_and_asked_after(self):
        sent = request("POST", "/v1/jobs", body(), Idempotency_Key=self.key)
        status, answer = exchange(self.address, sent)
        self.assertThat((status, answer["state"]), Equals((200, "complete")))
        status, again = exchange(self.address, request("GET", f"/v1/jobs/{self.key}"))
        self.assertThat((status, again), Equals((200, answer)))

    def test_a_caller_that_leaves_and_comes_again_gets_the_answer_of_the_first_runs(self):
        sent = request("POST", "/v1/jobs", body(wait=True), Idempotency_Key=self.key)
        host, _, port = self.address.partition(":")
        socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S).sendall(sent)
        eventlet.sleep(0.2)
        status, answer = exchange(self.address, sent)
        self.assertThat((status, answer["state"]), Equals((200, "complete")))
        self.assertThat(list(self.starts.values()), Equals([1]))

    def test_health_and_metrics(self):
        for path in ("/v1/health", "/metrics"):
            status, _ = exchange(self.address, request("GET", path))
            self.assertThat(status, Equals(200))

    def test_a_chunked_body_is_taken(self):
        data = body()
        head = request("POST", "/v1/jobs", Idempotency_Key=self.key, Transfer_Encoding="chunked")
        head = head.replace(b"Content-Length: 0\r\n", b"")
        sent = head + f"{len(data):x}\r\n".encode() + data + b"\r\n0\r\n\r\n"
        self.assertThat(exchange(self.address, sent)[0], Equals(200))


@with_scenarios
class BadRequestTest(CallersHttpTestCase):
    scenarios = [
        (
            name,
            {
                "method": method,
                "path": path,
                "data": data,
                "headers": headers,
                "expected": expected,
            },
        )
        for name, method, path, data, headers, expected in [
            ("no key", "POST", "/v1/jobs", body(), {"Idempotency_Key": ""}, (400, "header Idem")),
            ("foreign key", "POST", "/v1/jobs", body(), {"Idempotency_Key": "x"}, (400, "header")),
            ("empty body", "POST", "/v1/jobs", b"", {}, (400, "$")),
            ("bad UTF-8", "POST", "/v1/jobs", b'{"service":"\xff"}', {}, (400, "$")),
            ("unknown field", "POST", "/v1/jobs", body(colour=1), {}, (400, "$")),
            ("wrong type", "POST", "/v1/jobs", body(team=1), {}, (400, "$.team")),
            ("1,701 tasks", "POST", "/v1/jobs", body(tasks=[{}] * 1701), {}, (400, "$.tasks")),
            ("large body", "POST", "/v1/jobs", bytes(MAX_BODY_BYTES + 1), {}, (413, "$")),
            ("10 MB declared", "POST", "/v1/jobs", b"", {"Content_Length": "10000000"}, (413, "$")),
            ("bad length", "POST", "/v1/jobs", b"", {"Content_Length": "-1"}, (400, "header")),
            ("wrong method", "PUT", "/v1/jobs", body(), {}, (405, None)),
            ("wrong method on a job", "POST", "/v1/jobs/x", b"", {}, (405, None)),
            ("unknown path", "GET", "/v2/jobs", b"", {}, (404, None)),
            ("status of a foreign key", "GET", "/v1/jobs/x", b"", {}, (400, "header")),
            ("bad wait", "POST", "/v1/jobs?wait_s=x", body(), {}, (400, "query wait_s")),
            ("endless wait", "POST", "/v1/jobs?wait_s=1e9", body(), {}, (400, "query wait_s")),
            ("not a number of seconds", "POST", "/v1/jobs?wait_s=nan", body(), {}, (400, "query")),
        ]
    ]

    def test_is_refused_and_leaves_nothing(self):
        headers = {"Idempotency_Key": self.key, **self.headers}
        sent = request(self.method, self.path, self.data, **headers)
        status, answer = exchange(self.address, sent)
        expected_status, path = self.expected
        self.assertThat(status, Equals(expected_status))
        self.assertThat(answer["error"]["ran"], Equals("no"))
        found = answer["error"].get("path")
        self.assertTrue(found is None if path is None else found.startswith(path), found)
        self.assert_no_start_and_no_record()


class SlowSenderTest(CallersHttpTestCase):
    def test_a_body_that_ends_early_is_refused(self):
        headers = {"Idempotency_Key": self.key, "Content_Length": "5000"}
        sent = request("POST", "/v1/jobs", b'{"service"', **headers)
        status, answer = exchange(self.address, sent, half_close=True)
        self.assertThat((status, answer["error"]["path"]), Equals((400, "$")))
        self.assert_no_start_and_no_record()

    def test_a_body_that_does_not_come_is_refused(self):
        headers = {"Idempotency_Key": self.key, "Content_Length": "5000"}
        status, answer = exchange(self.address, request("POST", "/v1/jobs", b'{"s', **headers))
        self.assertThat((status, answer["error"]["kind"]), Equals((408, "slow_sender")))
        self.assert_no_start_and_no_record()

    def test_headers_that_do_not_come_end_the_connection(self):
        status, _ = exchange(self.address, b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nA: b")
        self.assertThat(status, Equals(0))
        self.assert_no_start_and_no_record()

    def test_slow_headers_do_not_outlast_the_limit_by_trickling(self):
        host, _, port = self.address.partition(":")
        with socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S) as sock:
            sock.sendall(b"GET /v1/health HTTP/1.1\r\n")
            sent = 0
            try:
                for sent in range(50):
                    sock.sendall(f"A{sent}: b\r\n".encode())
                    eventlet.sleep(0.05)
            except OSError:
                pass
        self.assertTrue(sent < 49, sent)
