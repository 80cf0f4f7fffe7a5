import io

import eventlet
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from burdocklug.web._reader import (
    FRAMING_BYTES_PER_BODY_BYTE,
    FREE_FRAMING_BYTES,
    MAX_FRAMING_LINE_BYTES,
    TURN_BYTES,
    BodyReader,
    ConnectionReader,
    FramingError,
)


def connection(data):
    return ConnectionReader(io.BufferedReader(io.BytesIO(data)))


def reader(data):
    return BodyReader(connection(data))


class FramingTest(TestCase):
    def test_a_line_of_the_largest_size_is_read(self):
        line = b"a" * (MAX_FRAMING_LINE_BYTES - 1) + b"\n"
        self.assertThat(reader(line).readline(), Equals(line))

    def test_a_longer_line_is_refused(self):
        with ExpectedException(FramingError, "a line"):
            reader(b"a" * MAX_FRAMING_LINE_BYTES + b"\n").readline()

    def test_the_sum_of_lines_is_bounded(self):
        lines = reader(b"a\n" * FREE_FRAMING_BYTES)
        for _ in range(FREE_FRAMING_BYTES // 2):
            lines.readline()
        with ExpectedException(FramingError, "too many"):
            lines.readline()

    def test_each_byte_of_the_body_allows_more_framing(self):
        line = b"a" * (FRAMING_BYTES_PER_BODY_BYTE - 1) + b"\n"
        lines = reader((b"b" + line) * FREE_FRAMING_BYTES)
        for _ in range(FREE_FRAMING_BYTES):
            self.assertThat(lines.read(1), Equals(b"b"))
            lines.readline()


class TurnsTest(TestCase):
    """A connection whose bytes are always there gives way to others."""

    def turns_during(self, read):
        turns = []

        def take_turns():
            while True:
                turns.append(None)
                eventlet.sleep(0)

        thread = eventlet.spawn(take_turns)
        read()
        thread.kill()
        return len(turns)

    def test_while_it_sends_a_large_body(self):
        source = reader(bytes(100 * TURN_BYTES))
        turns = self.turns_during(lambda: [None for _ in iter(lambda: source.read(4096), b"")])
        self.assertTrue(turns >= 100, turns)

    def test_while_it_sends_short_lines(self):
        source = connection(b"\n" * 100_000)
        turns = self.turns_during(lambda: [None for _ in iter(lambda: source.readline(100), b"")])
        self.assertTrue(turns >= 100, turns)

    def test_while_it_sends_small_requests(self):
        source = connection(b"a")
        turns = self.turns_during(lambda: [source.start_request() for _ in range(1000)])
        self.assertTrue(turns >= 100, turns)
