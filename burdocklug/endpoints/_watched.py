"""Open connections that stay registered with the event loop until they are closed."""

import socket

import eventlet
import eventlet.hubs

__all__ = ["AnswerTimeout", "WatchedConnection"]


class AnswerTimeout(Exception):
    """Raised, by a timer, in a greenlet that waits too long for an answer."""


class WatchedConnection:
    """An open connection whose one registration with the event loop serves all its requests.

    Parameters
    ----------
    conn : urllib3.connection.HTTPConnection
        The open connection; closed by `close`.

    Notes
    -----
    Only one greenlet may use it at a time. If unrequested bytes or the end of the stream arrive
    between two requests, the connection is not reusable any more.

    The loop fires timers before it polls, so when it is late an `AnswerTimeout` can interrupt a
    wait whose answer has arrived: the answer is read then, and no more bytes are waited for.

    Attributes
    ----------
    received : int
        Bytes received since the last `send`.
    on_received : callable or None
        Called after each receipt of bytes; may extend the time limit of the request under way.
    """

    __slots__ = ("_conn", "_listener", "_overdue", "_sock", "_waiter", "on_received", "received")

    def __init__(self, conn):
        self._conn = conn
        self._sock = conn.sock.fd  # the non-blocking socket that eventlet's socket wraps
        self._waiter = None
        self._listener = None
        self._overdue = None  # the timeout of the request under way, once it has passed
        self.received = 0
        self.on_received = None
        self._watch()

    def _watch(self):
        hub = eventlet.hubs.get_hub()
        self._listener = hub.add(
            hub.READ, self._sock.fileno(), self._on_readable, self._on_lost, None
        )

    def _unwatch(self):
        listener, self._listener = self._listener, None
        if listener is not None:
            eventlet.hubs.get_hub().remove(listener)

    def _on_readable(self, _descriptor):
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.switch()
        else:
            self._unwatch()  # or the loop would call back repeatedly; `recv` registers again

    def _on_lost(self, exc):
        waiter, self._waiter = self._waiter, None
        self._listener = None
        if waiter is not None:
            waiter.throw(exc)

    def send(self, data):
        """Send all of `data`."""
        self._overdue = None
        self.received = 0
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._conn.sock.sendall(data[sent:])

    def recv(self, size):
        """Wait for bytes and return at most `size` of them, or none at the end of the stream."""
        while True:
            if self._listener is None:
                self._watch()
            if self._overdue is None:
                self._wait_readable()
            try:
                data = self._sock.recv(size)
            except BlockingIOError:
                if self._overdue is not None:
                    raise self._overdue from None
            else:
                self.received += len(data)
                if self.on_received is not None and data:
                    self._overdue = None
                    self.on_received()
                return data

    def _wait_readable(self):
        self._waiter = eventlet.getcurrent()
        try:
            eventlet.hubs.get_hub().switch()
        except AnswerTimeout as exc:
            self._overdue = exc
        finally:
            self._waiter = None

    def recv_into(self, buffer):
        """Wait for bytes, put them into `buffer` and return their number."""
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def is_reusable(self):
        """Return whether an idle connection is open and has no unread bytes.

        Notes
        -----
        Unread bytes would be taken for the response to the next request. The socket is read too,
        since the loop has not reported bytes that arrived during its current iteration.
        """
        if self._listener is None:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self):
        """Close the connection."""
        self._unwatch()
        self._conn.close()
