"""Client of the key-value service over HTTP with JSON bodies."""

import time

import msgspec
import urllib3

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

MAX_CONNECT_S = 1.0

encode_json = msgspec.json.Encoder().encode


class EntryModel(msgspec.Struct, frozen=True):
    """An entry in an answer; the codec reads the value from base64."""

    key: str
    value: bytes
    version: int

    def to_entry(self):
        """Return the entry as the store interface has it."""
        return Entry(self.key, self.value, self.version)


class EntryAnswer(msgspec.Struct, frozen=True):
    """Answer to get, put and watch."""

    entry: EntryModel | None


class PutAnswer(msgspec.Struct, frozen=True):
    """Answer to put."""

    entry: EntryModel


class LeaseAnswer(msgspec.Struct, frozen=True):
    """Answer to grant_lease."""

    lease_id: str


class EmptyAnswer(msgspec.Struct, frozen=True):
    """Answer to delete and keep_lease."""


class HostsAnswer(msgspec.Struct, frozen=True):
    """Answer to hosts."""

    version: int
    live: frozenset[str]
    leaving: frozenset[str]


class MismatchAnswer(msgspec.Struct, frozen=True):
    """Body of status 409."""

    current: EntryModel | None


class NoAnswer(Exception):
    """A call got no valid answer; `sent` says whether it may have reached the store."""

    def __init__(self, message, *, sent):
        super().__init__(message)
        self.sent = sent


class StatusAnswer(Exception):
    """The store refused the call with a status that its protocol defines."""

    def __init__(self, status, body):
        super().__init__(f"status {status}")
        self.status = status
        self.body = body


@stores.register("http")
class HttpStore(Store):
    """Store over HTTP.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of the service, each ``IP:port``. Reads try each in turn. A write is tried at
        one address only; after a failure the next call starts at the next address.
    timeout_s : float
        Longest wait for an answer, seconds; a watch waits this much longer than its own time.
    now : callable, optional
        Returns monotonic seconds.

    Notes
    -----
    A timeout retires all open connections to the address, since those of the same age may have
    gone silent too; so does age, before something between the two ends loses track of them.
    """

    def __init__(self, addresses, *, timeout_s=2.0, now=time.monotonic):
        if not addresses:
            raise ValueError("no address of the platform's store")
        self._addresses = list(addresses)
        self._timeout_s = timeout_s
        self._first = 0
        self._now = now
        self._connections = [Connections(address) for address in self._addresses]

    def get(self, key, *, purpose):
        """Return the Entry of a key, or None; see `Store.get`."""
        answer = self._read("get", {"key": key, "purpose": purpose}, EntryAnswer)
        return answer.entry.to_entry() if answer.entry else None

    def watch(self, key, *, after_version, timeout_s, purpose):
        """Wait for a newer version of a key; see `Store.watch`."""
        body = {
            "key": key,
            "after_version": after_version,
            "timeout_s": timeout_s,
            "purpose": purpose,
        }
        answer = self._read("watch", body, EntryAnswer, wait_s=timeout_s)
        return answer.entry.to_entry() if answer.entry else None

    def hosts(self, *, purpose):
        """Return the platform's host list; see `Store.hosts`."""
        answer = self._read("hosts", {"purpose": purpose}, HostsAnswer)
        return HostList(answer.version, answer.live, answer.leaving)

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
        return self._write("put", body, PutAnswer).entry.to_entry()

    def delete(self, key, *, expected_version, purpose):
        """Delete a key by compare-and-swap; see `Store.delete`."""
        body = {"key": key, "expected_version": expected_version, "purpose": purpose}
        self._write("delete", body, EmptyAnswer)

    def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease; see `Store.grant_lease`."""
        body = {"ttl_s": ttl_s, "purpose": purpose}
        return self._write("grant_lease", body, LeaseAnswer).lease_id

    def keep_lease(self, lease_id, *, purpose):
        """Renew a lease; see `Store.keep_lease`."""
        self._write("keep_lease", {"lease_id": lease_id, "purpose": purpose}, EmptyAnswer)

    def close(self):
        """Close idle connections; the store stays usable."""
        for connections in self._connections:
            connections.close()

    def _read(self, kind, body, model, *, wait_s=0.0):
        faults = []
        for _ in self._addresses:
            index = self._first
            try:
                return self._call(index, kind, body, model, wait_s=wait_s)
            except StatusAnswer as exc:
                faults.append(f"{self._addresses[index]}: {exc}")
            except NoAnswer as exc:
                faults.append(f"{self._addresses[index]}: {exc}")
            self._skip(index)
        raise StoreUnavailable(f"{kind} failed: {'; '.join(faults)}")

    def _write(self, kind, body, model):
        index = self._first
        try:
            return self._call(index, kind, body, model)
        except NoAnswer as exc:
            self._skip(index)
            message = f"{kind} at {self._addresses[index]}: {exc}"
            raise (StoreUncertain if exc.sent else StoreUnavailable)(message) from exc
        except StatusAnswer as exc:
            raise self._refusal(index, exc, kind, body) from exc

    def _refusal(self, index, answer, kind, body):
        where = f"{kind} at {self._addresses[index]}: {answer}"
        if answer.status == 409:
            try:
                current = msgspec.json.decode(answer.body, type=MismatchAnswer).current
            except (msgspec.DecodeError, UnicodeDecodeError):
                return StoreUncertain(f"{where}, body is not valid")
            entry = current.to_entry() if current else None
            return VersionMismatch(body["key"], body["expected_version"], entry)
        if answer.status == 410:
            return LeaseExpired(body.get("lease_id"))
        self._skip(index)
        return StoreUnavailable(where)

    def _skip(self, failed):
        if self._first == failed:
            self._first = (failed + 1) % len(self._addresses)

    def _call(self, index, kind, body, model, *, wait_s=0.0):
        status, raw = self._exchange(index, kind, encode_json(body), wait_s)
        if status in (400, 404, 409, 410, 413, 503):
            raise StatusAnswer(status, raw)
        if status != 200:
            raise NoAnswer(f"status {status}", sent=True)
        try:
            return msgspec.json.decode(raw, type=model)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise NoAnswer(f"answer is not valid: {exc}", sent=True) from exc

    def _exchange(self, index, kind, raw, wait_s):
        timeout = urllib3.Timeout(
            connect=min(self._timeout_s, MAX_CONNECT_S), read=self._timeout_s + wait_s
        )
        connections = self._connections[index]
        pool = connections.pool(self._now())
        try:
            answer = pool.request(
                "POST", f"/v1/{kind}", body=raw, retries=False, redirect=False, timeout=timeout
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise NoAnswer(f"not reached: {type(exc).__name__}", sent=False) from exc
        except urllib3.exceptions.HTTPError as exc:
            connections.retire(pool)
            raise NoAnswer(f"no answer: {type(exc).__name__}", sent=True) from exc
        return answer.status, answer.data
