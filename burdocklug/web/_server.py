"""An HTTP listener based on eventlet's WSGI server."""

import errno
import logging
import socket

import eventlet
import eventlet.wsgi
import structlog
from eventlet import greenio

from burdocklug.web._budget import ClientBudget
from burdocklug.web._clients import RefusalReason
from burdocklug.web._protocol import (
    MAX_REQUEST_LINE_BYTES,
    BoundedProtocol,
    ConnectionLimits,
)

__all__ = ["HttpListener"]

log = structlog.get_logger(__name__)

ACCEPTS_PER_TURN = 16  # connections accepted before all others have their turn
ACCEPT_RETRY_S = 0.01
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
LISTEN_QUEUE = 256  # connections that wait to be accepted
SOCKET_BUFFER_BYTES = 32_768  # for each direction; the kernel takes twice as much


def _listen(host, port):
    """Return a listening socket whose connections have buffers of a fixed size."""
    sock = eventlet.listen((host, port), backlog=LISTEN_QUEUE, reuse_port=False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):  # connections inherit them
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return sock


class _ListeningSocket:
    """A green listening socket that goes on where the process has no descriptor left."""

    def __init__(self, sock, *, budget):
        self._sock = sock
        self._budget = budget
        self._accepted = 0

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def accept(self):
        """Return the next connection and the address of its client."""
        self._accepted += 1
        if self._accepted % ACCEPTS_PER_TURN == 0:
            eventlet.sleep(0)
        while True:
            try:
                return self._sock.accept()
            except OSError as exc:
                if exc.errno not in EXHAUSTED:
                    raise
                self._budget.make_room(None, RefusalReason.DESCRIPTORS)
            eventlet.sleep(ACCEPT_RETRY_S)


class _ConnectionPool(eventlet.GreenPool):
    """The green threads of a listener's connections, each of which it enters in the budget.

    Where there are as many as there may be, a connection without a whole request gives way to a
    new one; if all are being served, the next one to be answered does.
    """

    def __init__(self, size, *, address, budget):
        super().__init__(size)
        self._address = address
        self._budget = budget

    def spawn(self, serve, conn_state):
        """Serve an accepted connection once there is room for it."""
        if self.free() <= 0:
            self._budget.make_room(self._address, RefusalReason.CONNECTIONS)
        (ip, port), sock, _state = conn_state
        conn = self._budget.open(self._address, f"{ip}:{port}")
        conn.drop = lambda _exc: greenio.shutdown_safe(sock)
        conn_state.append(conn)
        try:
            return super().spawn(self._serve, serve, conn_state, conn)
        except BaseException:  # the listener stops
            self._budget.close(conn)
            raise

    def _serve(self, serve, conn_state, conn):
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
        Largest number of open connections. Those without a whole request give way to new ones;
        while all are being served, new ones wait in the listen queue.
    header_timeout_s : float
        Seconds within which the headers must arrive; also the idle timeout of a connection.
    get_limits : callable, optional
        Returns the `ConnectionLimits` in force, in place of `header_timeout_s`.
    budget : ClientBudget, optional
        Budget of the process for clients' requests; one of its own by default.
    """

    def __init__(
        self, address, app, *, max_connections, header_timeout_s, get_limits=None, budget=None
    ):
        self.address = address
        self._app = app
        self._max_connections = max_connections
        self._header_timeout_s = header_timeout_s
        limits = ConnectionLimits(header_timeout_s, header_timeout_s)
        self._get_limits = get_limits or (lambda: limits)
        self._budget = budget or ClientBudget()
        self._server = None

    def start(self):
        """Bind the address and start to serve in a new greenlet."""
        host, _, port = self.address.rpartition(":")
        sock = _listen(host, int(port))
        protocol = type(
            "_Protocol",
            (BoundedProtocol,),
            {
                "get_limits": staticmethod(self._get_limits),
                "budget": self._budget,
                "is_newcomer_waiting": staticmethod(lambda: pool.waiting() > 0),
            },
        )
        pool = _ConnectionPool(self._max_connections, address=self.address, budget=self._budget)
        self._server = eventlet.spawn(
            eventlet.wsgi.server,
            _ListeningSocket(sock, budget=self._budget),
            self._app,
            log=logging.getLogger("burdocklug.web"),
            log_output=False,
            debug=False,
            protocol=protocol,
            custom_pool=pool,
            socket_timeout=self._header_timeout_s,
            url_length_limit=MAX_REQUEST_LINE_BYTES,
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
