"""Stand-in for the platform's key-value service, as a process of its own.

``python -m standins.store --listen 127.0.0.1:9000`` serves:

========================  ====================================================================
``POST /v1/get``          ``{key}``: ``{entry}``, which may be null
``POST /v1/put``          ``{key, value, expected_version, lease_id}``: ``{entry}``
``POST /v1/delete``       ``{key, expected_version}``: ``{}``
``POST /v1/grant_lease``  ``{ttl_s}``: ``{lease_id}``
``POST /v1/keep_lease``   ``{lease_id}``: ``{}``
``POST /v1/watch``        ``{key, after_version, timeout_s}``: ``{entry}``, null after the time
``POST /v1/hosts``        ``{}``: ``{version, live, leaving}``
``GET /record``           what was counted; ``DELETE /record`` starts anew
``POST /faults``          any fields of `Faults` to change; ``DELETE /faults`` clears all
``GET /faults``           the faults in force
``POST /hosts``           ``{live, leaving, version?, lag_s?}`` sets the host list
``GET /health``           ``{"ok": true}``
========================  ====================================================================

Every ``/v1`` body also holds ``purpose``. An entry is ``{key, value, version}`` with the value
in base64. Errors: 409 ``version_mismatch`` with ``current``, 410 ``lease_expired``, 413
``value_too_large``, 503 ``unavailable``; none of them wrote anything.
"""

import base64
import time
from collections import defaultdict
from dataclasses import asdict

import eventlet
from eventlet.event import Event

from standins._http import DROP, RawAnswer, run_server
from standins.store_record import CallRecord, Faults, change_faults
from standins.store_state import LeaseGone, Mismatch, StoreState, TooLarge

__all__ = ["StoreServer", "main"]

WRITES = frozenset({"put", "delete", "grant_lease", "keep_lease"})
STALE_POLL_S = 0.02  # a watch on an old view looks again after this time
GARBAGE = b'{"entry": {"key": "x", "val\xff\x00'


def _entry(value):
    if value is None:
        return None
    data = base64.b64encode(value.data).decode()
    return {"key": value.key, "value": data, "version": value.version}


class StoreServer:
    """Routes requests to a `StoreState` and applies the faults in force.

    Parameters
    ----------
    now : callable, optional
        Returns monotonic seconds.
    """

    def __init__(self, *, now=time.monotonic):
        self.now = now
        self.state = StoreState()
        self.record = CallRecord()
        self.faults = Faults()
        self._waiting = defaultdict(set)
        self.state.on_write(self._wake)
        self._control = {
            ("GET", "/health"): lambda body: {"ok": True},
            ("GET", "/record"): lambda body: self.record.dump(),
            ("DELETE", "/record"): self._reset_record,
            ("GET", "/faults"): lambda body: asdict(self.faults),
            ("POST", "/faults"): self._set_faults,
            ("DELETE", "/faults"): lambda body: self._set_faults(asdict(Faults())),
            ("POST", "/hosts"): self._set_hosts,
        }

    def handle(self, method, path, body):
        """Answer one request; see `standins._http.make_app`."""
        control = self._control.get((method, path))
        try:
            if control is not None:
                return 200, control(body)
            kind = path.removeprefix("/v1/")
            call = getattr(self, f"_call_{kind}", None) if path.startswith("/v1/") else None
            if call is None or method != "POST":
                return 404, {"error": "not_found"}
            return self._serve(kind, call, body)
        except (KeyError, TypeError, ValueError) as exc:
            return 400, {"error": "bad_request", "detail": repr(exc)}

    def _serve(self, kind, call, body):
        self.record.count(body["purpose"], kind, now_s=self.now())
        if self.faults.slow_s:
            eventlet.sleep(self.faults.slow_s)
        if self.faults.drop_calls:
            return DROP
        if self.faults.down:
            return 503, {"error": "unavailable"}
        answer = self._apply(call, body)
        if self.faults.slow_answer_s:
            eventlet.sleep(self.faults.slow_answer_s)
        if kind in WRITES and answer[0] == 200 and self.faults.loses_answer():
            return DROP
        return RawAnswer(GARBAGE) if self.faults.garbage else answer

    def _apply(self, call, body):
        try:
            return 200, call(body)
        except Mismatch as exc:
            return 409, {"error": "version_mismatch", "current": _entry(exc.current)}
        except LeaseGone:
            return 410, {"error": "lease_expired"}
        except TooLarge:
            return 413, {"error": "value_too_large"}

    def _read(self, key):
        faults = self.faults
        value = self.state.get(
            key, now_s=self.now(), stale_s=faults.stale_s, stale_versions=faults.stale_versions
        )
        return _entry(value)

    def _call_get(self, body):
        return {"entry": self._read(body["key"])}

    def _call_put(self, body):
        value = self.state.put(
            body["key"],
            base64.b64decode(body["value"], validate=True),
            expected_version=body["expected_version"],
            lease_id=body.get("lease_id"),
            now_s=self.now(),
        )
        return {"entry": _entry(value)}

    def _call_delete(self, body):
        self.state.delete(body["key"], expected_version=body["expected_version"], now_s=self.now())
        return {}

    def _call_grant_lease(self, body):
        return {"lease_id": self.state.grant_lease(body["ttl_s"], now_s=self.now())}

    def _call_keep_lease(self, body):
        self.state.keep_lease(body["lease_id"], now_s=self.now())
        return {}

    def _call_hosts(self, body):
        hosts = self.state.hosts(now_s=self.now(), stale_s=self.faults.stale_s)
        return {"version": hosts.version, "live": hosts.live, "leaving": hosts.leaving}

    def _call_watch(self, body):
        end_s = self.now() + body["timeout_s"]
        self.record.watch_started()
        try:
            return {"entry": self._wait_newer(body["key"], body["after_version"], end_s)}
        finally:
            self.record.watch_ended()

    def _wait_newer(self, key, after_version, end_s):
        while True:
            entry = None if self.faults.watch_dead else self._read(key)
            if entry is not None and entry["version"] > after_version:
                return entry
            left_s = end_s - self.now()
            if left_s <= 0 and not self.faults.watch_dead:
                return None
            self._wait_for_write(key, max(left_s, STALE_POLL_S))

    def _wait_for_write(self, key, wait_s):
        if self.faults.stale_s or self.faults.stale_versions or self.faults.watch_dead:
            eventlet.sleep(min(wait_s, STALE_POLL_S))
            return
        event = Event()
        self._waiting[key].add(event)
        try:
            with eventlet.Timeout(wait_s, False):
                event.wait()
        finally:
            self._waiting[key].discard(event)

    def _wake(self, key):
        for event in self._waiting.pop(key, ()):
            event.send(None)

    def _reset_record(self, body):
        watches = self.record.watches
        self.record = CallRecord()
        self.record.watches = self.record.watches_max = watches
        return {}

    def _set_faults(self, body):
        self.faults = change_faults(self.faults, body)
        for key in list(self._waiting):
            self._wake(key)
        return asdict(self.faults)

    def _set_hosts(self, body):
        hosts = self.state.set_hosts(
            body["live"],
            body["leaving"],
            version=body.get("version"),
            lag_s=body.get("lag_s", 0.0),
            now_s=self.now(),
        )
        return {"version": hosts.version}


def _expire_leases(server, *, period_s=0.1):
    while True:
        eventlet.sleep(period_s)
        server.state.expire(now_s=server.now())


def main(argv=None):
    """Run the stand-in until a signal ends it."""
    server = StoreServer()
    eventlet.spawn(_expire_leases, server)
    run_server(server.handle, prog="standins.store", argv=argv)


if __name__ == "__main__":
    main()
