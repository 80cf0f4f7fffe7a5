"""Endpoints over HTTP with JSON bodies, by urllib3."""

import time
import urllib.parse
from collections import Counter

import eventlet
import msgspec
import urllib3

from burdocklug.endpoints._answers import (
    read_ask_answer,
    read_start_answer,
    read_status_answer,
)
from burdocklug.endpoints._models import EndpointSilent, MaybeStarted, NotStarted
from burdocklug.endpoints._protocol import EndpointProtocol, endpoint_protocols

__all__ = ["HttpEndpoints"]

DEFAULT_CONNECTIONS = 8
CONNECT_TIMEOUT_S = 1.0
IDLE_S = 15.0
HEADERS = {"Content-Type": "application/json"}


@endpoint_protocols.register("http")
class HttpEndpoints(EndpointProtocol):
    """The HTTP implementation of `EndpointProtocol`.

    Parameters
    ----------
    max_connections : int
        Connections that this process keeps open to one endpoint.
    connect_timeout_s : float
        Seconds until a connection attempt is given up.
    idle_s : float
        Seconds after which an unused connection is closed.
    now : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        max_connections=DEFAULT_CONNECTIONS,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        idle_s=IDLE_S,
        now=time.monotonic,
    ):
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.idle_s = idle_s
        self.now = now
        self.counts = Counter()
        self._pools = {}
        self._used_s = {}

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
        pool = self._pool(address)
        status, answer = self._send(address, pool, "POST", path, body, timeout_s)
        return read_start_answer(address, attempt, status, answer)

    def _send(self, address, pool, method, path, body, timeout_s):
        timeout = urllib3.Timeout(connect=min(self.connect_timeout_s, timeout_s), read=timeout_s)
        limit = eventlet.Timeout(timeout_s)
        try:
            answer = pool.urlopen(
                method,
                path,
                body=body,
                headers=HEADERS,
                retries=False,
                redirect=False,
                timeout=timeout,
                pool_timeout=timeout_s,
            )
            return answer.status, answer.data
        except urllib3.exceptions.EmptyPoolError as exc:
            raise NotStarted("full", f"no free connection to {address}") from exc
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise NotStarted("refused", f"endpoint {address} not reached: {exc}") from exc
        except urllib3.exceptions.ReadTimeoutError as exc:
            raise MaybeStarted("timeout", f"no answer from {address} in {timeout_s} s") from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise MaybeStarted("closed", f"connection to {address} failed: {exc}") from exc
        except eventlet.Timeout as exc:
            if exc is not limit:
                raise
            raise MaybeStarted("timeout", f"no answer from {address} in {timeout_s} s") from exc
        finally:
            limit.cancel()

    def _pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self._new_pool(address, self.max_connections)
        return pool

    def _new_pool(self, address, maxsize):
        host, _, port = address.rpartition(":")
        return urllib3.HTTPConnectionPool(host, int(port), maxsize=maxsize, block=True)

    def _question(self, address, method, path, body, timeout_s):
        pool = self._new_pool(address, 1)
        try:
            return self._send(address, pool, method, path, body, timeout_s)
        except NotStarted as exc:
            raise EndpointSilent("refused", exc.message) from exc
        except MaybeStarted as exc:
            raise EndpointSilent(exc.cause, exc.message) from exc
        finally:
            pool.close()

    def ask(self, address, attempt_id, *, timeout_s, wait_s=0.0):
        """Ask on a new connection; see `EndpointProtocol.ask`."""
        path = f"/v1/attempts/{urllib.parse.quote(attempt_id, safe='')}/fence"
        body = msgspec.json.encode({"wait_s": wait_s})
        status, answer = self._question(address, "POST", path, body, timeout_s)
        return read_ask_answer(address, attempt_id, status, answer)

    def cancel(self, address, attempt_ids, *, timeout_s):
        """Cancel attempts with one message; see `EndpointProtocol.cancel`."""
        body = msgspec.json.encode({"attempt_ids": list(attempt_ids)})
        status, _ = self._question(address, "POST", "/v1/cancel", body, timeout_s)
        if status != 200:
            raise EndpointSilent("status", f"endpoint {address} answered {status} to a cancel")

    def status(self, address, *, timeout_s):
        """Return the load of an endpoint; see `EndpointProtocol.status`."""
        status, answer = self._question(address, "GET", "/v1/status", None, timeout_s)
        return read_status_answer(address, status, answer)

    def close_idle(self, now_s):
        """Close connections that have been idle for `idle_s` seconds."""

    def retire(self, address):
        """Use no open connection to `address` again."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()
