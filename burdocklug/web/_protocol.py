"""HTTP/1.1 on one connection: eventlet's protocol with bounds on size, time and memory."""

import http
import socket

import eventlet
import eventlet.wsgi
import structlog
from eventlet import greenio

from burdocklug.kernel import BurdocklugError, ErrorKind, answer_for, encode_error_body
from burdocklug.web._budget import ACCOUNT_KEY, RequestAccount
from burdocklug.web._clients import Phase, RefusalReason
from burdocklug.web._reader import BodyReader, ConnectionReader, discard_body, is_read

__all__ = ["MAX_REQUEST_LINE_BYTES", "BoundedProtocol"]

log = structlog.get_logger(__name__)

MAX_REQUEST_LINE_BYTES = 8192
CONNECTION = 3  # index of the `ClientConnection` in eventlet's state of a connection
# What is read of a request that was refused before the connection is closed. A connection closed
# with unread bytes is reset, which can destroy a response that the client has not read yet.
LINGER_S = 1.0
LINGER_BYTES = 1_048_576
LINGER_PIECE_BYTES = 16_384


class BoundedProtocol(eventlet.wsgi.HttpProtocol):
    """Serves one connection; a request gives way to others as the budget decides."""

    header_timeout_s = 10.0
    budget = None
    is_newcomer_waiting = None

    def setup(self):
        """Open the file objects of the connection."""
        super().setup()
        self.rfile = ConnectionReader(self.rfile)
        self._conn = self.conn_state[CONNECTION]
        self._conn.drop = self._drop
        self._input = None  # of the last request
        self._is_refused = False

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
        self._input = environ["wsgi.input"]
        self._input.rfile = BodyReader(self.rfile)
        self._input.discard = self._discard_body
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
            self._conn.has_been_served = True
            if self._conn.is_dropped or self.is_newcomer_waiting():
                self.close_connection = 1

    def _discard_body(self):
        """Read what the application left of a body, so that the connection can be used again."""
        self._conn.phase = Phase.CLOSING
        try:
            discard_body(self._input)
        except (OSError, ValueError):
            self.budget.note(RefusalReason.BODY_UNREAD, self._conn)
            raise

    def finish(self):
        """Send what is left of the response, read on for a while, and close the connection."""
        self._conn.phase = Phase.CLOSING
        if self._has_unread_input():
            try:
                self._linger()
            except OSError as exc:
                log.debug("connection_broken", client=self._conn.peer, error=str(exc)[:120])
        super().finish()

    def _has_unread_input(self):
        """Return whether the client may still send, or has sent, what nobody has read."""
        body = self._input
        if self._is_refused or (body is not None and not is_read(body)):
            return True
        try:
            return bool(self.connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def _linger(self):
        self.wfile.flush()
        self.connection.shutdown(socket.SHUT_WR)
        with eventlet.Timeout(LINGER_S, False):
            for _ in range(LINGER_BYTES // LINGER_PIECE_BYTES):
                if not self.connection.recv(LINGER_PIECE_BYTES):
                    return
                eventlet.sleep(0)

    def _drop(self, exc):
        """Interrupt the receipt of a body with an error; without one, close the connection."""
        eventlet.hubs.get_hub().schedule_call_global(0, self._interrupt, exc)

    def _interrupt(self, exc):
        if exc is not None and self._conn.receiver is not None:
            self._conn.receiver.throw(exc)
        else:
            greenio.shutdown_safe(self.connection)

    def _check_content_length(self):
        """Refuse a malformed Content-Length; eventlet's own response names no `path`."""
        text = self.headers.get("Content-Length")
        if text is None or (text.isascii() and text.isdigit()):
            return True
        return self._refuse(
            BurdocklugError(
                ErrorKind.BAD_REQUEST,
                f"{text[:40]!r} is not a length",
                path="header Content-Length",
            ),
            RefusalReason.MALFORMED,
        )

    def _refuse(self, exc, reason):
        """Send the response for an error in the headers, and close the connection."""
        self.budget.note(reason, self._conn)
        body = encode_error_body(exc)
        status = answer_for(exc.kind).http_status
        lines = [
            f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if exc.retry_after_s is not None:
            lines.append(f"Retry-After: {max(1, round(exc.retry_after_s))}")
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.wfile.flush()
        self.close_connection = 1
        self._is_refused = True
        return False
