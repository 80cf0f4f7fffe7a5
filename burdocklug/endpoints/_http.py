"""The endpoint protocol over HTTP with JSON bodies."""

import time
import urllib.parse
from collections import Counter

import eventlet
import msgspec

from burdocklug.endpoints._answers import (
    read_ask_response,
    read_start_response,
    read_status_response,
)
from burdocklug.endpoints._coarse_timers import CoarseTimers
from burdocklug.endpoints._connections import ConnectionPool, exchange, open_connection
from burdocklug.endpoints._models import EndpointUnresponsive, MaybeStarted, NotStarted
from burdocklug.endpoints._protocol import EndpointProtocol, endpoint_protocols

__all__ = ["HttpEndpoints"]

DEFAULT_MAX_CONNECTIONS = 8  # per endpoint
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 15.0


@endpoint_protocols.register("http")
class HttpEndpoints(EndpointProtocol):
    """Implementation of `EndpointProtocol` over HTTP.

    Parameters
    ----------
    max_connections : int
        Largest number of connections for starts that are open to one endpoint at once.
    connect_timeout_s : float
        Seconds until opening a connection fails.
    idle_s : float
        Seconds after which an unused connection is closed.
    now : callable
        Returns monotonic seconds.
    timers : CoarseTimers, optional
        Enforce the timeouts of calls.

    Attributes
    ----------
    counts : collections.Counter
        Connections opened, connections closed by cause, and requests sent by kind.
    """

    def __init__(
        self,
        *,
        max_connections=DEFAULT_MAX_CONNECTIONS,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        idle_s=IDLE_TIMEOUT_S,
        now=time.monotonic,
        timers=None,
    ):
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.idle_s = idle_s
        self.now = now
        self.counts = Counter()
        self.timers = timers or CoarseTimers()
        self._connections = {}

    def start(self, address, attempt, *, timeout_s):
        """Start an attempt; see `EndpointProtocol.start`."""
        body = msgspec.json.encode(
            {
                "task_id": attempt.task_id,
                "service": attempt.service,
                "payload": attempt.payload,
                "deadline_s": attempt.deadline_s,
            }
        )
        path = f"/v1/attempts/{urllib.parse.quote(attempt.attempt_id, safe='')}"
        self.counts["starts"] += 1
        with _time_limit(address, timeout_s, self.timers) as limit:
            connections = self._connections_to(address)
            conn, generation = connections.acquire(self.now())
            limit.sent = True
            reusable = False
            try:
                status, response, reusable = exchange(address, conn, "POST", path, body)
            finally:
                connections.release(conn, generation, self.now(), reusable=reusable)
        return read_start_response(address, attempt, status, response)

    def _connections_to(self, address):
        connections = self._connections.get(address)
        if connections is None:
            connections = self._connections[address] = ConnectionPool(
                address,
                limit=self.max_connections,
                connect_timeout_s=self.connect_timeout_s,
                idle_s=self.idle_s,
                counts=self.counts,
            )
        return connections

    def _call_on_new_connection(self, address, method, path, body, timeout_s):
        try:
            with _time_limit(address, timeout_s, self.timers) as limit:
                conn = open_connection(address, min(timeout_s, self.connect_timeout_s))
                self.counts["opened"] += 1
                limit.sent = True
                try:
                    return exchange(address, conn, method, path, body)
                finally:
                    conn.close()
        except NotStarted as exc:
            raise EndpointUnresponsive(exc.reason, exc.message) from exc
        except MaybeStarted as exc:
            raise EndpointUnresponsive(exc.cause, exc.message) from exc

    def query_attempt(self, address, attempt_id, *, timeout_s, wait_s=0.0):
        """Query an attempt's state on a new connection; see `EndpointProtocol.query_attempt`."""
        path = f"/v1/attempts/{urllib.parse.quote(attempt_id, safe='')}/fence"
        body = msgspec.json.encode({"wait_s": wait_s})
        self.counts["asks"] += 1
        status, response, _ = self._call_on_new_connection(address, "POST", path, body, timeout_s)
        return read_ask_response(address, attempt_id, status, response)

    def cancel(self, address, attempt_ids, *, timeout_s):
        """Cancel attempts with one request; see `EndpointProtocol.cancel`."""
        body = msgspec.json.encode({"attempt_ids": list(attempt_ids)})
        self.counts["cancels"] += 1
        status, _, _ = self._call_on_new_connection(address, "POST", "/v1/cancel", body, timeout_s)
        if status != 200:
            raise EndpointUnresponsive(
                "status", f"endpoint {address} answered {status} to a cancel"
            )

    def status(self, address, *, timeout_s):
        """Return the load of an endpoint; see `EndpointProtocol.status`."""
        self.counts["status"] += 1
        status, response, _ = self._call_on_new_connection(
            address, "GET", "/v1/status", b"", timeout_s
        )
        return read_status_response(address, status, response)

    def close_idle(self, now_s):
        """Close connections that have been idle for at least `idle_s` seconds.

        Parameters
        ----------
        now_s : float
            Monotonic seconds, by the same clock as `now`.
        """
        for address, connections in list(self._connections.items()):
            connections.close_idle(now_s)
            if connections.is_unused():
                del self._connections[address]

    def retire(self, address):
        """Stop using the connections open to `address`; requests in flight are still completed."""
        connections = self._connections.get(address)
        if connections is not None:
            connections.retire()


class _time_limit:  # noqa: N801
    """Context manager that interrupts a block after a timeout.

    Raises `NotStarted` if `sent` is still false then, else `MaybeStarted`.

    Parameters
    ----------
    address : str
        The endpoint, for the error message.
    timeout_s : float
        Seconds until the block is interrupted.
    timers : CoarseTimers
        Calls back at the timeout.
    """

    __slots__ = ("address", "expiry", "owner", "sent", "timeout_s", "timer")

    def __init__(self, address, timeout_s, timers):
        self.address = address
        self.timeout_s = timeout_s
        self.sent = False
        self.expiry = None
        self.owner = eventlet.getcurrent()
        self.timer = timers.after(timeout_s, self._expire)

    def _expire(self):
        self.expiry = _Expired()
        self.owner.throw(self.expiry)

    def __enter__(self):
        return self

    def __exit__(self, _kind, exc, _trace):
        self.timer.cancel()
        if exc is None or exc is not self.expiry:
            return
        message = f"call to {self.address} not completed within {self.timeout_s} s"
        if self.sent:
            raise MaybeStarted("timeout", message) from exc
        raise NotStarted("refused", message) from exc


class _Expired(BaseException):
    """Interrupts a block at its timeout."""
