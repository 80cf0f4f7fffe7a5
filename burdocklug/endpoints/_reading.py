"""Reads HTTP answers; `http.client` parses each distinct head once."""

import functools
import http.client
import io
from dataclasses import dataclass

__all__ = ["Head", "parse_head", "read_answer"]

HEAD_END = b"\r\n\r\n"
RECV_BYTES = 65536
MAX_HEAD_BYTES = 1024  # longer heads are not kept
KEPT_HEADS = 256  # heads differ by the length of the body and by the date


@dataclass(frozen=True, slots=True)
class Head:
    """What the head of an answer says about the answer.

    Parameters
    ----------
    status : int
        HTTP status.
    length : int
        Bytes of the body.
    reusable : bool
        Whether the connection stays open.
    """

    status: int
    length: int
    reusable: bool


class _HeadOnly:
    """Hands `http.client` a head in place of a socket."""

    def __init__(self, data):
        self.stream = io.BytesIO(data)

    def makefile(self, _mode):
        return self.stream


@functools.lru_cache(maxsize=KEPT_HEADS)
def parse_head(data):
    r"""Return what a head says, or None where only `http.client` can tell where the answer ends.

    Parameters
    ----------
    data : bytes
        The answer up to the end of its first empty line.

    Notes
    -----
    None for chunked bodies, bodies without a length, interim answers, heads with other line ends
    and heads with faults.

    Examples
    --------
    >>> parse_head(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
    Head(status=200, length=2, reusable=True)
    >>> parse_head(b"HTTP/1.1 100 Continue\r\n\r\n") is None
    True
    """
    source = _HeadOnly(data)
    answer = http.client.HTTPResponse(source)
    try:
        answer.begin()
    except http.client.HTTPException:
        return None
    if answer.chunked or answer.length is None:
        return None
    if not answer.length:
        return None  # begin() has closed the stream, which hides whether it was read to its end
    if source.stream.tell() != len(data):
        return None
    return Head(answer.status, answer.length, not answer.will_close)


class _Resumed(io.RawIOBase):
    """A socket whose first bytes have been read already."""

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


def read_answer(sock, method):
    """Return status, body and whether the connection can be used again.

    Parameters
    ----------
    sock : WatchedConnection
        Where the answer comes from.
    method : str
        Method of the request.

    Raises
    ------
    http.client.HTTPException, OSError
        If the answer is no HTTP or ends early.
    """
    data = sock.recv(RECV_BYTES)
    end = data.find(HEAD_END, 0, MAX_HEAD_BYTES) + len(HEAD_END)
    head = parse_head(data[:end]) if end >= len(HEAD_END) else None
    if head is None:
        return _read_by_library(_Resumed(data, sock), method)
    missing = end + head.length - len(data)
    body = data[end:] if missing <= 0 else _read_rest(sock, data[end:], missing)
    # More bytes than the head announced belong to no request of ours.
    return head.status, body[: head.length], head.reusable and missing >= 0


def _read_rest(sock, begun, missing):
    pieces = [begun]
    while missing > 0:
        piece = sock.recv(min(missing, RECV_BYTES))
        if not piece:
            raise http.client.IncompleteRead(b"".join(pieces), missing)
        pieces.append(piece)
        missing -= len(piece)
    return b"".join(pieces)


def _read_by_library(source, method):
    answer = http.client.HTTPResponse(source, method=method)
    try:
        answer.begin()
        content = answer.read()
        return answer.status, content, not answer.will_close
    finally:
        answer.close()
