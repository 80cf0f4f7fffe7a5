"""HTTP client for calls with JSON bodies to the platform's store and workers."""

import collections
import time

import eventlet
import msgspec

from burdocklug.endpoints import AnswerTimeout, ConnectionPool, MaybeStarted, NotStarted, exchange

__all__ = ["JsonClient", "NoResponse"]

CONNECT_TIMEOUT_S = 0.5  # a healthy address accepts within one round trip

encode_json = msgspec.json.Encoder().encode


class NoResponse(Exception):
    """No complete response arrived; `sent` is whether the request may have been received."""

    def __init__(self, message, *, sent):
        super().__init__(message)
        self.sent = sent


class _AnswerLimit:
    """Raises `AnswerTimeout` in this greenlet when a response is not in time.

    Parameters
    ----------
    address : str
        Address that was called, for the message.
    timeout_s : float
        Seconds until the first byte, and from one byte to the next.
    longest_s : float or None
        Seconds until the response is complete; None if `timeout_s` limits that.
    now : callable
        Returns monotonic seconds.
    on_received : callable or None
        Called after each receipt of bytes.
    """

    def __init__(self, address, timeout_s, longest_s, now, on_received):
        self._timeout_s = timeout_s
        self._now = now
        self._on_received = on_received
        self._end_s = now() + (timeout_s if longest_s is None else longest_s)
        exc = AnswerTimeout(f"{address}: no response in {timeout_s:.2f} s")
        self._timeout = eventlet.Timeout(timeout_s, exc)

    def note_received(self):
        """Allow another `timeout_s` from now, up to the limit for the whole response."""
        if self._on_received is not None:
            self._on_received()
        self._timeout.cancel()
        self._timeout.seconds = max(0.0, min(self._timeout_s, self._end_s - self._now()))
        self._timeout.start()

    def cancel(self):
        self._timeout.cancel()


class JsonClient:
    """HTTP client that reuses its connections to each address.

    Parameters
    ----------
    idle_s : float
        Seconds after which an unused connection is closed.
    limit : int
        Maximum number of connections to one address.
    now : callable, optional
        Returns monotonic seconds.
    """

    def __init__(self, *, idle_s, limit, now=time.monotonic):
        self.counts = collections.Counter()
        self._idle_s = idle_s
        self._limit = limit
        self._now = now
        self._addresses = {}

    def call(
        self,
        address,
        method,
        path,
        body=None,
        *,
        timeout_s,
        longest_s=None,
        on_received=None,
        headers=b"",
    ):
        """Send a request and return the status and the body of the response.

        Parameters
        ----------
        timeout_s : float
            Time for the whole response in seconds or, if `longest_s` is given, time without any
            further byte of it.
        longest_s : float, optional
            Time for the whole response in seconds, while bytes of it keep arriving.
        on_received : callable, optional
            Called after each receipt of bytes of the response, if `longest_s` is given.
        headers : bytes, optional
            Additional header lines, each ending in CRLF.

        Raises
        ------
        NoResponse
            If no complete response arrived in time.
        """
        raw = b"" if body is None else encode_json(body)
        connections = self._connections(address)
        sent, conn = False, None
        limit = _AnswerLimit(address, timeout_s, longest_s, self._now, on_received)
        try:
            conn, generation = connections.acquire(self._now())
            sent, reusable = True, False
            conn.on_received = limit.note_received if longest_s is not None else None
            try:
                status, answer, reusable = exchange(
                    address, conn, method, path, raw, headers=headers
                )
            finally:
                connections.release(conn, generation, self._now(), reusable=reusable)
        except (NotStarted, MaybeStarted, AnswerTimeout) as exc:
            received = conn.received if conn is not None else 0
            message = f"{type(exc).__name__}: {exc}, {received} bytes received"
            raise NoResponse(message[:120], sent=sent) from exc
        finally:
            limit.cancel()
        return status, answer

    def _connections(self, address):
        connections = self._addresses.get(address)
        if connections is None:
            connections = self._addresses[address] = ConnectionPool(
                address,
                limit=self._limit,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                idle_s=self._idle_s,
                counts=self.counts,
            )
        return connections

    def retire(self, address):
        """Reuse none of the open connections to an address."""
        connections = self._addresses.get(address)
        if connections is not None:
            connections.retire()
