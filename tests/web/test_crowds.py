"""Crowds of clients that keep to no limit, against real processes of both profiles.

Whatever they send, the process lives, its memory and descriptors stay under a bound, and an
ordinary request is answered while the crowd's connections are still open.
"""

import os
import resource

from testtools.matchers import Equals, LessThan

from tests.scenarios import with_scenarios
from tests.web.crowds import CrowdTestCase, OwnTarget, PoolTarget, head, in_chunks

CHUNKED = "Transfer-Encoding: chunked"
LINE_BYTES = 96_000_000
PROFILES = {"pool": PoolTarget, "own": OwnTarget}


def for_each(profiles=PROFILES, **rows):
    """Return scenarios: each row of attributes with each profile."""
    return [
        (f"{name} {profile}", {"profile": target, **attributes})
        for profile, target in profiles.items()
        for name, attributes in rows.items()
    ]


@with_scenarios
class EndlessLineTest(CrowdTestCase):
    """Two connections, each with one line of a chunked body that does not end."""

    scenarios = for_each(
        **{
            "trailer": {"begin": b"2\r\nab\r\n0\r\nX-A: "},
            "chunk extension": {"begin": b"2;a="},
            "chunk size": {"begin": b"2"},
            "end of a chunk": {"begin": b"2\r\nab"},
        }
    )

    def test_the_line_is_not_kept(self):
        self.start_target()
        self.crowd(2, self.target.submission(CHUNKED) + self.begin + b"a" * LINE_BYTES)
        self.assert_bounded_and_serving()


@with_scenarios
class TrailersTest(CrowdTestCase):
    scenarios = for_each(whole={})

    def test_trailers_without_end_are_cut_off(self):
        self.start_target()
        begin = self.target.submission(CHUNKED) + b"2\r\nab\r\n0\r\n"
        line = b"X-A: " + b"a" * 1000 + b"\r\n"
        self.send(begin + line * 50)
        sizes = self.crowd(2, begin + line * (LINE_BYTES // len(line)))
        self.assertThat(max(sizes), LessThan(LINE_BYTES // 2))
        self.assert_bounded_and_serving()


@with_scenarios
class UnfinishedBodiesTest(CrowdTestCase):
    """Bodies of nearly the full size that stop short of their end and stay open."""

    scenarios = for_each(
        {"pool": PoolTarget},
        **{
            "chunks of two bytes": {"count": 60, "form": "small chunks"},
            "one chunk": {"count": 700, "form": "one chunk"},
            "a length": {"count": 700, "form": "length"},
        },
    ) + for_each(
        {"own": OwnTarget},
        **{
            "chunks of two bytes": {"count": 8, "form": "small chunks"},
            "one chunk": {"count": 90, "form": "one chunk"},
            "a length": {"count": 90, "form": "length"},
        },
    )

    def request(self):
        size = self.target.max_body_bytes
        most = b"a" * (size - 2)
        if self.form == "small chunks":
            return self.target.submission(CHUNKED) + in_chunks(most, 2)
        if self.form == "one chunk":
            return self.target.submission(CHUNKED) + b"%x\r\n" % size + most
        return self.target.submission(f"Content-Length: {size}") + most

    def test_their_sum_is_bounded(self):
        self.start_target()
        self.crowd(self.count, self.request())
        self.assert_bounded_and_serving()


@with_scenarios
class DecodedBodiesTest(CrowdTestCase):
    """Whole bodies of small values, which take up far more memory once they are decoded."""

    scenarios = for_each(
        {"own": OwnTarget},
        **{
            "lists in a payload": {"begin": b'[{"payload":{"run_s":5,"value":[', "end": b"]}}]"},
            "tasks": {"begin": b"[", "end": b"]"},
        },
    )

    def test_their_sum_is_bounded(self):
        self.start_target()
        value = b"[]" if b"payload" in self.begin else b"{}"
        values = b",".join([value] * (self.target.max_body_bytes // 3 - 100))
        job = b'{"service":"press","team":"floor","tasks":' + self.begin + values + self.end + b"}"
        for _ in range(6):
            key = self.target.new_key()
            head = self.target.submission(f"Content-Length: {len(job)}", key=key)
            self.send(head + job)
        self.assert_bounded_and_serving()


@with_scenarios
class LargeHeadersTest(CrowdTestCase):
    scenarios = for_each(
        **{
            "before a body": {"end": b"Content-Length: 10\r\n\r\n{"},
            "without an end": {"end": b"X-Z: "},
        }
    )

    def test_their_sum_is_bounded(self):
        self.start_target()
        filling = [f"X-{number}: " + "a" * 7500 for number in range(8)]
        data = self.target.submission(*filling)[:-2] + self.end
        self.crowd(700, data)
        self.assert_bounded_and_serving()


@with_scenarios
class UnreadBodyTest(CrowdTestCase):
    """Bodies without an end, to which the process has the answer before it has read them."""

    scenarios = for_each(
        **{
            "unknown path": {"path": "/nowhere", "listener": "callers"},
            "operators": {"path": "/v1/drain", "listener": "operators"},
        }
    )

    def test_the_rest_is_not_read_for_ever(self):
        self.start_target()
        data = head(self.path, CHUNKED) + in_chunks(b"a" * LINE_BYTES, 1000)
        sizes = self.crowd(4, data, listener=self.listener)
        self.assertThat(max(sizes), LessThan(LINE_BYTES // 2))
        self.assert_bounded_and_serving()


@with_scenarios
class IdleConnectionsTest(CrowdTestCase):
    """More connections than a listener takes, none of which sends a whole request."""

    listen = {"max_connections": 20, "header_timeout_s": 3600.0, "body_timeout_s": 3600.0}
    scenarios = [
        (f"{name} {listener} {profile}", {"profile": target, "data": data, "listener": listener})
        for profile, target in PROFILES.items()
        for listener in ("callers", "operators", "readiness")
        for name, data in {
            "silent": b"",
            "half a request line": b"POST /ab",
            "half of the headers": b"POST / HTTP/1.1\r\nHost: a\r\n",
            "half a body": head("/", "Content-Length: 10") + b"{",
        }.items()
        if (profile, listener) != ("own", "readiness")
    ]

    def test_an_ordinary_request_is_answered(self):
        self.start_target()
        self.crowd(120, self.data, listener=self.listener)
        self.assertThat(self.target.ask(self.listener), Equals(200))
        self.assert_bounded_and_serving()


@with_scenarios
class DescriptorsTest(CrowdTestCase):
    scenarios = for_each(silent={"data": b""}, half={"data": b"POST /ab"})

    def test_a_process_out_of_descriptors_serves_again(self):
        self.start_target()
        limit = 80
        resource.prlimit(self.target.child.pid, resource.RLIMIT_NOFILE, (limit, limit))
        self.crowd(150, self.data)
        self.assertThat(len(os.listdir(f"/proc/{self.target.child.pid}/fd")), LessThan(limit + 1))
        for sock in self.sockets:
            sock.close()
        self.assert_bounded_and_serving()


@with_scenarios
class UnreadAnswersTest(CrowdTestCase):
    scenarios = for_each(pipelined={})

    def test_requests_sent_ahead_wait_in_the_socket(self):
        self.start_target()
        self.crowd(10, head("/nowhere", method="GET") * 1000, repeat=40)
        self.assert_bounded_and_serving()
