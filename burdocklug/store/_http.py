"""Client of the platform's key-value service over HTTP with JSON bodies."""

import time

import msgspec
import urllib3

from burdocklug.kernel import MalformedValue, decode_json
from burdocklug.store._connections import Connections
from burdocklug.store._store import (
    Entry,
    HostList,
    LeaseExpired,
    Store,
    StoreUnavailable,
    StoreUncertain,
    VersionMismatch,
    check_value_size,
    stores,
)

__all__ = ["HttpStore"]

MAX_CONNECT_TIMEOUT_S = 1.0

encode_json = msgspec.json.Encoder().encode


class EntryModel(msgspec.Struct, frozen=True):
    """An entry in a response; msgspec decodes the value from base64."""

    key: str
    value: bytes
    version: int

    def to_entry(self):
        """Convert the model to an Entry of the store interface."""
        return Entry(self.key, self.value, self.version)


class EntryResponse(msgspec.Struct, frozen=True):
    """Response to get and watch."""

    entry: EntryModel | None


class PutResponse(msgspec.Struct, frozen=True):
    """Response to put."""

    entry: EntryModel


class LeaseResponse(msgspec.Struct, frozen=True):
    """Response to grant_lease."""

    lease_id: str


class EmptyResponse(msgspec.Struct, frozen=True):
    """Response to delete and keep_lease."""


class HostsResponse(msgspec.Struct, frozen=True):
    """Response to hosts."""

    version: int
    live: frozenset[str]
    leaving: frozenset[str]


class MismatchResponse(msgspec.Struct, frozen=True):
    """Body of a response with status 409."""

    current: EntryModel | None


class NoValidResponse(Exception):
    """A call got no valid response; `sent` is False if it certainly did not reach the store."""

    def __init__(self, message, *, sent):
        super().__init__(message)
        self.sent = sent


class ErrorStatus(Exception):
    """The store refused the call with an HTTP status that its protocol defines."""

    def __init__(self, status, body):
        super().__init__(f"status {status}")
        self.status = status
        self.body = body


