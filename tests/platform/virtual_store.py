"""Store of records in virtual time, for deployments of whole processes in one test."""

import collections
import json
from dataclasses import dataclass

import eventlet

from burdocklug.store import (
    DeletedRecord,
    LeaseEnded,
    Record,
    RecordStore,
    RevisionCompacted,
    StoreUnavailable,
)

__all__ = ["VirtualRecords", "VirtualStore"]

POLL_S = 0.01
ANSWER_S = 0.004
IDLE_S = 15.0  # idle connections are closed after this time
TIMEOUT_S = 1.0  # longest wait for an answer, in addition to that of a watch
HOST = "press.example"


@dataclass(eq=False)
class Connection:
    """A connection to the store, and when it last carried anything."""

    used_s: float
    is_silent: bool = False


class VirtualStore:
    """The records and their history; `compacted` is the last revision that is not kept."""

    def __init__(self, now):
        self.now = now
        self.revision = 0
        self.records = {}
        self.events = []
        self.compacted = 0
        self.connections = []
        self.answer_s = ANSWER_S
        self.leases = {}  # end and keys of each lease, by its id
        self._lease_count = 0
        self.shown = None  # records and revision of stale answers; None for current ones

    def put(self, key, value):
        self.revision += 1
        record = Record(key, value, self.revision)
        self.records[key] = record
        self.events.append(record)

    def delete(self, key):
        self.revision += 1
        self.records.pop(key, None)
        self.events.append(DeletedRecord(key, self.revision))

    def grant_lease(self, ttl_s):
        self._lease_count += 1
        self.leases[self._lease_count] = [self.now() + ttl_s, ttl_s, set()]
        return self._lease_count, ttl_s

    def keep_lease(self, lease):
        self.end_lapsed()
        if lease not in self.leases:
            raise LeaseEnded(lease)
        self.leases[lease][0] = self.now() + self.leases[lease][1]
        return True

    def end_lease(self, lease):
        if lease not in self.leases:
            raise LeaseEnded(lease)
        for key in self.leases.pop(lease)[2]:
            self.delete(key)
        return True

    def put_leased(self, key, value, lease):
        if lease:
            self.keep_lease(lease)
            self.leases[lease][2].add(key)
        self.put(key, value)
        return True

    def end_lapsed(self):
        for lease in [n for n, row in self.leases.items() if row[0] < self.now()]:
            self.end_lease(lease)

    def silence_connections(self, *, idle_s=0.0):
        """Let open connections go silent that carried nothing for some time; new ones work."""
        for conn in self.connections:
            conn.is_silent |= self.now() - conn.used_s >= idle_s
        self.connections = [conn for conn in self.connections if not conn.is_silent]

    def drop_history(self):
        """Forget all changes so far, as a compaction does."""
        self.compacted = self.revision

    def show_present_state(self):
        """Answer all reads with the present state, whatever changes, until `shown` is None."""
        self.shown = (list(self.records.values()), self.revision)

    def evacuate(self, domain, *, value=b"{}"):
        """Write an operator's request to start nothing in a failure domain."""
        self.put(f"op/evacuate/{domain}", value)

    def take_back(self, domain):
        """Remove the request."""
        self.delete(f"op/evacuate/{domain}")

    def put_worker(self, name, domain, *, state="ready", **changes):
        number = 1 + sum(key.startswith("servers/") for key in self.records)
        fields = {
            "service": "press-control",
            "address": f"10.1.0.{number}:80",
            "zone": domain,
            "state": state,
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            **changes,
        }
        self.put(f"servers/{name}", json.dumps(fields).encode())

    def delete_worker(self, name):
        """Delete a worker's entry, as when it has lapsed."""
        self.delete(f"servers/{name}")

    def set_worker_state(self, name, state):
        """Change the state in a worker's entry."""
        fields = json.loads(self.records[f"servers/{name}"].value)
        self.put(f"servers/{name}", json.dumps({**fields, "state": state}).encode())

    def put_configuration(self, version, *, prefixes=("/press/",)):
        routes = [
            {
                "name": f"r{prefix}",
                "host": HOST,
                "prefix": prefix,
                "service": "press-control",
                "max_attempts": 3,
                "stretch_factor": 3.0,
                "target_duration_ms": 10000,
            }
            for prefix in prefixes
        ]
        value = {"version": version, "routes": routes, "services": [{"name": "press-control"}]}
        self.put("op/config", json.dumps(value).encode())


def _answer_bytes(result):
    """Return the size of an answer, in which values are in base64."""
    records = result[0] if isinstance(result, tuple) and isinstance(result[0], list) else []
    return sum(len(getattr(record, "value", b"")) * 4 // 3 for record in records)


class VirtualRecords(RecordStore):
    """Client of one process, which reuses its connections as `JsonClient` does."""

    def __init__(self, store, links, name):
        self._idle = []
        self._is_receiving = collections.Counter()
        self._store = store
        self._links = links
        self._name = name

    def is_receiving(self, prefix):
        return self._is_receiving[prefix] > 0

    def _call(self, answer, *, wait_s=0.0):
        began_s, prefix = self._store.now(), getattr(answer, "prefix", None)
        conn = self._connect()
        with eventlet.Timeout(TIMEOUT_S + wait_s, StoreUnavailable("no response")) as limit:

            def extend():
                limit.cancel()
                limit.start()

            try:
                eventlet.sleep(self._store.answer_s)
                while True:
                    is_open = self._links.is_open(self._name, "store")
                    if is_open and not conn.is_silent:
                        result = answer(self._store.now() - began_s >= wait_s)
                        if result is not None:
                            size = _answer_bytes(result)
                            self._is_receiving[prefix] += 1
                            try:
                                self._links.carry("store", self._name, size, on_piece=extend)
                            finally:
                                self._is_receiving[prefix] -= 1
                            conn.used_s = self._store.now()
                            self._idle.append(conn)
                            return result
                    eventlet.sleep(POLL_S)
            except StoreUnavailable:
                self._idle.clear()
                raise

    def _connect(self):
        now_s = self._store.now()
        self._idle = [conn for conn in self._idle if now_s - conn.used_s < IDLE_S]
        conn = self._idle.pop() if self._idle else Connection(now_s)
        conn.used_s = now_s
        self._store.connections.append(conn)
        return conn

    def read(self, prefix):
        def answer(_is_late):
            store = self._store
            store.end_lapsed()
            records, revision = store.shown or (store.records.values(), store.revision)
            return [r for r in records if r.key.startswith(prefix)], revision

        return self._call(answer)

    def follow(self, prefix, after, *, wait_s):
        def answer(is_late):
            self._store.end_lapsed()
            if after < self._store.compacted:
                raise RevisionCompacted(prefix)
            if self._store.shown is not None:
                return ([], self._store.shown[1]) if is_late else None
            events = [
                e for e in self._store.events if e.key.startswith(prefix) and e.revision > after
            ]
            return (events, self._store.revision) if events or is_late else None

        answer.prefix = prefix
        return self._call(answer, wait_s=wait_s)

    def put(self, key, value, *, lease=0):
        self._call(lambda _late: self._store.put_leased(key, value, lease))

    def grant_lease(self, ttl_s):
        return self._call(lambda _late: self._store.grant_lease(ttl_s))

    def keep_lease(self, lease):
        self._call(lambda _late: self._store.keep_lease(lease))

    def end_lease(self, lease):
        self._call(lambda _late: self._store.end_lease(lease))
