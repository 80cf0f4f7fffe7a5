"""First cut of the store's client."""

import base64
from dataclasses import dataclass

import msgspec
import urllib3

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = [
    "Entry",
    "HostList",
    "HttpStore",
    "StoreUnavailable",
    "StoreUncertain",
    "VersionMismatch",
    "merge_host_lists",
]


@dataclass(frozen=True, slots=True)
class Entry:
    """One value of the store."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts."""

    version: int
    live: frozenset
    leaving: frozenset


def merge_host_lists(one, two):
    """Return the newer list."""
    return max(one, two, key=lambda hosts: hosts.version)


class StoreUnavailable(BurdocklugError):
    """Nothing was written."""

    def __init__(self, message):
        super().__init__(ErrorKind.PLATFORM_UNAVAILABLE, message)


class StoreUncertain(BurdocklugError):
    """The write may have taken effect."""

    def __init__(self, message):
        super().__init__(ErrorKind.PLATFORM_UNAVAILABLE, message, ran="unknown")


class VersionMismatch(BurdocklugError):
    """The key has another version."""

    def __init__(self, message, current):
        super().__init__(ErrorKind.TICKET_CONFLICT, message)
        self.current = current


class HttpStore:
    """The store over HTTP."""

    def __init__(self, addresses, *, timeout_s):
        self._address = addresses[0]
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False, maxsize=16)

    def _call(self, kind, body, *, purpose, timeout_s=None, write=False):
        try:
            response = self._pool.request(
                "POST",
                f"http://{self._address}/v1/{kind}",
                body=msgspec.json.encode({**body, "purpose": purpose}),
                timeout=timeout_s or self._timeout_s,
            )
            answer = msgspec.json.decode(response.data)
        except urllib3.exceptions.NewConnectionError as exc:
            raise StoreUnavailable(str(exc)) from exc
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
            raise (StoreUncertain if write else StoreUnavailable)(str(exc)) from exc
        if response.status == 409:
            raise VersionMismatch(f"{body['key']}", _entry(answer.get("current")))
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")
        return answer

    def get(self, key, *, purpose):
        """Return the entry of a key."""
        return _entry(self._call("get", {"key": key}, purpose=purpose)["entry"])

    def put(self, key, value, *, expected_version, lease_id=None, purpose):
        """Write a key."""
        body = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "expected_version": expected_version,
            "lease_id": lease_id,
        }
        return _entry(self._call("put", body, purpose=purpose, write=True)["entry"])

    def grant_lease(self, ttl_s, *, purpose):
        """Return a new lease."""
        return self._call("grant_lease", {"ttl_s": ttl_s}, purpose=purpose)["lease_id"]

    def watch(self, key, *, after_version, timeout_s, purpose):
        """Wait for a newer entry."""
        body = {"key": key, "after_version": after_version, "timeout_s": timeout_s}
        answer = self._call("watch", body, purpose=purpose, timeout_s=timeout_s + 2)
        return _entry(answer["entry"])

    def hosts(self, *, purpose):
        """Return the list of hosts."""
        answer = self._call("hosts", {}, purpose=purpose)
        return HostList(answer["version"], frozenset(answer["live"]), frozenset(answer["leaving"]))


def _entry(value):
    if value is None:
        return None
    return Entry(value["key"], base64.b64decode(value["value"]), value["version"])
