"""Connections to endpoints: a bounded pool per address, the most recently used first."""

import http.client

import eventlet
import eventlet.semaphore
import urllib3
import urllib3.connection

from burdocklug.endpoints._models import MaybeStarted, NotStarted
from burdocklug.endpoints._reading import read_response
from burdocklug.endpoints._watched import WatchedConnection

REQUEST_HEAD = (
    b"%b %b HTTP/1.1\r\nHost: %b\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n%b\r\n"
)

__all__ = ["ConnectionPool", "exchange", "open_connection"]

CONNECT_ERRORS = (urllib3.exceptions.HTTPError, OSError)
EXCHANGE_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


def open_connection(address, timeout_s):
    """Return a new open `WatchedConnection` to `address`.

    Raises
    ------
    NotStarted
        If it can't be opened within `timeout_s` seconds; no request has been sent.
    """
    host, _, port = address.rpartition(":")
    conn = urllib3.connection.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.connect()
    except CONNECT_ERRORS as exc:
        conn.close()
        raise NotStarted("refused", f"connection to endpoint {address} failed: {exc}") from exc
    conn.timeout = None  # the caller of `exchange` limits the time of the whole exchange
    conn.sock.settimeout(None)
    return WatchedConnection(conn)


def request_head(address, method, path, body_bytes, headers=b""):
    """Return the head of a request.

    Parameters
    ----------
    path : str
        Path with all reserved characters percent-encoded.
    body_bytes : int
        Length of the body.
    headers : bytes, optional
        Further header lines, each with a trailing CRLF.

    Examples
    --------
    >>> request_head("127.0.0.1:80", "GET", "/v1/status", 0).splitlines()[0]
    b'GET /v1/status HTTP/1.1'
    """
    return REQUEST_HEAD % (method.encode(), path.encode(), address.encode(), body_bytes, headers)


def exchange(address, conn, method, path, body, *, headers=b""):
    """Send one request and return status, body and whether the connection can be reused.

    Raises
    ------
    MaybeStarted
        If the connection fails before the whole response has been read.
    """
    try:
        conn.send(request_head(address, method, path, len(body), headers) + body)
        return read_response(conn, method)
    except EXCHANGE_ERRORS as exc:
        raise MaybeStarted("closed", f"connection to {address} failed: {exc!r}") from exc


class ConnectionPool:
    """Bounded pool of this process's persistent connections to one address.

    Parameters
    ----------
    address : str
        ``IP:port`` of the endpoint.
    limit : int
        Largest number of connections in use at once; further callers wait.
    connect_timeout_s : float
        Seconds until opening a connection fails.
    idle_s : float
        Seconds after which an unused connection is closed.
    counts : collections.Counter
        Receives the number of connections `opened`, `idle_closed` and `stale_closed` (found
        unusable at their next use), and `retired`.
    """

    def __init__(self, address, *, limit, connect_timeout_s, idle_s, counts):
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.idle_s = idle_s
        self.counts = counts
        self.generation = 0
        self.limit = limit
        self._permits = eventlet.semaphore.Semaphore(limit)
        self._idle = []  # (connection, time of last use), the latest last

    def acquire(self, now_s):
        """Return an idle or new connection and its generation; waits while all are in use."""
        self._permits.acquire()
        try:
            while self._idle:
                conn, used_s = self._idle.pop()
                if now_s - used_s < self.idle_s and conn.is_reusable():
                    return conn, self.generation
                self.counts["stale_closed"] += 1
                conn.close()
            generation = self.generation
            conn = open_connection(self.address, self.connect_timeout_s)
            self.counts["opened"] += 1
            return conn, generation
        except BaseException:
            self._permits.release()
            raise

    def release(self, conn, generation, now_s, *, reusable):
        """Return a connection to the pool, or close it if it is retired or not reusable."""
        self._permits.release()
        if reusable and generation == self.generation:
            self._idle.append((conn, now_s))
        else:
            conn.close()

    def close_idle(self, now_s):
        """Close connections that have been idle for at least `idle_s` seconds."""
        kept = [pair for pair in self._idle if now_s - pair[1] < self.idle_s]
        for conn, used_s in self._idle:
            if now_s - used_s >= self.idle_s:
                self.counts["idle_closed"] += 1
                conn.close()
        self._idle = kept

    def retire(self):
        """Close idle connections now, and those in use at their release."""
        self.generation += 1
        idle, self._idle = self._idle, []
        for conn, _ in idle:
            self.counts["retired"] += 1
            conn.close()

    def is_unused(self):
        """Return whether no connection is idle or in use."""
        return not self._idle and self._permits.balance == self.limit
