"""An HTTP listener based on eventlet's WSGI server."""

import logging

import eventlet
import eventlet.wsgi
import structlog
from eventlet import greenio

from burdocklug.kernel import BurdocklugError, ErrorKind, encode_error_body
from burdocklug.web._budget import ACCOUNT_KEY, ClientBudget, RequestAccount
from burdocklug.web._clients import Phase, RefusalReason
from burdocklug.web._reader import BodyReader, ConnectionReader

__all__ = ["HttpListener"]

log = structlog.get_logger(__name__)

MAX_HEADER_LINE_BYTES = 8192
CONNECTION = 3  # index of the `ClientConnection` in eventlet's state of a connection


class _TimedHeadersProtocol(eventlet.wsgi.HttpProtocol):
    """Closes a connection whose request line and headers take longer than `header_timeout_s`."""

    header_timeout_s = 10.0
    budget = None

    def setup(self):
        """Open the file objects of the connection."""
        super().setup()
        self.rfile = ConnectionReader(self.rfile)
        self._conn = self.conn_state[CONNECTION]
        self._conn.drop = self._drop

    def parse_request(self):
        """Read the headers; return whether the request can be served."""
        self.rfile.fp.start_request()
        timeout = eventlet.Timeout(self.header_timeout_s)
        try:
            return super().parse_request() and self._check_content_length()
        except eventlet.Timeout as exc:
            if exc is not timeout:
                raise
            self.close_connection = 1
            return False
        finally:
            timeout.cancel()

    def get_environ(self):
        """Return the WSGI environment, with a bounded reader of the body."""
        environ = super().get_environ()
        environ["wsgi.input"].rfile = BodyReader(self.rfile)
        environ[ACCOUNT_KEY] = RequestAccount(self.budget, self._conn)
        return environ

    def handle_one_response(self):
        """Serve a request whose headers have arrived."""
        self._conn.phase = Phase.SERVING
        try:
            super().handle_one_response()
        finally:
            self.budget.release(self._conn)
            self._conn.phase = Phase.IDLE
            if self._conn.is_dropped:
                self.close_connection = 1

    def _drop(self, exc):
        """Interrupt the receipt of a request with an error, or close the connection."""
        eventlet.hubs.get_hub().schedule_call_global(0, self._interrupt, exc)

    def _interrupt(self, exc):
        if self._conn.receiver is not None:
            self._conn.receiver.throw(exc)
        else:
            greenio.shutdown_safe(self.connection)

    def _check_content_length(self):
        """Refuse a malformed Content-Length; eventlet's own response names no `path`."""
        text = self.headers.get("Content-Length")
        if text is None or (text.isascii() and text.isdigit()):
            return True
        exc = BurdocklugError(
            ErrorKind.BAD_REQUEST, f"{text[:40]!r} is not a length", path="header Content-Length"
        )
        body = encode_error_body(exc)
        head = f"HTTP/1.1 400 Bad Request\r\nContent-Length: {len(body)}\r\nConnection: close"
        self.wfile.write(head.encode() + b"\r\n\r\n" + body)
        self.wfile.flush()
        self.close_connection = 1
        return False


class _ConnectionPool(eventlet.GreenPool):
    """The green threads of a listener's connections, each of which it enters in the budget."""

    def __init__(self, size, *, address, budget):
        super().__init__(size)
        self._address = address
        self._budget = budget

    def spawn(self, serve, conn_state):
        """Serve an accepted connection."""
        return super().spawn(self._serve, serve, conn_state)

    def _serve(self, serve, conn_state):
        (ip, port), sock, _state = conn_state
        conn = self._budget.open(self._address, f"{ip}:{port}")
        conn.drop = lambda _exc: greenio.shutdown_safe(sock)
        conn_state.append(conn)
        try:
            serve(conn_state)
        except OSError as exc:
            self._budget.note(RefusalReason.BROKEN, conn)
            log.debug("connection_broken", client=conn.peer, error=str(exc)[:120])
        finally:
            self._budget.close(conn)


class HttpListener:
    """Listens on one address and serves a WSGI application.

    Parameters
    ----------
    address : str
        ``IP:port``.
    app : callable
        The WSGI application.
    max_connections : int
        Largest number of open connections; further ones wait in the listen queue.
    header_timeout_s : float
        Seconds within which the headers must arrive; also the idle timeout of a connection.
    budget : ClientBudget, optional
        Budget of the process for clients' requests; one of its own by default.
    """

    def __init__(self, address, app, *, max_connections, header_timeout_s, budget=None):
        self.address = address
        self._app = app
        self._max_connections = max_connections
        self._header_timeout_s = header_timeout_s
        self._budget = budget or ClientBudget()
        self._server = None

    def start(self):
        """Bind the address and start to serve in a new greenlet."""
        host, _, port = self.address.rpartition(":")
        sock = eventlet.listen((host, int(port)), backlog=self._max_connections, reuse_port=False)
        protocol = type(
            "_Protocol",
            (_TimedHeadersProtocol,),
            {"header_timeout_s": self._header_timeout_s, "budget": self._budget},
        )
        pool = _ConnectionPool(self._max_connections, address=self.address, budget=self._budget)
        self._server = eventlet.spawn(
            eventlet.wsgi.server,
            sock,
            self._app,
            log=logging.getLogger("burdocklug.web"),
            log_output=False,
            debug=False,
            protocol=protocol,
            custom_pool=pool,
            socket_timeout=self._header_timeout_s,
            url_length_limit=MAX_HEADER_LINE_BYTES,
        )

    def stop(self, *, timeout_s):
        """Close idle connections and wait up to `timeout_s` seconds for requests in flight."""
        if self._server is None:
            return
        self._server.kill()
        with eventlet.Timeout(timeout_s, False):
            try:
                self._server.wait()
            except BaseException as exc:  # the greenlet ends with GreenletExit
                if isinstance(exc, eventlet.Timeout):
                    raise
        log.info("listener_stopped", address=self.address)
