"""Detects that a client ends its connection while its request is served."""

import socket

import eventlet
import structlog
from eventlet import patcher
from eventlet.hubs import IOClosed, trampoline

__all__ = ["ConnectionWatch"]

PIPELINED_CHECK_S = 0.05  # period of the checks while a later request waits in the socket

log = structlog.get_logger(__name__)
_select = patcher.original("select")  # eventlet's own module has no `poll`


class ConnectionWatch:
    """Watches a client's connection while a request is served; a context manager.

    A connection counts as ended when it was reset, or when the client has closed its side of it.

    Parameters
    ----------
    sock : GreenSocket
        Socket of the connection, which nothing else reads meanwhile.

    Attributes
    ----------
    has_ended : bool
        Whether the connection has ended.
    """

    def __init__(self, sock):
        self.has_ended = False
        self._sock = sock
        self._callback = None
        self._thread = None

    def __enter__(self):
        self._thread = eventlet.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._thread.kill()

    def on_end(self, callback):
        """Set the function to call without arguments when the connection ends; None for none."""
        self._callback = callback

    def _run(self):
        try:
            trampoline(self._sock, read=True)
        except IOClosed as exc:
            log.info("connection_closed_here", error=str(exc)[:120])
            return
        while not _has_ended(self._sock):
            eventlet.sleep(PIPELINED_CHECK_S)
        self.has_ended = True
        if self._callback is not None:
            self._callback()


def _has_ended(sock):
    """Return whether the peer of a readable socket has reset or closed its connection."""
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
    except TimeoutError:
        return False
    except OSError:
        return True
    # Unread data hides the end of the stream from `recv`.
    poller = _select.poll()
    poller.register(sock.fileno(), _select.POLLRDHUP)
    return bool(poller.poll(0))