@stores.register("http")
class HttpStore(Store):
    """Client of a store over HTTP.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of the service, each ``IP:port``. A read tries each address in turn, a write
        only one; after a failure the next call starts at the next address.
    timeout_s : float
        Timeout for a response, in seconds; a watch adds its own timeout to it.
    now : callable, optional
        Returns monotonic seconds.

    Notes
    -----
    After a timeout the whole connection pool of the address is replaced, since other
    connections of the same age may be silent too. A pool is also replaced by age, before a
    middlebox drops the state of its connections.
    """

    def __init__(self, addresses, *, timeout_s=2.0, now=time.monotonic):
        if not addresses:
            raise ValueError("addresses of the platform's store are empty, expected at least one")
        self._addresses = list(addresses)
        self._timeout_s = timeout_s
        self._next_index = 0
        self._now = now
        self._connections = [Connections(address) for address in self._addresses]

    def get(self, key, *, purpose):
        """Return the Entry of a key, or None; see `Store.get`."""
        response = self._read("get", {"key": key, "purpose": purpose}, EntryResponse)
        return response.entry.to_entry() if response.entry else None

    def watch(self, key, *, after_version, timeout_s, purpose):
        """Wait for a newer version of a key; see `Store.watch`."""
        body = {
            "key": key,
            "after_version": after_version,
            "timeout_s": timeout_s,
            "purpose": purpose,
        }
        response = self._read("watch", body, EntryResponse, wait_s=timeout_s)
        return response.entry.to_entry() if response.entry else None

    def hosts(self, *, purpose):
        """Return the platform's host list; see `Store.hosts`."""
        response = self._read("hosts", {"purpose": purpose}, HostsResponse)
        return HostList(response.version, response.live, response.leaving)

    def put(self, key, value, *, expected_version, lease_id=None, purpose):
        """Write a value by compare-and-swap; see `Store.put`."""
        check_value_size(key, value)
        body = {
            "key": key,
            "value": value,
            "expected_version": expected_version,
            "lease_id": lease_id,
            "purpose": purpose,
        }
        return self._write("put", body, PutResponse).entry.to_entry()

    def delete(self, key, *, expected_version, purpose):
        """Delete a key by compare-and-swap; see `Store.delete`."""
        body = {"key": key, "expected_version": expected_version, "purpose": purpose}
        self._write("delete", body, EmptyResponse)

    def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease; see `Store.grant_lease`."""
        body = {"ttl_s": ttl_s, "purpose": purpose}
        return self._write("grant_lease", body, LeaseResponse).lease_id

    def keep_lease(self, lease_id, *, purpose):
        """Renew a lease; see `Store.keep_lease`."""
        self._write("keep_lease", {"lease_id": lease_id, "purpose": purpose}, EmptyResponse)

    def close(self):
        """Close idle connections; the store stays usable."""
        for connections in self._connections:
            connections.close()

    def _read(self, operation, body, model, *, wait_s=0.0):
        errors = []
        for _ in self._addresses:
            index = self._next_index
            try:
                return self._call(index, operation, body, model, wait_s=wait_s)
            except ErrorStatus as exc:
                errors.append(f"{self._addresses[index]}: {exc}")
            except NoValidResponse as exc:
                errors.append(f"{self._addresses[index]}: {exc}")
            self._switch_address_after(index)
        raise StoreUnavailable(f"{operation} failed: {'; '.join(errors)}")

    def _write(self, operation, body, model):
        index = self._next_index
        try:
            return self._call(index, operation, body, model)
        except NoValidResponse as exc:
            self._switch_address_after(index)
            message = f"{operation} at {self._addresses[index]}: {exc}"
            raise (StoreUncertain if exc.sent else StoreUnavailable)(message) from exc
        except ErrorStatus as exc:
            raise self._error_of_status(index, exc, operation, body) from exc

    def _error_of_status(self, index, error, operation, body):
        where = f"{operation} at {self._addresses[index]}: {error}"
        if error.status == 409:
            try:
                current = decode_json(error.body, MismatchResponse).current
            except MalformedValue:
                return StoreUncertain(f"{where}, invalid response body")
            entry = current.to_entry() if current else None
            return VersionMismatch(body["key"], body["expected_version"], entry)
        if error.status == 410:
            return LeaseExpired(body.get("lease_id"))
        self._switch_address_after(index)
        return StoreUnavailable(where)

    def _switch_address_after(self, failed_index):
        if self._next_index == failed_index:
            self._next_index = (failed_index + 1) % len(self._addresses)

    def _call(self, index, operation, body, model, *, wait_s=0.0):
        status, raw = self._post(index, operation, encode_json(body), wait_s)
        if status in (400, 404, 409, 410, 413, 503):
            raise ErrorStatus(status, raw)
        if status != 200:
            raise NoValidResponse(f"status {status}", sent=True)
        try:
            return decode_json(raw, model)
        except MalformedValue as exc:
            raise NoValidResponse(f"invalid response: {exc}", sent=True) from exc

    def _post(self, index, operation, raw, wait_s):
        timeout = urllib3.Timeout(
            connect=min(self._timeout_s, MAX_CONNECT_TIMEOUT_S), read=self._timeout_s + wait_s
        )
        connections = self._connections[index]
        pool = connections.pool(self._now())
        try:
            response = pool.request(
                "POST", f"/v1/{operation}", body=raw, retries=False, redirect=False, timeout=timeout
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise NoValidResponse(f"connection failed: {type(exc).__name__}", sent=False) from exc
        except urllib3.exceptions.HTTPError as exc:
            connections.retire(pool)
            raise NoValidResponse(f"no response: {type(exc).__name__}", sent=True) from exc
        return response.status, response.data
