import io

from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from burdocklug.web._reader import (
    FRAMING_BYTES_PER_BODY_BYTE,
    FREE_FRAMING_BYTES,
    MAX_FRAMING_LINE_BYTES,
    BodyReader,
    FramingError,
)


def reader(data):
    return BodyReader(io.BufferedReader(io.BytesIO(data)))


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
