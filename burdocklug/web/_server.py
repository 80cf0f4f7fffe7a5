"""An HTTP listener based on eventlet's WSGI server."""

import logging

import eventlet
import eventlet.wsgi
import structlog

from burdocklug.kernel import BurdocklugError, ErrorKind, encode_error_body
from burdocklug.web._reader import BodyReader, ConnectionReader

__all__ = ["HttpListener"]

log = structlog.get_logger(__name__)

MAX_HEADER_LINE_BYTES = 8192


class _TimedHeadersProtocol(eventlet.wsgi.HttpProtocol):
    """Closes a connection whose request line and headers take longer than `header_timeout_s`."""

    header_timeout_s = 10.0

    def setup(self):
        """Open the file objects of the connection."""
        super().setup()
        self.rfile = ConnectionReader(self.rfile)

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
        return environ

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
    """

    def __init__(self, address, app, *, max_connections, header_timeout_s):
        self.address = address
        self._app = app
        self._max_connections = max_connections
        self._header_timeout_s = header_timeout_s
        self._server = None

    def start(self):
        """Bind the address and start to serve in a new greenlet."""
        host, _, port = self.address.rpartition(":")
        sock = eventlet.listen((host, int(port)), backlog=self._max_connections, reuse_port=False)
        protocol = type(
            "_Protocol", (_TimedHeadersProtocol,), {"header_timeout_s": self._header_timeout_s}
        )
        self._server = eventlet.spawn(
            eventlet.wsgi.server,
            sock,
            self._app,
            log=logging.getLogger("burdocklug.web"),
            log_output=False,
            debug=False,
            protocol=protocol,
            max_size=self._max_connections,
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
