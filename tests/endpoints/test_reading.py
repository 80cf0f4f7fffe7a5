"""Responses read with cached heads are the same as `http.client` reads them."""

import http.client
import io

import testtools
from testtools.matchers import Equals

from burdocklug.endpoints._reading import MAX_CACHED_HEAD_BYTES, parse_head, read_response
from tests.scenarios import with_scenarios

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
CHUNKS = b"2\r\n{}\r\n0\r\n\r\n"


class Pieces:
    """A socket that returns its bytes in pieces of `size`, then the end of the stream."""

    def __init__(self, data, size):
        self.pieces = [data[start : start + size] for start in range(0, len(data), size)]

    def recv(self, _size):
        return self.pieces.pop(0) if self.pieces else b""

    def recv_into(self, buffer):
        piece = self.recv(len(buffer))
        buffer[: len(piece)] = piece
        return len(piece)


class WholeResponseSocket:
    """A socket from which `http.client` reads all the bytes."""

    def __init__(self, data):
        self.data = data

    def makefile(self, _mode):
        return io.BytesIO(self.data)


def read_by_library(data):
    answer = http.client.HTTPResponse(WholeResponseSocket(data), method="POST")
    try:
        answer.begin()
        return answer.status, answer.read(), not answer.will_close
    except http.client.HTTPException as exc:
        return type(exc)


def read(data, size):
    try:
        return read_response(Pieces(data, size), "POST")
    except http.client.HTTPException as exc:
        return type(exc)


@with_scenarios
class AnswerTest(testtools.TestCase):
    """Result or error is the same as with `http.client`, for pieces of any size."""

    scenarios = [
        ("plain", {"data": OK + b"\r\nbody"}),
        ("closes", {"data": OK + b"Connection: close\r\n\r\nbody"}),
        ("old", {"data": b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody"}),
        ("no_length", {"data": b"HTTP/1.1 200 OK\r\n\r\nbody"}),
        ("no_body", {"data": b"HTTP/1.1 204 No Content\r\n\r\n"}),
        ("zero_length", {"data": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}),
        ("chunked", {"data": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS}),
        ("interim", {"data": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"\r\nbody"}),
        ("bare_line_ends", {"data": b"HTTP/1.1 200 OK\nContent-Length: 8\n\nab\r\n\r\ncd"}),
        ("folded", {"data": OK + b"X: a\r\n b\r\n\r\nbody"}),
        ("two_lengths", {"data": OK + b"Content-Length: 2\r\n\r\nbody"}),
        ("negative_length", {"data": b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody"}),
        ("half_body", {"data": OK + b"\r\nbo"}),
        ("half_head", {"data": OK}),
        ("nothing", {"data": b""}),
        ("no_http", {"data": b"SSH-2.0-x\r\n\r\n"}),
        ("long_line", {"data": OK + b"X: " + b"a" * 70_000 + b"\r\n\r\nbody"}),
        ("many_headers", {"data": OK + b"X: a\r\n" * 101 + b"\r\nbody"}),
    ]

    def test_equals_the_library(self):
        for size in (1, 7, len(self.data) or 1):
            for _ in range(2):  # the second time the head is cached
                self.assertThat(read(self.data, size), Equals(read_by_library(self.data)))


class KeptHeadTest(testtools.TestCase):
    """Short heads are cached, up to a bound."""

    def test_a_head_is_parsed_once(self):
        parse_head.cache_clear()
        for body in (b"body", b"else", b"more"):
            answer = read_response(Pieces(OK + b"\r\n" + body, 1000), "POST")
            self.assertThat(answer, Equals((200, body, True)))
        self.assertThat(parse_head.cache_info().misses, Equals(1))

    def test_bytes_after_the_answer_end_the_connection(self):
        answer = read_response(Pieces(OK + b"\r\nbody" + OK, 1000), "POST")
        self.assertThat(answer, Equals((200, b"body", False)))

    def test_long_heads_are_not_kept(self):
        parse_head.cache_clear()
        head = OK + b"X: " + b"a" * MAX_CACHED_HEAD_BYTES + b"\r\n\r\n"
        self.assertThat(
            read_response(Pieces(head + b"body", 9000), "POST")[:2], Equals((200, b"body"))
        )
        self.assertThat(parse_head.cache_info().currsize, Equals(0))

    def test_distinct_heads_are_bounded(self):
        for number in range(3000):
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Request: %d\r\n\r\nb" % number
            read_response(Pieces(head, 1000), "POST")
        info = parse_head.cache_info()
        self.assertThat(info.currsize, Equals(info.maxsize))
