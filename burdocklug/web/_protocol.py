"""HTTP/1.1 on one connection: eventlet's protocol with bounds on size, time and memory."""

import http
import socket
from dataclasses import dataclass

import eventlet
import eventlet.wsgi
import structlog
from eventlet import greenio

from burdocklug.kernel import BurdocklugError, ErrorKind, answer_for, encode_error_body
from burdocklug.web._budget import ACCOUNT_KEY, RequestAccount
from burdocklug.web._clients import Phase, RefusalReason
from burdocklug.web._reader import (
    BodyReader,
    ConnectionReader,
    HeaderReader,
    HeadTooLarge,
    discard_body,
    is_read,
)

__all__ = ["MAX_REQUEST_LINE_BYTES", "BoundedProtocol", "ConnectionLimits"]

log = structlog.get_logger(__name__)

MAX_REQUEST_LINE_BYTES = 8192
DEFAULT_MAX_HEADER_BYTES = 16_384
CONNECTION = 3  # index of the `ClientConnection` in eventlet's state of a connection
RESPONSE_TIMEOUT_S = 15.0  # without progress of a response
# What is read of a request that was refused before the connection is closed. A connection closed
# with unread bytes is reset, which can destroy a response that the client has not read yet.
LINGER_S = 1.0
LINGER_BYTES = 1_048_576
LINGER_PIECE_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of a connection, which hold from its next request on.

    Parameters
    ----------
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its headers, in seconds.
    idle_timeout_s : float
        Longest time between two requests, in seconds.
    max_header_bytes : int
        Largest size of a request's headers.
    """

    header_timeout_s: float
    idle_timeout_s: float
    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES


class BoundedProtocol(eventlet.wsgi.HttpProtocol):
    """Serves one connection; a request gives way to others as the budget decides."""

    budget = None
    get_limits = None
    is_newcomer_waiting = None

    def setup(self):
        """Open the file objects of the connection."""
        super().setup()
        self.rfile = self._reader = ConnectionReader(self.rfile)
        self._limits = self._header_timer = None
        self._conn = self.conn_state[CONNECTION]
        self._conn.drop = self._drop
        self._input = None  # of the last request
        self._is_refused = False

    def _read_request_line(self):
        """Wait for a request and return its first line; empty to close the connection."""
        self._limits = self.get_limits()
        self.connection.settimeout(self._limits.idle_timeout_s)
        try:
            if not self._reader.start_request():
                return b""
        except OSError as exc:
            log.debug("connection_broken", client=self._conn.peer, error=str(exc)[:120])
            return b""
        self._receive()
        self._header_timer = eventlet.Timeout(self._limits.header_timeout_s)
        try:
            return super()._read_request_line()
        except eventlet.Timeout as exc:
            self._close_slow(exc)
            return b""

    def handle_one_request(self):
        """Serve the next request of the connection."""
        try:
            super().handle_one_request()
        finally:
            if self._header_timer is not None:
                self._header_timer.cancel()
            self.budget.release(self._conn)
            self._conn.receiver = None
            self._conn.phase = Phase.IDLE
            if self._conn.is_dropped or self.is_newcomer_waiting():
                self.close_connection = 1

    def parse_request(self):
        """Read the headers; return whether the request can be served."""
        self.rfile = HeaderReader(
            self._reader, max_bytes=self._limits.max_header_bytes, charge=self._charge
        )
        try:
            return super().parse_request() and self._check_framing()
        except HeadTooLarge as exc:
            error = BurdocklugError(ErrorKind.HEADERS_TOO_LARGE, str(exc))
            return self._refuse(error, RefusalReason.HEADERS_TOO_LARGE)
        except BurdocklugError as exc:
            return self._refuse(exc, RefusalReason.MEMORY)
        except eventlet.Timeout as exc:
            return self._close_slow(exc)
        finally:
            self._header_timer.cancel()

    def send_error(self, code, message=None, explain=None):
        """Refuse a request that the standard library's parser does not accept."""
        exc = BurdocklugError(ErrorKind.BAD_REQUEST, f"malformed request ({code})")
        self._refuse(exc, RefusalReason.MALFORMED)

    def _receive(self):
        """Record that a part of a request has arrived, which may have to give way."""
        self.budget.note_progress(self._conn)
        self._conn.phase = Phase.RECEIVING
        self._conn.receiver = eventlet.getcurrent()

    def _charge(self, count):
        self.budget.note_progress(self._conn)
        self.budget.charge(self._conn, count)

    def _close_slow(self, exc):
        """Close the connection if `exc` says that its headers took too long."""
        if exc is not self._header_timer:
            raise exc
        self.budget.note(RefusalReason.HEADERS_SLOW, self._conn)
        self.close_connection = 1
        return False

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
        self._conn.receiver = None
        self.connection.settimeout(max(self._limits.idle_timeout_s, RESPONSE_TIMEOUT_S))
        try:
            super().handle_one_response()
        finally:
            self._conn.has_been_served = True

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
        """Interrupt the receipt of a request with an error; without one, close the connection."""
        eventlet.hubs.get_hub().schedule_call_global(0, self._interrupt, exc)

    def _interrupt(self, exc):
        if self._conn.phase is Phase.SERVING:
            return  # the request arrived whole meanwhile; the connection ends with its response
        if exc is not None and self._conn.receiver is not None:
            self._conn.receiver.throw(exc)
        else:
            greenio.shutdown_safe(self.connection)

    def _check_framing(self):
        """Refuse headers that do not tell where the body ends."""
        lengths = self.headers.get_all("Content-Length", [])
        if len(set(lengths)) > 1 or not all(n.isascii() and n.isdigit() for n in lengths):
            return self._refuse_header("Content-Length", lengths, "a length")
        codings = self.headers.get_all("Transfer-Encoding", [])
        if codings and [coding.lower() for coding in codings] != ["chunked"]:
            return self._refuse_header("Transfer-Encoding", codings, "chunked")
        return True

    def _refuse_header(self, name, values, expected):
        text = ", ".join(values)[:40]
        exc = BurdocklugError(
            ErrorKind.BAD_REQUEST, f"{text!r} is not {expected}", path=f"header {name}"
        )
        return self._refuse(exc, RefusalReason.MALFORMED)

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
