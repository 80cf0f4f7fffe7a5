"""State of the platform's stand-in: the metadata store and the workers, with time as an argument.

Both follow the users' page on what is spoken; names on the wire are that page's.
"""

import base64
from collections import Counter
from dataclasses import dataclass, field

__all__ = ["MetadataStore", "Worker"]

MAX_HOLD_MS = 1000
HISTORY = 5000  # changes that a watch can go back


class MetadataStore:
    """Keys with revisions, leases and a history of changes.

    Examples
    --------
    >>> store = MetadataStore()
    >>> store.put("a", b"1", 0, now_s=0.0)
    2
    >>> [event["key"] for event in store.changes("a", 1)]
    ['a']
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.forgotten = 0
        self.leases = {}
        self.next_lease = 100
        self.calls = Counter()

    def put(self, key, value, lease, *, now_s):
        """Write a key and return the revision."""
        self.expire(now_s)
        self.revision += 1
        before = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_at": before["created_at"] if before else self.revision,
            "lease": lease,
        }
        self._note(self.items[key])
        return self.revision

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.history.append(event)
        if len(self.history) > HISTORY:
            self.forget_history(HISTORY // 2)

    def forget_history(self, keep=0):
        """Discard all but the last changes."""
        gone = self.history[: len(self.history) - keep]
        if gone:
            self.forgotten = gone[-1]["revision"]
            self.history = self.history[len(gone) :]

    def changes(self, prefix, after):
        """Return the changes under a prefix after a revision, None if they were discarded."""
        if after < self.forgotten:
            return None
        return [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]

    def grant(self, ttl_ms, *, now_s):
        """Return the number of a new lease."""
        self.next_lease += 1
        self.leases[self.next_lease] = [ttl_ms / 1000, now_s + ttl_ms / 1000]
        return self.next_lease

    def keep(self, lease, *, now_s):
        """Renew a lease; return its time in milliseconds, None if it has ended."""
        self.expire(now_s)
        if lease not in self.leases:
            return None
        ttl_s = self.leases[lease][0]
        self.leases[lease][1] = now_s + ttl_s
        return int(ttl_s * 1000)

    def end_lease(self, lease):
        """End a lease and remove its keys; return whether there was one."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)
        return True

    def expire(self, now_s):
        """End the leases whose time is over."""
        for lease in [n for n, (_ttl_s, end_s) in self.leases.items() if end_s < now_s]:
            self.end_lease(lease)

    def transact(self, body, *, now_s):
        """Carry out a transaction; return status and answer."""
        self.expire(now_s)
        rows = body.get("precondition", [])
        held = [self.items.get(row["key"]) for row in rows]
        revisions = [item["revision"] if item else 0 for item in held]
        if revisions != [row["revision"] for row in rows]:
            return 412, {"items": [item for item in held if item]}
        writes = body.get("writes", [])
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in writes):
            return 404, {}
        if any(w["key"].startswith(("op/", "servers/")) for w in writes):
            return 403, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0), now_s=now_s)
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


@dataclass
class Worker:
    """One worker: runs under leases, ends that are listed until they are acknowledged.

    `spec` of a start tells how long the run takes, ``run 0.2``, and whether it fails, ``fail``.
    """

    worker_id: str
    capacity: dict
    born: int = 1
    fence: int = 0
    lease_ms: int = 0
    acked: int = 0
    count: int = 0
    draining: bool = False
    runs: dict = field(default_factory=dict)
    highest: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    starts: list = field(default_factory=list)
    ended: list = field(default_factory=list)  # task, attempt, how and when, for tests

    def advance(self, now_ms):
        """End the runs whose time, or whose lease, is over."""
        for name, run in list(self.runs.items()):
            if now_ms >= run["ends_ms"] and run["ends_ms"] <= self.lease_ms:
                self._end(name, "failed" if run["fails"] else "done", run["ends_ms"])
            elif now_ms > self.lease_ms:
                self._end(name, "lapsed", self.lease_ms)

    def crash(self, now_ms):
        """Return the next life of this worker, which knows nothing of what ran."""
        self.advance(now_ms)
        for name in list(self.runs):
            self._end(name, "crashed", now_ms)
        return Worker(
            self.worker_id,
            self.capacity,
            born=self.born + 1,
            starts=self.starts,
            ended=self.ended,
        )

    def _end(self, name, how, at_ms):
        run = self.runs.pop(name)
        self.ended.append([name, run["attempt"], how, at_ms])
        self.count += 1
        self.highest[name] = max(self.highest.get(name, 0), run["attempt"])
        self.ends.append([self.count, name, run["attempt"], how, ""])

    def start(self, body, now_ms):
        """Carry out an order to start; return status and answer."""
        self.advance(now_ms)
        name, attempt = body["task"], body["attempt"]
        refusal = self._refusal(body, now_ms)
        if refusal in (None, "room", "old"):
            self._extend(body["deadline_ms"], now_ms)
        if refusal is not None:
            return 409, {"reason": refusal}
        if name not in self.runs:
            seconds, fails = _work(body["spec"])
            ends_ms = now_ms + int(1000 * seconds)
            self.runs[name] = {
                "attempt": attempt,
                "began_ms": now_ms,
                "ends_ms": ends_ms,
                "fails": fails,
            }
            self.starts.append([name, attempt, now_ms])
        return 200, {}

    def _refusal(self, body, now_ms):
        if body.get("fencing_token", 0) < self.fence:
            return "fence"
        self.fence = max(self.fence, body.get("fencing_token", 0))
        if body["deadline_ms"] < now_ms:
            return "late"
        if body["attempt"] <= self.highest.get(body["task"], 0):
            return "old"
        is_full = len(self.runs) >= self.capacity["slots"]
        return "room" if is_full and body["task"] not in self.runs else None

    def _extend(self, deadline_ms, now_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, now_ms + MAX_HOLD_MS))

    def stop(self, body, now_ms):
        """Carry out an order to stop; return status and answer."""
        self.advance(now_ms)
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        name, attempt = body["task"], body["attempt"]
        self.highest[name] = max(self.highest.get(name, 0), attempt)
        if name in self.runs and self.runs[name]["attempt"] <= attempt:
            self._end(name, "stopped", now_ms)
        return 200, {}

    def begin_hold(self, body, now_ms):
        """Take in a hold; return a refusal, or None."""
        self.advance(now_ms)
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = max(self.fence, body.get("fencing_token", 0))
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"], now_ms)
        self.acked = max(self.acked, body.get("acked_through", 0))
        self.ends = [end for end in self.ends if end[0] > self.acked]
        return None

    def lists(self, now_ms):
        """Return what is active and what has ended."""
        active = [[name, r["attempt"], "", _percent(r, now_ms)] for name, r in self.runs.items()]
        return {"active": active, "ended": self.ends[:500]}


def _work(spec):
    words = spec.split()
    seconds = float(words[words.index("run") + 1]) if "run" in words else 0.05
    return seconds, "fail" in words


def _percent(run, now_ms):
    return min(100, 100 * (now_ms - run["began_ms"]) // max(1, run["ends_ms"] - run["began_ms"]))
