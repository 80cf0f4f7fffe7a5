"""Reading of HTTP responses; `http.client` parses each distinct head only once."""

import functools
import http.client
import io
from dataclasses import dataclass

__all__ = ["Head", "parse_head", "read_response"]

HEAD_END = b"\r\n\r\n"
RECV_BYTES = 65536
MAX_CACHED_HEAD_BYTES = 1024  # longer heads are not cached
MAX_CACHED_HEADS = 256  # heads differ by Content-Length and Date


@dataclass(frozen=True, slots=True)
class Head:
    """Framing of a response, as given by its head.

    Parameters
    ----------
    status : int
        HTTP status.
    length : int
        Length of the body in bytes.
    reusable : bool
        Whether the connection stays open after the response.
    """

    status: int
    length: int
    reusable: bool


class _HeadSource:
    """Stands in for the socket from which `http.client` reads a head."""

    def __init__(self, data):
        self.stream = io.BytesIO(data)

    def makefile(self, _mode):
        return self.stream


@functools.lru_cache(maxsize=MAX_CACHED_HEADS)
def parse_head(data):
    r"""Return the parsed head, or None if `http.client` has to read the whole response.

    Parameters
    ----------
    data : bytes
        The response up to the end of its first empty line.

    Notes
    -----
    Returns None for chunked bodies, empty bodies, bodies without a length, informational (1xx)
    responses, malformed heads, and heads whose lines do not end in CRLF.

    Examples
    --------
    >>> parse_head(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
    Head(status=200, length=2, reusable=True)
    >>> parse_head(b"HTTP/1.1 100 Continue\r\n\r\n") is None
    True
    """
    source = _HeadSource(data)
    response = http.client.HTTPResponse(source)
    try:
        response.begin()
    except http.client.HTTPException:
        return None
    if response.chunked or response.length is None:
        return None
    if not response.length:
        return None  # begin() has closed the stream, so its position can't be checked
    if source.stream.tell() != len(data):
        return None
    return Head(response.status, response.length, not response.will_close)


class _PrefixedSocket(io.RawIOBase):
    """Reads the bytes already received, then those of the socket."""

    def __init__(self, data, sock):
        self._data = data
        self._sock = sock

    def makefile(self, _mode):
        return io.BufferedReader(self)

    def readable(self):
        return True

    def readinto(self, buffer):
        if not self._data:
            return self._sock.recv_into(buffer)
        count = min(len(buffer), len(self._data))
        buffer[:count] = self._data[:count]
        self._data = self._data[count:]
        return count


def read_response(sock, method):
    """Read one response; return status, body and whether the connection can be reused.

    Parameters
    ----------
    sock : WatchedConnection
        Connection to read from.
    method : str
        Method of the request that the response answers.

    Raises
    ------
    http.client.HTTPException, OSError
        If the response is malformed or ends early.
    """
    data = sock.recv(RECV_BYTES)
    end = data.find(HEAD_END, 0, MAX_CACHED_HEAD_BYTES) + len(HEAD_END)
    head = parse_head(data[:end]) if end >= len(HEAD_END) else None
    if head is None:
        return _read_with_http_client(_PrefixedSocket(data, sock), method)
    missing = end + head.length - len(data)
    body = data[end:] if missing <= 0 else _read_rest(sock, data[end:], missing)
    # Bytes beyond the announced length answer no request, so the connection can't be reused.
    return head.status, body[: head.length], head.reusable and missing >= 0


def _read_rest(sock, received, missing):
    pieces = [received]
    while missing > 0:
        piece = sock.recv(min(missing, RECV_BYTES))
        if not piece:
            raise http.client.IncompleteRead(b"".join(pieces), missing)
        pieces.append(piece)
        missing -= len(piece)
    return b"".join(pieces)


def _read_with_http_client(source, method):
    response = http.client.HTTPResponse(source, method=method)
    try:
        response.begin()
        content = response.read()
        return response.status, content, not response.will_close
    finally:
        response.close()
