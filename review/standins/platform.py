"""Stand-in for the users' platform: metadata store and workers, as the users' pages describe them.

``python3 -m review.standins.platform SPEC`` reads a JSON file with ``store`` (an address) and
``workers``: rows of ``id``, ``zone``, ``rack``, ``listen``, ``address`` (the one that is
registered), ``cpu``, ``guards`` and ``stop_ms``. Beside the platform's calls, the store's address
takes ``PUT /operator/KEY``, ``GET /runs`` and ``POST /drain/ID``.
"""

import asyncio
import base64
import json
import random
import sys
import time
import urllib.parse

HOLD_MAX_MS = 1000
MAX_WAIT_MS = 2000
HEARTBEAT_S = 1.5


class Store:
    """Keys with revisions, leases, and a history that watches read."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write a key."""
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

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def expire(self):
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease in [n for n, (_ttl, end) in self.leases.items() if end < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys; return whether there was one."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)
        return True

    async def call(self, method, path, query, body):
        """Return status and answer of a call of the store."""
        self.expire()
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            items = [self.items[k] for k in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": items, "has_more": more, "current_rev": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = max(1000, int(body["ttl_ms"]))
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        return self._lease_call(path, int(path.rpartition("/")[2]))

    def _lease_call(self, path, lease):
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        return (200, {}) if self.end_lease(lease) else (404, {})

    async def _watch(self, query):
        end = time.monotonic() + min(30_000, int(query.get("wait_ms", 0))) / 1000
        prefix, after = query["prefix"], int(query["after"])
        while True:
            events = [
                e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except TimeoutError:
                self.expire()

    def _transact(self, body):
        rows = body.get("precondition") or []
        held = [self.items.get(row["key"]) for row in rows]
        if [item["revision"] if item else 0 for item in held] != [r["revision"] for r in rows]:
            return 412, {"items": [item for item in held if item]}
        writes, deletes = body.get("writes") or [], body.get("deletes") or []
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        if any(k.startswith(("op/", "servers/")) for k in [w["key"] for w in writes] + deletes):
            return 403, {}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in deletes:
            self.delete(key)
        return 200, {"revision": self.revision}


class Worker:
    """One worker; a task's spec ``run S`` says for how many seconds it works."""

    def __init__(self, row, runs):
        self.row = row
        self.id = row["id"]
        self.born = int(time.time() * 1000)
        self._zero_s = time.monotonic() - random.uniform(100.0, 500.0)
        self.sequence = 0
        self.draining = False
        self.fence = 0
        self.lease_ms = 0
        self.active = {}
        self.highest = {}
        self.ends = []
        self.count = 0
        self.listed = asyncio.Event()
        self.runs = runs

    def now_ms(self):
        """Return the worker's own steady clock."""
        return int((time.monotonic() - self._zero_s) * 1000)

    def entry(self):
        """Return what the worker registers about itself."""
        self.sequence += 1
        return {
            "service": "press-control",
            "address": self.row["address"],
            "zone": self.row["zone"],
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.row["cpu"], "mem_mb": 32768, "gpu": 0},
            "labels": ["a", self.row["rack"]],
            "born": self.born,
        }

    async def live(self):
        """End runs that are done, stopped or without a lease; runs until it is cancelled."""
        while True:
            self.advance()
            await asyncio.sleep(0.002)

    def advance(self):
        """End what is over by now."""
        now = time.monotonic()
        lapsed = self.now_ms() >= self.lease_ms
        for key, run in list(self.active.items()):
            if now >= run["done_s"]:
                self._end(key, "done")
            elif run["stop_s"] is not None and now >= run["stop_s"]:
                self._end(key, "stopped")
            elif lapsed:
                self._end(key, "lapsed")

    def _end(self, key, how):
        run = self.active.pop(key)
        run["record"]["end"], run["record"]["how"] = time.monotonic(), how
        self.count += 1
        task, attempt = key
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.ends.append([self.count, task, attempt, how, ""])
        self.listed.set()
        self.listed = asyncio.Event()

    def _extend(self, body):
        if "deadline_ms" in body:
            self.lease_ms = max(
                self.lease_ms, min(body["deadline_ms"], self.now_ms() + HOLD_MAX_MS)
            )

    async def call(self, path, body):
        """Return status and answer of an order."""
        self.advance()
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/hold":
            return await self._hold(body)
        return 404, {}

    def _start(self, body):
        task, attempt = body["task"], body["attempt"]
        if body["deadline_ms"] <= self.now_ms():
            return 409, {"reason": "late"}
        self._extend(body)
        if (task, attempt) in self.active:
            return 200, {}
        if attempt <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        used = sum(run["cpu"] for run in self.active.values())
        words = dict(zip(*[iter(body["spec"].split())] * 2, strict=False))
        cpu = int(words.get("cpu", 2000))
        if self.row["guards"] and used + cpu > self.row["cpu"]:
            return 409, {"reason": "room"}
        step = task.split(".")[2]
        seconds = float(words.get(f"run{step}", words.get("run", 0.05)))
        now = time.monotonic()
        record = {"worker": self.id, "zone": self.row["zone"], "task": task, "attempt": attempt}
        record |= {"start": now, "end": None, "how": None, "used": used + cpu}
        self.runs.append(record)
        self.active[task, attempt] = {
            "began_s": now,
            "done_s": now + seconds,
            "stop_s": None,
            "cpu": cpu,
            "record": record,
        }
        return 200, {}

    def _stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        for (name, number), run in self.active.items():
            if name == task and number <= attempt and run["stop_s"] is None:
                run["stop_s"] = time.monotonic() + self.row["stop_ms"] / 1000
        return 200, {}

    async def _hold(self, body):
        self._extend(body)
        acked = body.get("acked_through", 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        end = time.monotonic() + min(MAX_WAIT_MS, body.get("wait_ms", 0)) / 1000
        while not self.ends and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.listed.wait(), end - time.monotonic())
            except TimeoutError:
                break
        self.advance()
        now = time.monotonic()
        active = [
            [task, attempt, "", _percent(run, now), run["cpu"]]
            for (task, attempt), run in self.active.items()
        ]
        return 200, {"active": active, "ended": self.ends[:500]}


def _percent(run, now):
    total = max(run["done_s"] - run["began_s"], 0.001)
    return min(100, int(100 * (now - run["began_s"]) / total))


async def _serve(address, handle):
    """Serve HTTP/1.1 with JSON bodies on keep-alive connections."""

    async def connection(reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line.strip():
                    return
                method, target, _version = line.decode().split()
                headers = {}
                while (header := (await reader.readline()).strip()) != b"":
                    name, _, value = header.decode().partition(":")
                    headers[name.lower()] = value.strip()
                raw = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                status, answer = await handle(
                    method,
                    path,
                    dict(urllib.parse.parse_qsl(query)),
                    headers,
                    json.loads(raw) if raw else {},
                )
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, ValueError):
            return
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(connection, host, int(port), backlog=1024)


def _store_handler(store, workers, runs):
    async def handle(method, path, query, _headers, body):
        if path.startswith("/kv-"):
            return await store.call(method, path, query, body)
        if path.startswith("/operator/"):
            store.put(path.removeprefix("/operator/"), json.dumps(body).encode())
        elif path.startswith("/drain/"):
            workers[path.rpartition("/")[2]].draining = True
            _register(store, workers[path.rpartition("/")[2]])
        elif path == "/runs":
            return 200, {"runs": runs}
        return 200, {}

    return handle


def _worker_handler(worker):
    async def handle(_method, path, _query, headers, body):
        if headers.get("x-expect-instance", worker.id) != worker.id:
            return 421, {}
        status, answer = await worker.call(path, body)
        return status, {**answer, "clock_ms": worker.now_ms(), "born": worker.born}

    return handle


def _register(store, worker):
    store.put(f"servers/{worker.id}", json.dumps(worker.entry()).encode())


async def serve(spec):
    """Serve the store and the workers until the process is ended."""
    store, runs = Store(), []
    workers = {row["id"]: Worker(row, runs) for row in spec["workers"]}
    servers = [await _serve(spec["store"], _store_handler(store, workers, runs))]
    for worker in workers.values():
        servers.append(await _serve(worker.row["listen"], _worker_handler(worker)))
        _register(store, worker)
    await asyncio.gather(*(worker.live() for worker in workers.values()))


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as spec_file:
        asyncio.run(serve(json.load(spec_file)))
