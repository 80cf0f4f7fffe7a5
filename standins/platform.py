"""Stand-in for the users' platform: its metadata store and workers, in one process.

``python -m standins.platform --listen 127.0.0.1:9000 --workers 127.0.0.1:9100 --zones a,b`` serves
the store at the first address and, for each address after ``--workers``, one worker of the service
``press``, in the zones in turn. Their entries name the addresses after ``--advertised`` where these
are given. At the store's address there are also:

=========================  ===================================================================
``PUT /operator/KEY``      writes a key as the operator does
``DELETE /operator/KEY``   removes it
``GET /record``            starts and ends of every worker, and calls at the store by path
``POST /faults``           any fields of `Faults` to change
``POST /compact``          discards the store's history
``POST /worker/N/drain``   the worker N says that it leaves
``POST /worker/N/crash``   the worker N forgets everything and begins anew
=========================  ===================================================================
"""

import argparse
import json
import random
import time
import urllib.parse
import warnings
from dataclasses import dataclass

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402
import eventlet.wsgi  # noqa: E402
from eventlet.event import Event  # noqa: E402

from standins._http import MAX_CONNECTIONS, parse_address  # noqa: E402
from standins.platform_state import MetadataStore, Worker  # noqa: E402

__all__ = ["Faults", "PlatformServer", "main"]

BEAT_S = 0.5
HANG_S = 30.0
POLL_S = 0.02
LATE_S = (2.0, 4.0)  # bounds of the delay of a late order


@dataclass
class Faults:
    """Faults in force.

    `store_down` makes the store answer 503, `store_silent` never; `lost_writes` is the share of
    writes that are done and not answered; `lost_orders` the share of orders to workers that are
    neither carried out nor answered; `lost_answers` the share that are carried out; `late_orders`
    the share that are not answered and carried out `LATE_S` later.
    """

    store_down: bool = False
    store_silent: bool = False
    lost_writes: float = 0.0
    lost_orders: float = 0.0
    lost_answers: float = 0.0
    late_orders: float = 0.0


class PlatformServer:
    """Routes the calls of the platform's pages to their state.

    Parameters
    ----------
    workers : list of tuple
        Address and zone of each worker.
    seed : int, optional
        Of the faults that hit a share of the calls.
    """

    def __init__(self, workers, *, seed=1):
        self.store = MetadataStore()
        self.faults = Faults()
        self.workers = [Worker(f"i-{number:04x}", {"slots": 2}) for number in range(len(workers))]
        self._places = workers
        self._random = random.Random(seed)
        self._changed = Event()

    # Store

    def _tell(self):
        changed, self._changed = self._changed, Event()
        changed.send(None)

    def put(self, key, value):
        """Write a key as the operator or a worker does."""
        self.store.put(key, json.dumps(value).encode(), 0, now_s=time.monotonic())
        self._tell()

    def beat(self):
        """Let every worker write its entry now and then."""
        while True:
            for worker, (address, zone) in zip(self.workers, self._places, strict=True):
                self.put(f"servers/{worker.worker_id}", _entry(worker, address, zone))
            self.store.expire(time.monotonic())
            eventlet.sleep(BEAT_S)

    def serve_store(self, method, path, query, body):
        """Return status and answer of a call of the store."""
        self.store.calls[path] += 1
        if self.faults.store_silent:
            eventlet.sleep(HANG_S)
        if self.faults.store_down:
            return 503, {}
        status, answer = self._store_call(method, path, query, body)
        if method != "GET":
            self._tell()
            if self._random.random() < self.faults.lost_writes:
                eventlet.sleep(HANG_S)
        return status, answer

    def _store_call(self, method, path, query, body):
        store, now_s = self.store, time.monotonic()
        if path == "/kv-range":
            items = [i for k, i in sorted(store.items.items()) if k.startswith(query["prefix"])]
            return 200, {"items": items, "has_more": False, "current_rev": store.revision}
        if path == "/kv-watch":
            return self._watch(query)
        if path == "/kv-txn":
            return store.transact(body, now_s=now_s)
        if path == "/kv-lease":
            return 200, {
                "lease": store.grant(body["ttl_ms"], now_s=now_s),
                "ttl_ms": body["ttl_ms"],
            }
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            ttl_ms = store.keep(lease, now_s=now_s)
            return (404, {}) if ttl_ms is None else (200, {"ttl_ms": ttl_ms})
        return (200, {}) if store.end_lease(lease) else (404, {})

    def _watch(self, query):
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = self.store.changes(query["prefix"], int(query["after"]))
            if events is None:
                return 410, {}
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0 or self.faults.store_down:
                return 200, {"events": events, "current_rev": self.store.revision}
            with eventlet.Timeout(min(remaining_s, 1.0), False):
                self._changed.wait()

    # Workers

    def serve_worker(self, number, path, headers, body):
        """Return status and answer of an order."""
        worker = self.workers[number]
        if headers.get("HTTP_X_EXPECT_INSTANCE", worker.worker_id) != worker.worker_id:
            return 421, {}
        if self._random.random() < self.faults.lost_orders:
            eventlet.sleep(HANG_S)
        if self._random.random() < self.faults.late_orders:
            eventlet.spawn_after(self._random.uniform(*LATE_S), self._order, worker, path, body)
            eventlet.sleep(HANG_S)
        status, answer = self._order(worker, path, body)
        if self._random.random() < self.faults.lost_answers:
            eventlet.sleep(HANG_S)
        return status, {**answer, "clock_ms": _clock_ms(), "born": worker.born}

    def _order(self, worker, path, body):
        if path == "/run-start":
            return worker.start(body, _clock_ms())
        if path == "/run-stop":
            return worker.stop(body, _clock_ms())
        refusal = worker.begin_hold(body, _clock_ms())
        if refusal is not None:
            return refusal
        until_ms = _clock_ms() + body.get("wait_ms", 0)
        while not worker.ends and _clock_ms() < until_ms:
            eventlet.sleep(POLL_S / 4)
            worker.advance(_clock_ms())
        return 200, worker.lists(_clock_ms())

    # Control

    def control(self, method, path, body):
        """Return status and answer of a call of the test."""
        if path.startswith("/operator/"):
            key = path.removeprefix("/operator/")
            if method == "DELETE":
                self.store.delete(key)
                self._tell()
            else:
                self.put(key, body)
            return 200, {}
        if path == "/faults":
            for name, value in body.items():
                setattr(self.faults, name, value)
            return 200, {}
        if path == "/compact":
            self.store.forget_history()
            return 200, {}
        if path == "/record":
            for worker in self.workers:
                worker.advance(_clock_ms())
            starts = {w.worker_id: w.starts for w in self.workers}
            ends = {w.worker_id: w.ended for w in self.workers}
            return 200, {"starts": starts, "ends": ends, "calls": dict(self.store.calls)}
        _, _, number, action = path.split("/")
        worker = self.workers[int(number)]
        if action == "drain":
            worker.draining = True
        else:
            self.workers[int(number)] = worker.crash(_clock_ms())
        return 200, {}


