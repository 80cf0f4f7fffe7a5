"""Stand-in endpoint over HTTP: runs tasks as their payload says and records what it did.

Run as ``python -m standins.endpoint --listen IP:PORT [--count N] [--slots 8]
[--max-connections 64] [--control IP:PORT]``. With ``--count N`` one process serves N
endpoints on consecutive ports, each with its own state.

The payload of a task is ``{"run_s": 0.2, "value": any, "fail": bool}``, all optional. The
answer's value is ``{"value": payload value, "digest": answer_digest(task_id)}``.

Besides the endpoint protocol each port and the control address serve ``GET /record``
(``?since=N`` skips N starts), ``POST /record/reset``, ``GET /records`` (every port of the
process), ``GET /faults`` and ``POST /faults`` (the whole new set of faults, see
`standins.endpoint_state.Faults`; ``{}`` clears them). ``?port=P`` names another endpoint of
the same process, which is how one that is down is reached. Times are wall-clock seconds.
"""

import argparse
import dataclasses
import json
import signal
import sys
import time
import urllib.parse
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402
import eventlet.event  # noqa: E402
import eventlet.wsgi  # noqa: E402

from standins.endpoint_state import EndpointState, Fate, Faults, answer_digest  # noqa: E402

JSON_HEADER = ("Content-Type", "application/json")
MAX_GREENLETS = 4096
BACKLOG = 512
MAX_RUN_S = 3600.0


class ConnectionClosed(BaseException):
    """Closes this connection without an answer; the WSGI server must not turn it into a 500."""


class AnswerSent(BaseException):
    """The answer has been written by hand; the connection stays open."""


class Protocol(eventlet.wsgi.HttpProtocol):
    """Counts a connection from its first protocol request until it is closed."""

    endpoint = None

    def get_environ(self):
        """Return the WSGI environment with this handler added."""
        environ = super().get_environ()
        environ["standin.handler"] = self
        return environ

    def handle_one_request(self):
        """Serve one request; end the connection quietly where the stand-in closes it."""
        try:
            super().handle_one_request()
        except ConnectionClosed:
            self.close_connection = 1
        except AnswerSent:
            pass

    def finish(self):
        """Close the connection and count it off."""
        try:
            super().finish()
        finally:
            if self.endpoint is not None:
                self.endpoint.disconnected(self)


