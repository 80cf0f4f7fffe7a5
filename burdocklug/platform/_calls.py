"""HTTP calls with JSON bodies, to the store and to workers."""

import collections
import time

import eventlet
import msgspec

from burdocklug.endpoints import ConnectionPool, MaybeStarted, NotStarted, exchange

__all__ = ["Caller", "NoAnswer"]

MAX_CONNECT_S = 0.5  # a healthy address accepts within two one-way trips

encode_json = msgspec.json.Encoder().encode


class NoAnswer(Exception):
    """No whole answer came; `sent` says whether the call may have arrived."""

    def __init__(self, message, *, sent):
        super().__init__(message)
        self.sent = sent


class _TimeIsUp(Exception):
    """Ends a call that had no answer in time."""


class Caller:
    """Keeps connections by address.

    Parameters
    ----------
    idle_s : float
        Seconds after which an unused connection is closed.
    limit : int
        Connections to one address at once, at most.
    now : callable, optional
        Returns monotonic seconds.
    """

    def __init__(self, *, idle_s, limit, now=time.monotonic):
        self.counts = collections.Counter()
        self._idle_s = idle_s
        self._limit = limit
        self._now = now
        self._addresses = {}

    def call(self, address, method, path, body=None, *, timeout_s, headers=b""):
        """Return the status and the body of an answer.

        Parameters
        ----------
        headers : bytes, optional
            Further header lines, each with its line end.

        Raises
        ------
        NoAnswer
            If none came within `timeout_s` seconds.
        """
        raw = b"" if body is None else encode_json(body)
        connections = self._connections(address)
        sent = False
        timeout = eventlet.Timeout(timeout_s, _TimeIsUp(f"{address}: none in {timeout_s:.2f} s"))
        try:
            conn, generation = connections.acquire(self._now())
            sent, reusable = True, False
            try:
                status, answer, reusable = exchange(
                    address, conn, method, path, raw, headers=headers
                )
            finally:
                connections.release(conn, generation, self._now(), reusable=reusable)
        except (NotStarted, MaybeStarted, _TimeIsUp) as exc:
            raise NoAnswer(f"{type(exc).__name__}: {exc}"[:120], sent=sent) from exc
        finally:
            timeout.cancel()
        return status, answer

    def _connections(self, address):
        connections = self._addresses.get(address)
        if connections is None:
            connections = self._addresses[address] = ConnectionPool(
                address,
                limit=self._limit,
                connect_timeout_s=MAX_CONNECT_S,
                idle_s=self._idle_s,
                counts=self.counts,
            )
        return connections

    def retire(self, address):
        """Use no open connection to an address again."""
        connections = self._addresses.get(address)
        if connections is not None:
            connections.retire()