def _entry(worker, address, zone):
    return {
        "service": "press",
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": worker.capacity["slots"],
        "state": "draining" if worker.draining else "ready",
        "capacity": {"cpu": 1000 * worker.capacity["slots"], "mem_mb": 4096, "gpu": 0},
        "labels": ["a", "r1-1"],
        "clock_ms": _clock_ms(),
        "born": worker.born,
    }


def _clock_ms():
    return int(time.monotonic() * 1000)


def _app(handle):
    def app(environ, start_response):
        raw = environ["wsgi.input"].read()
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        status, answer = handle(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            query,
            environ,
            json.loads(raw) if raw else {},
        )
        data = json.dumps(answer).encode()
        start_response(f"{status} -", [("Content-Length", str(len(data)))])
        return [data]

    return app


def _serve(address, handle):
    sock = eventlet.listen(parse_address(address), backlog=1024)
    pool = eventlet.GreenPool(MAX_CONNECTIONS)
    return eventlet.spawn(
        eventlet.wsgi.server, sock, _app(handle), custom_pool=pool, log_output=False, debug=False
    )


def main(argv=None):
    """Serve until a signal ends the process."""
    parser = argparse.ArgumentParser(prog="standins.platform", description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--workers", nargs="+", required=True)
    parser.add_argument("--advertised", nargs="*", default=[])
    parser.add_argument("--zones", default="north,south")
    args = parser.parse_args(argv)
    zones = args.zones.split(",")
    places = [(address, zones[n % len(zones)]) for n, address in enumerate(args.workers)]
    advertised = args.advertised or args.workers
    server = PlatformServer(
        [(told, zone) for told, (_, zone) in zip(advertised, places, strict=True)]
    )

    def at_store(method, path, query, _headers, body):
        if path.startswith("/kv-"):
            return server.serve_store(method, path, query, body)
        return server.control(method, path, body)

    for number, (address, _zone) in enumerate(places):
        _serve(
            address,
            lambda _m, path, _q, headers, body, number=number: server.serve_worker(
                number, path, headers, body
            ),
        )
    eventlet.spawn(server.beat)
    _serve(args.listen, at_store).wait()


if __name__ == "__main__":
    main()
