"""HTTP calls with JSON bodies, to the store and to workers."""

import time

import msgspec
import urllib3

from burdocklug.store import Connections

__all__ = ["Caller", "NoAnswer"]

CONNECT_ERRORS = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
JSON_HEADERS = {"Content-Type": "application/json"}
MAX_CONNECT_S = 0.5  # a healthy address accepts within two one-way trips

encode_json = msgspec.json.Encoder().encode


class NoAnswer(Exception):
    """No whole answer came; `sent` says whether the call may have arrived."""

    def __init__(self, message, *, sent):
        super().__init__(message)
        self.sent = sent


class Caller:
    """Keeps connections by address.

    Parameters
    ----------
    max_age_s : float
        Age after which connections are replaced, in seconds.
    now : callable, optional
        Returns monotonic seconds.
    """

    def __init__(self, *, max_age_s, now=time.monotonic):
        self._max_age_s = max_age_s
        self._now = now
        self._connections = {}

    def call(self, address, method, path, body=None, *, timeout_s, headers=None):
        """Return the status and the body of an answer.

        Raises
        ------
        NoAnswer
            If none came within `timeout_s` seconds.
        """
        connections = self._connections.get(address)
        if connections is None:
            connections = Connections(address, max_age_s=self._max_age_s)
            self._connections[address] = connections
        pool = connections.pool(self._now())
        timeout = urllib3.Timeout(connect=min(timeout_s, MAX_CONNECT_S), read=timeout_s)
        try:
            answer = pool.urlopen(
                method,
                path,
                body=None if body is None else encode_json(body),
                headers={**JSON_HEADERS, **headers} if headers else JSON_HEADERS,
                retries=False,
                redirect=False,
                timeout=timeout,
            )
        except CONNECT_ERRORS as exc:
            raise NoAnswer(f"{address} not reached: {type(exc).__name__}", sent=False) from exc
        except urllib3.exceptions.HTTPError as exc:
            connections.retire(pool)
            raise NoAnswer(f"{address}: {type(exc).__name__}", sent=True) from exc
        return answer.status, answer.data

    def retire(self, address):
        """Use no open connection to an address again."""
        connections = self._connections.pop(address, None)
        if connections is not None:
            connections.close()
