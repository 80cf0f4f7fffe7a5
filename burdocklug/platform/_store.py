"""The platform's metadata store as a `RecordStore`."""

import collections
import urllib.parse

import msgspec

from burdocklug.kernel import MalformedValue, decode_json
from burdocklug.platform._calls import JsonClient, NoResponse
from burdocklug.platform._ranges import Amount, Number
from burdocklug.store import (
    DeletedRecord,
    LeaseEnded,
    Record,
    RecordStore,
    RevisionCompacted,
    StoreUnavailable,
    StoreUncertain,
    record_stores,
)

__all__ = ["PlatformStore"]

STORE_IDLE_S = 15.0  # a device on the path may drop the state of a connection idle for longer
STORE_CONNECTIONS = 8  # three watches, and the calls of the registration
# Longest time for a response that keeps arriving: 1 MB in base64 at 1.1 Mbit/s.
LONGEST_RESPONSE_S = 10.0
NO_EFFECT_STATUSES = frozenset({403, 429, 503})  # 404, 410 and 412 raise `_Refused` instead


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: Number
    value: bytes = b""
    deleted: bool = False

    def to_change(self):
        if self.deleted:
            return DeletedRecord(self.key, self.revision)
        return Record(self.key, self.value, self.revision)


class _RangeAnswer(msgspec.Struct, frozen=True):
    items: list[_Item]
    current_rev: Number
    has_more: bool = False


class _WatchAnswer(msgspec.Struct, frozen=True):
    events: list[_Item]
    current_rev: Number


class _LeaseAnswer(msgspec.Struct, frozen=True):
    lease: Number
    ttl_ms: Amount


class _Refused(Exception):
    """The store refused the call, which had no effect; the status is the reason."""

    def __init__(self, status):
        super().__init__(f"status {status}")
        self.status = status


def _decode(raw, model):
    try:
        return decode_json(raw, model)
    except MalformedValue as exc:
        raise StoreUncertain(f"answer is not valid: {exc}") from exc


def decode_items(raw):
    """Return a page of records; raises `StoreUncertain` if it is not valid."""
    return _decode(raw, _RangeAnswer)


@record_stores.register("platform")
class PlatformStore(RecordStore):
    """Client of the platform's store.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    timeout_s : float
        Longest wait for the first byte of a response and for each further one, in seconds; for a
        watch, in addition to its `wait_s`.
    now : callable
        Returns monotonic seconds.
    """

    def __init__(self, address, *, timeout_s, now):
        self._address = address
        self._timeout_s = timeout_s
        self._receiving = collections.Counter()  # answers that are arriving, by prefix
        self._client = JsonClient(idle_s=STORE_IDLE_S, limit=STORE_CONNECTIONS, now=now)

    def read(self, prefix):
        """Return the records under a prefix and the store's revision at the first page."""
        records, after, revision = [], "", None
        while True:
            query = {"prefix": prefix, "after": after} if after else {"prefix": prefix}
            page = self._get("/kv-range", query, _RangeAnswer)
            records += [item.to_change() for item in page.items]
            revision = page.current_rev if revision is None else revision
            if not page.has_more or not page.items:
                return records, revision
            after = page.items[-1].key

    def follow(self, prefix, after, *, wait_s):
        """Wait for changes after a revision; return them and the current revision."""
        query = {"prefix": prefix, "after": after, "wait_ms": int(wait_s * 1000)}
        arriving = set()

        def note_received():
            if not arriving:
                arriving.add(prefix)
                self._receiving[prefix] += 1

        try:
            answer = self._get(
                "/kv-watch", query, _WatchAnswer, wait_s=wait_s, on_received=note_received
            )
        except _Refused as exc:
            if exc.status == 410:
                raise RevisionCompacted(prefix) from exc
            raise
        finally:
            self._receiving.subtract(arriving)
        return [item.to_change() for item in answer.events], answer.current_rev

    def is_receiving(self, prefix):
        """Return whether a part of the answer to a `follow` of this prefix has arrived, not all."""
        return self._receiving[prefix] > 0

    def put(self, key, value, *, lease=0):
        """Write a record unconditionally."""
        write = {"key": key, "value": value}
        if lease:
            write["lease"] = lease
        body = {"precondition": [], "writes": [write], "deletes": []}
        try:
            self._call("POST", "/kv-txn", body)
        except _Refused as exc:
            if exc.status == 404:
                raise LeaseEnded(lease) from exc
            raise

    def grant_lease(self, ttl_s):
        """Grant a lease; return its id and its time to live in seconds."""
        raw = self._call("POST", "/kv-lease", {"ttl_ms": int(ttl_s * 1000)})
        answer = _decode(raw, _LeaseAnswer)
        return answer.lease, answer.ttl_ms / 1000

    def keep_lease(self, lease):
        """Renew a lease."""
        self._lease_call("POST", f"/kv-keep/{lease}", lease)

    def end_lease(self, lease):
        """End a lease and delete its records."""
        self._lease_call("DELETE", f"/kv-lease-end/{lease}", lease)

    def _lease_call(self, method, path, lease):
        try:
            self._call(method, path, None)
        except _Refused as exc:
            if exc.status == 404:
                raise LeaseEnded(lease) from exc
            raise

    def _get(self, path, query, model, *, wait_s=0.0, on_received=None):
        raw = self._call(
            "GET",
            f"{path}?{urllib.parse.urlencode(query)}",
            None,
            wait_s=wait_s,
            on_received=on_received,
        )
        return _decode(raw, model)

    def _call(self, method, path, body, *, wait_s=0.0, on_received=None):
        try:
            status, raw = self._client.call(
                self._address,
                method,
                path,
                body,
                timeout_s=self._timeout_s + wait_s,
                longest_s=LONGEST_RESPONSE_S + wait_s,
                on_received=on_received,
            )
        except NoResponse as exc:
            if exc.sent:
                self._client.retire(self._address)
            if method == "GET" or not exc.sent:
                raise StoreUnavailable(str(exc)) from exc
            raise StoreUncertain(str(exc)) from exc
        if 200 <= status < 300:
            return raw
        if status in (404, 410, 412):
            raise _Refused(status)
        if status in NO_EFFECT_STATUSES or method == "GET":
            raise StoreUnavailable(f"{path.partition('?')[0]}: status {status}")
        raise StoreUncertain(f"{path}: status {status}")
