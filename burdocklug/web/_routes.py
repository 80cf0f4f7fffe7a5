"""WSGI applications: routing, request bodies with limits, and error responses."""

import re
import urllib.parse
from dataclasses import dataclass, field

import eventlet
import msgspec
import structlog

from burdocklug.kernel import BurdocklugError, ErrorKind, answer_for, encode_error_body
from burdocklug.web._budget import ACCOUNT_KEY, UNBOUNDED
from burdocklug.web._clients import RefusalReason
from burdocklug.web._connection import ConnectionWatch

__all__ = ["Application", "Request", "Response", "RouteTable", "error_response", "json_response"]

log = structlog.get_logger(__name__)

JSON_TYPE = "application/json"
PIECE_BYTES = 16_384
CHUNKED_PIECE_BYTES = 512  # the parser keeps an object for each chunk of a piece
_REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response; `body` is sent unchanged."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    retry_after_s: float | None = None


@dataclass(slots=True)
class Request:
    """An HTTP request whose body is read on demand, with limits on its size and time."""

    environ: dict
    params: dict
    max_body_bytes: int
    body_timeout_s: float
    query: dict = field(default_factory=dict)

    def header(self, name):
        """Return the value of a header, or None if it is absent."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"))

    def read_body(self):
        """Return the whole body.

        Raises
        ------
        BurdocklugError
            Of kind ``body_too_large``, ``slow_sender`` or, for a body that ends early,
            ``bad_request``.
        """
        content_length = _content_length(self.environ)
        if content_length is not None and content_length > self._limit_bytes:
            raise self._too_large()
        with eventlet.Timeout(self.body_timeout_s, False), self.account.receiving_body():
            return self._read(content_length)
        self.environ["burdocklug.close"] = True
        self.account.note(RefusalReason.BODY_SLOW)
        raise BurdocklugError(
            ErrorKind.SLOW_SENDER, f"body not complete after {self.body_timeout_s} s", path="$"
        )

    @property
    def _limit_bytes(self):
        """Largest body: that of the settings, or all of the memory for requests if that is less."""
        return min(self.max_body_bytes, self.account.max_bytes)

    @property
    def account(self):
        """The request's account in the budget of the process."""
        return self.environ.get(ACCOUNT_KEY, UNBOUNDED)

    def _read(self, content_length):
        try:
            body = self._read_pieces(content_length)
        except (OSError, ValueError) as exc:
            self.environ["burdocklug.close"] = True
            self.account.note(RefusalReason.MALFORMED)
            raise BurdocklugError(
                ErrorKind.BAD_REQUEST, f"body unreadable: {exc}", path="$"
            ) from exc
        if len(body) > self._limit_bytes:
            raise self._too_large()
        if content_length is not None and len(body) < content_length:
            raise BurdocklugError(
                ErrorKind.BAD_REQUEST,
                f"body ends after {len(body)} of {content_length} bytes",
                path="$",
            )
        return body

    def _read_pieces(self, content_length):
        """Return the body; of one that is too large, one byte more than its limit."""
        is_chunked = content_length is None
        limit = self._limit_bytes + 1 if is_chunked else content_length
        piece = CHUNKED_PIECE_BYTES if is_chunked else PIECE_BYTES
        source, body = self.environ["wsgi.input"], bytearray()
        while len(body) < limit:
            data = source.read(min(piece, limit - len(body)))
            if not data:
                break
            self.account.receive(len(data))
            body += data
        return bytes(body)

    def watch_connection(self):
        """Return a `ConnectionWatch` of the client's connection; call it once the body is read."""
        return ConnectionWatch(self.environ["wsgi.input"].get_socket())

    def _too_large(self):
        self.environ["burdocklug.close"] = True
        self.account.note(RefusalReason.BODY_TOO_LARGE)
        return BurdocklugError(
            ErrorKind.BODY_TOO_LARGE, f"body is over {self._limit_bytes} bytes", path="$"
        )

    def query_float(self, name, default, *, maximum):
        """Return a query parameter as a number between 0 and `maximum`.

        Raises
        ------
        BurdocklugError
            Of kind ``bad_request`` if it is not such a number.
        """
        text = self.query.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= maximum:
            raise BurdocklugError(
                ErrorKind.BAD_REQUEST,
                f"{text[:40]!r} is not within 0..{maximum}",
                path=f"query {name}",
            )
        return value


def _content_length(environ):
    text = environ.get("CONTENT_LENGTH")
    if text:
        return int(text)
    return None if "HTTP_TRANSFER_ENCODING" in environ else 0


class Application:
    """Base of WSGI applications that turn exceptions into error responses.

    Subclasses implement `respond`.

    Attributes
    ----------
    counts : dict
        Number of responses by HTTP status.
    """

    def __init__(self):
        self.counts = {}

    def respond(self, environ):
        """Return the `Response` to one request."""
        raise NotImplementedError

    def __call__(self, environ, start_response):
        """Serve one request (PEP 3333)."""
        response = self._respond_or_error(environ)
        self.counts[response.status] = self.counts.get(response.status, 0) + 1
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        if response.retry_after_s is not None:
            headers.append(("Retry-After", f"{max(1, round(response.retry_after_s))}"))
        if environ.get("burdocklug.close"):
            headers.append(("Connection", "close"))
        reason = _REASONS.get(response.status, "Unknown")
        start_response(f"{response.status} {reason}", headers)
        return [response.body]

    def _respond_or_error(self, environ):
        try:
            return self.respond(environ)
        except BurdocklugError as exc:
            if exc.kind is ErrorKind.SERVER_BUSY:
                environ["burdocklug.close"] = True
            return error_response(exc)
        except Exception:
            log.exception("request_failed", path=environ.get("PATH_INFO", "")[:200])
            return error_response(BurdocklugError(ErrorKind.INTERNAL, "internal error"))


class RouteTable(Application):
    """WSGI application that dispatches requests to handlers registered with `route`.

    Parameters
    ----------
    max_body_bytes : int
        Largest request body.
    body_timeout_s : float
        Seconds within which the whole body must arrive.
    guard : callable, optional
        Called with each request before its handler; raises `BurdocklugError` to refuse it.
    """

    def __init__(self, *, max_body_bytes, body_timeout_s, guard=None):
        super().__init__()
        self._routes = []
        self._max_body_bytes = max_body_bytes
        self._body_timeout_s = body_timeout_s
        self._guard = guard

    def route(self, method, path):
        """Return a decorator for handlers of `method` on `path`; ``{name}`` matches one segment."""
        pattern = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path))

        def decorate(handler):
            self._routes.append((method, pattern, handler))
            return handler

        return decorate

    def respond(self, environ):
        """Return the response to one request."""
        handler, params = self._find(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        request = Request(environ, params, self._max_body_bytes, self._body_timeout_s)
        request.query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if self._guard is not None:
            self._guard(request)
        return handler(request)

    def _find(self, method, path):
        allowed = set()
        for route_method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            if route_method == method:
                return handler, match.groupdict()
            allowed.add(route_method)
        if allowed:
            raise BurdocklugError(
                ErrorKind.METHOD_NOT_ALLOWED, f"{method[:20]} is not one of {sorted(allowed)}"
            )
        raise BurdocklugError(ErrorKind.NOT_FOUND, f"no such path: {path[:200]}", ran="no")


def error_response(exc):
    """Return the response for a `BurdocklugError`."""
    status = answer_for(exc.kind).http_status
    return Response(status, encode_error_body(exc), retry_after_s=exc.retry_after_s)


def json_response(status, value):
    """Return a response with `value` encoded as JSON."""
    return Response(status, msgspec.json.encode(value))
