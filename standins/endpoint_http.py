"""The HTTP side of one stand-in endpoint: the endpoint protocol and its faults."""

import json
import time
import urllib.parse

import eventlet
import eventlet.event
import eventlet.wsgi

from standins.endpoint_state import EndpointState, Fate, answer_digest

__all__ = ["BACKLOG", "Endpoint", "reply", "serve"]

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
        self.state = EndpointState(slots=slots, max_connections=max_connections, now_s=time.time())
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
        path = environ["RAW_PATH_INFO"]
        if not path.startswith("/v1/"):
            return self.process.control(environ, start_response, default=self)
        handler = environ["standin.handler"]
        self._count(handler)
        parts = [urllib.parse.unquote(part) for part in path.split("/")[2:]]
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
        memory_s = self.state.memory_s(now_s=time.time())
        return 200, {"state": record.fate.value, "memory_s": memory_s}

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