class Endpoint:
    """One endpoint: a port, its state, and the WSGI application."""

    def __init__(self, host, port, *, slots, max_connections, process):
        self.host = host
        self.port = port
        self.state = EndpointState(slots=slots, max_connections=max_connections)
        self.process = process
        self.listener = None
        self.handlers = set()

    def open(self):
        """Listen and serve."""
        self.listener = eventlet.listen((self.host, self.port), backlog=BACKLOG, reuse_port=False)
        self.port = self.listener.getsockname()[1]
        serve(self.listener, self.app)

    def close(self):
        """Close the listener and every connection."""
        listener, self.listener = self.listener, None
        if listener is not None:
            shut(listener)
        for handler in list(self.handlers):
            shut(handler.connection)

    def app(self, environ, start_response):
        """Route one request."""
        path = environ["PATH_INFO"]
        if not path.startswith("/v1/"):
            return self.process.control(environ, start_response, default=self)
        handler = environ["standin.handler"]
        self._count(handler)
        parts = path.split("/")[2:]
        body = environ["wsgi.input"].read()
        if self.state.faults.accept_and_never_answer:
            self.state.messages["unanswered"] += 1
            self._hold(lambda: self.state.faults.accept_and_never_answer)
        match environ["REQUEST_METHOD"], parts:
            case "POST", ["attempts", attempt_id]:
                return self._start(attempt_id, json.loads(body), handler, start_response)
            case "POST", ["attempts", attempt_id, "fence"]:
                status, answer = self._fence(attempt_id, json.loads(body or b"{}"))
            case "POST", ["cancel"]:
                self.state.messages["cancel"] += 1
                ids = json.loads(body)["attempt_ids"]
                status, answer = 200, {"cancelled": self.state.cancel(ids, now_s=time.time())}
            case "GET", ["status"]:
                self.state.messages["status"] += 1
                status, answer = 200, self.state.status()
            case _:
                status, answer = 404, {"error": f"no such call: {path}"}
        return reply(start_response, status, answer)

    def _count(self, handler):
        if handler.endpoint is not None:
            return
        if not self.state.connect():
            raise ConnectionClosed
        handler.endpoint = self
        self.handlers.add(handler)

    def disconnected(self, handler):
        """Count off a closed connection."""
        self.state.disconnect()
        self.handlers.discard(handler)

    def _hold(self, holds):
        while holds():
            eventlet.sleep(0.02)
        raise ConnectionClosed

    def _start(self, attempt_id, body, handler, start_response):
        state = self.state
        state.messages["start"] += 1
        if state.faults.redirect:
            location = f"http://{state.faults.redirect}/v1/attempts/{attempt_id}"
            return reply(start_response, 307, {}, [("Location", location)])
        if state.faults.delay_before_start_s:
            eventlet.sleep(state.faults.delay_before_start_s)
        begun = state.begin(attempt_id, body["task_id"], now_s=time.time())
        if isinstance(begun, str):
            return reply(start_response, *self._refusal(begun))
        if state.faults.lose_answers_early:
            eventlet.spawn_n(self._run, begun, body.get("payload"))
            raise ConnectionClosed
        if not begun.claimed:
            self._run(begun, body.get("payload"))
        self._wait(begun, MAX_RUN_S)
        return self._answer(begun, handler, start_response)

    def _refusal(self, cause):
        if cause == "full":
            load = {"free_slots": self.state.free_slots(), "leaving": self.state.faults.leaving}
            return 429, {"started": False, "reason": cause, **load}
        return (503 if cause == "leaving" else 409), {"started": False, "reason": cause}

    def _run(self, record, payload):
        record.claimed = True
        payload = payload if isinstance(payload, dict) else {"value": payload}
        began_s = time.monotonic()
        faults = self.state.faults
        run_s = float(payload.get("run_s", 0.0)) * faults.slow_factor
        if not faults.fail_all:
            sleep_unless_cancelled(record, run_s)
        value = {"value": payload.get("value"), "digest": answer_digest(record.task_id)}
        ok = True
        if record.cancelled:
            ok, value = False, "cancelled"
        elif faults.fail_all or payload.get("fail"):
            ok, value = False, "failed"
        self.state.finish(record, ok=ok, value=value, run_s=time.monotonic() - began_s)

    def _answer(self, record, handler, start_response):
        faults = self.state.faults
        answer = self.state.answer(record)
        previous, self.state.last_answer = self.state.last_answer, answer
        if faults.crossed and previous is not None:
            answer = previous
        if faults.hold_answers:
            self._hold(lambda: self.state.faults.hold_answers)
        if faults.lose_answers:
            raise ConnectionClosed
        if faults.half_answer or faults.answer_twice:
            return self._raw_answer(answer, handler)
        if faults.garbage:
            start_response("200 OK", [JSON_HEADER])
            return [b'{"attempt_id": \x00']
        if faults.close_after_answer:
            handler.environ["eventlet.posthooks"].append((lambda _env: hang_up(handler), (), {}))
        return reply(start_response, 200, answer)

    def _raw_answer(self, answer, handler):
        body = json.dumps(answer).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        whole = head % len(body) + body
        if self.state.faults.half_answer:
            handler.wfile.write(whole[: -len(body) // 2])
            handler.wfile.flush()
            raise ConnectionClosed
        handler.wfile.write(whole + whole)
        handler.wfile.flush()
        raise AnswerSent

    def _fence(self, attempt_id, body):
        self.state.messages["fence"] += 1
        record = self.state.fence(attempt_id, now_s=time.time())
        if record.fate is Fate.RUNNING:
            self._wait(record, float(body.get("wait_s") or 0.0))
        if record.fate is Fate.FINISHED:
            return 200, {"state": record.fate.value, **self.state.answer(record)}
        return 200, {"state": record.fate.value}

    def _wait(self, record, timeout_s):
        end_s = time.monotonic() + timeout_s
        while record.fate is Fate.RUNNING and (left_s := end_s - time.monotonic()) > 0:
            wait_for_wake(record, left_s)


def wait_for_wake(record, timeout_s):
    """Wait until the record's waiters are called, at most `timeout_s` seconds."""
    woken = eventlet.event.Event()

    def wake():
        if not woken.ready():
            woken.send(None)

    record.waiters.append(wake)
    woken.wait(timeout=timeout_s)
    if wake in record.waiters:
        record.waiters.remove(wake)


def sleep_unless_cancelled(record, run_s):
    """Sleep for `run_s` seconds; return early once the record is cancelled."""
    end_s = time.monotonic() + run_s
    while not record.cancelled and (left_s := end_s - time.monotonic()) > 0:
        wait_for_wake(record, left_s)


def hang_up(handler):
    """Close the connection after the answer, without a word in the answer's headers."""
    handler.wfile.flush()
    handler.close_connection = 1


def shut(sock):
    """Close a socket whatever its state."""
    try:
        eventlet.greenio.shutdown_safe(sock)
    except OSError:
        pass
    sock.close()


def reply(start_response, status, body, headers=()):
    """Send a JSON answer."""
    start_response(f"{status} Stand-in", [JSON_HEADER, *headers])
    return [json.dumps(body).encode()]


def serve(listener, app):
    """Serve `app` on a listener in a greenlet until the listener is closed."""

    def run():
        try:
            eventlet.wsgi.server(
                listener,
                app,
                protocol=Protocol,
                log_output=False,
                debug=False,
                max_size=MAX_GREENLETS,
            )
        except OSError:
            pass  # the listener was closed

    eventlet.spawn_n(run)


class Process:
    """The endpoints of one process and their control calls."""

    def __init__(self, host, port, *, count=1, slots=8, max_connections=64):
        self.endpoints = [
            Endpoint(
                host,
                port + i if port else 0,
                slots=slots,
                max_connections=max_connections,
                process=self,
            )
            for i in range(count)
        ]

    def open(self):
        """Open every endpoint."""
        for endpoint in self.endpoints:
            endpoint.open()

    def control_app(self, environ, start_response):
        """Serve the control address."""
        return self.control(environ, start_response, default=self.endpoints[0])

    def control(self, environ, start_response, *, default):
        """Answer a control call for one endpoint."""
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        endpoint = self._find(query.get("port"), default)
        body = environ["wsgi.input"].read()
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "GET", "/record":
                answer = endpoint.state.record(int(query.get("since", 0)))
            case "GET", "/records":
                answer = {e.port: e.state.record() for e in self.endpoints}
            case "POST", "/record/reset":
                endpoint.state.reset()
                answer = {}
            case "GET", "/faults":
                answer = dataclasses.asdict(endpoint.state.faults)
            case "POST", "/faults":
                return self._set_faults(endpoint, body, start_response)
            case _:
                return reply(start_response, 404, {"error": environ["PATH_INFO"]})
        return reply(start_response, 200, answer)

    def _find(self, port, default):
        for endpoint in self.endpoints:
            if port is not None and endpoint.port == int(port):
                return endpoint
        return default

    def _set_faults(self, endpoint, body, start_response):
        try:
            faults = Faults(**json.loads(body or b"{}"))
        except TypeError as exc:
            return reply(start_response, 400, {"error": str(exc)})
        endpoint.state.faults = faults
        if faults.down and endpoint.listener is not None:
            eventlet.spawn_after(0, endpoint.close)
        elif not faults.down and endpoint.listener is None:
            endpoint.open()
        return reply(start_response, 200, dataclasses.asdict(faults))


def parse_address(text):
    """Return host and port of ``IP:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def main(argv=None):
    """Run the stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="standins.endpoint")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--max-connections", type=int, default=64)
    parser.add_argument("--control")
    args = parser.parse_args(argv)
    host, port = parse_address(args.listen)
    process = Process(
        host, port, count=args.count, slots=args.slots, max_connections=args.max_connections
    )
    stop = eventlet.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: eventlet.hubs.get_hub().schedule_call_global(0, end, stop))
    process.open()
    if args.control:
        serve(eventlet.listen(parse_address(args.control), backlog=BACKLOG), process.control_app)
    ports = " ".join(str(endpoint.port) for endpoint in process.endpoints)
    print(f"listening {ports}", flush=True)
    stop.wait()


def end(stop):
    """Send a stop event once."""
    if not stop.ready():
        stop.send(None)


if __name__ == "__main__":
    sys.exit(main())
