"""Bounded reading of a request from a client's connection, beneath eventlet's own parser."""

import eventlet

__all__ = [
    "BodyReader",
    "ConnectionReader",
    "FramingError",
    "HeadTooLarge",
    "HeaderReader",
    "discard_body",
    "is_read",
]

TURN_BYTES = 65_536  # work of one connection before all others have their turn
CALL_BYTES = 256  # work of a call, as bytes that take as long
REQUEST_BYTES = 16_384  # work of parsing and dispatching a request

MAX_FRAMING_LINE_BYTES = 16_384  # a chunk size with its extensions, or a trailer
FREE_FRAMING_BYTES = 65_536  # framing of one body, beside what its bytes allow
FRAMING_BYTES_PER_BODY_BYTE = 64  # a chunk of one byte needs 5
# What is read of a body that the application left unread, to use its connection again.
DISCARD_BYTES = 262_144
DISCARD_S = 2.0
DISCARD_PIECE_BYTES = 512  # the parser keeps an object for each chunk of a piece


# Memory of a header's text and of its copies, and of the objects that hold one field.
BYTES_PER_HEADER_BYTE = 4
BYTES_PER_HEADER_FIELD = 600
HEADER_CHARGE_BYTES = 16_384  # charged at a time


class HeadTooLarge(ValueError):
    """Raised for headers that are over their limit."""


class FramingError(ValueError):
    """Raised for a body with too much framing around its bytes."""


class ConnectionReader:
    """File object of a connection that gives way to other connections after a bounded work.

    Notes
    -----
    A green socket switches to the event loop only where it has to wait. A client whose bytes are
    always there would keep the loop, and with it heartbeats, timeouts and every other client.

    Parameters
    ----------
    source : io.BufferedReader
        File object of the socket.
    """

    def __init__(self, source):
        self._source = source
        self._work = 0

    @property
    def closed(self):
        """Whether the file object is closed."""
        return self._source.closed

    def close(self):
        """Close the file object."""
        self._source.close()

    def start_request(self):
        """Wait for the first bytes of a request; return whether there are any."""
        if not self._source.peek(1):
            return False
        self._count(REQUEST_BYTES)
        return True

    def readline(self, size):
        """Return a line, or its first `size` bytes."""
        line = self._source.readline(size)
        self._count(CALL_BYTES + len(line))
        return line

    def read1(self, size):
        """Return up to `size` bytes as soon as some have arrived."""
        data = self._source.read1(size)
        self._count(CALL_BYTES + len(data))
        return data

    def _count(self, work):
        self._work += work
        if self._work >= TURN_BYTES:
            self._work = 0
            eventlet.sleep(0)


class HeaderReader:
    """File object of a request's headers.

    Parameters
    ----------
    source : ConnectionReader
        File object of the connection.
    max_bytes : int
        Largest size of all headers.
    charge : callable
        Called with the number of bytes of memory that more headers take up.

    Notes
    -----
    The standard library's parser accepts 100 lines, but splits what it is given by itself: so it
    gets all headers as one line, and the empty line behind them.
    """

    def __init__(self, source, *, max_bytes, charge):
        self._source = source
        self._max_bytes = max_bytes
        self._charge = charge
        self._end = None

    def readline(self, _size=-1):
        """Return all headers, then the line that ends them; empty at the end of the stream.

        Raises
        ------
        HeadTooLarge
            If the headers are over their limit.
        """
        if self._end is not None:
            return self._end
        lines, size, uncharged = [], 0, 0
        while (line := self._source.readline(self._max_bytes + 1)) not in (b"\r\n", b"\n", b""):
            size += len(line)
            if size > self._max_bytes:
                raise HeadTooLarge(f"headers are over {self._max_bytes} bytes")
            lines.append(line)
            uncharged += BYTES_PER_HEADER_FIELD + BYTES_PER_HEADER_BYTE * len(line)
            if uncharged >= HEADER_CHARGE_BYTES:
                self._charge(uncharged)
                uncharged = 0
        self._charge(uncharged)
        self._end = line
        return b"".join(lines) or line


class BodyReader:
    """File object of a body, with bounds on what eventlet's parser reads without any.

    Parameters
    ----------
    source : ConnectionReader
        File object of the connection.

    Notes
    -----
    The parser reads body bytes by `read`, and the lines between and behind chunks by `readline`
    without a size.
    """

    def __init__(self, source):
        self._source = source
        self._framing_left = FREE_FRAMING_BYTES

    def read(self, size):
        """Return up to `size` bytes of the body as soon as some have arrived."""
        data = self._source.read1(size)
        self._framing_left += FRAMING_BYTES_PER_BODY_BYTE * len(data)
        return data

    def readline(self):
        """Return a line of framing.

        Raises
        ------
        FramingError
            If the line, or all framing of the body so far, is too long.
        """
        line = self._source.readline(MAX_FRAMING_LINE_BYTES)
        self._framing_left -= len(line)
        if self._framing_left < 0:
            raise FramingError("too many bytes of framing for the bytes of the body")
        if len(line) == MAX_FRAMING_LINE_BYTES and not line.endswith(b"\n"):
            raise FramingError(f"a line of framing is over {MAX_FRAMING_LINE_BYTES} bytes")
        return line


def is_read(body):
    """Return whether an `eventlet.wsgi.Input` has been read to its end."""
    if body.chunked_input:
        return body.chunk_length == 0
    return body.position >= (body.content_length or 0)


def discard_body(body):
    """Read an `eventlet.wsgi.Input` to its end.

    Raises
    ------
    OSError
        If the end does not come within `DISCARD_BYTES` and `DISCARD_S`.
    """
    if is_read(body):
        return
    too_long = OSError(
        f"more than {DISCARD_BYTES} bytes or {DISCARD_S} s of a body were not needed"
    )
    with eventlet.Timeout(DISCARD_S, too_long):
        for _ in range(DISCARD_BYTES // DISCARD_PIECE_BYTES):
            if not body.read(DISCARD_PIECE_BYTES):
                return
    raise too_long
