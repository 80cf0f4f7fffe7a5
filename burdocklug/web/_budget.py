"""The memory that requests under way take up in a process, and the count of refusals."""

import contextlib
import sys
import time
from collections import Counter

import eventlet
import structlog

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.web._clients import (
    ClientConnection,
    Phase,
    RefusalReason,
    choose_connection_to_close,
    choose_request_to_drop,
)

__all__ = [
    "ACCOUNT_KEY",
    "DEFAULT_BUDGET_BYTES",
    "ClientBudget",
    "RequestAccount",
    "UNBOUNDED",
    "busy_error",
]

ACCOUNT_KEY = "burdocklug.account"  # of a request's `RequestAccount` in its environment
DEFAULT_BUDGET_BYTES = 32 * 1024 * 1024
LOG_PERIOD_S = 1.0  # at most one line for each reason

log = structlog.get_logger(__name__)


class ClientBudget:
    """Connections of clients and the bytes that their requests hold, over all listeners.

    When the bytes run out, the partial request without progress for longest is dropped; a request
    that has arrived whole never is.

    Parameters
    ----------
    max_bytes : int
        Largest sum of the bytes that requests hold.
    now : callable, optional
        Returns the monotonic time, in seconds.
    """

    def __init__(self, max_bytes=DEFAULT_BUDGET_BYTES, *, now=time.monotonic):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.connections = set()
        self.refusals = Counter()
        self._now = now
        self._logged = {}  # by reason: time of the last line, and refusals up to it

    def open(self, listener, peer):
        """Return the state of a connection that was accepted."""
        conn = ClientConnection(listener, peer, self._now())
        self.connections.add(conn)
        return conn

    def close(self, conn):
        """Forget a connection."""
        self.release(conn)
        self.connections.discard(conn)

    def note_progress(self, conn):
        """Record that bytes have arrived on a connection."""
        conn.progress_s = self._now()

    def charge(self, conn, count):
        """Let a connection's request hold `count` more bytes.

        Raises
        ------
        BurdocklugError
            Of kind ``server_busy`` if the request was dropped, or if nothing gives way to it.
        """
        if conn.is_dropped:
            raise busy_error()
        while self.held_bytes + count > self.max_bytes:
            victim = choose_request_to_drop(self.connections, newcomer=conn)
            if victim is None:
                self.note(RefusalReason.MEMORY, conn)
                raise busy_error()
            self._drop(victim, RefusalReason.MEMORY, busy_error())
        conn.held_bytes += count
        self.held_bytes += count

    def release(self, conn, *, keep=0):
        """Reduce the bytes that a connection's request holds to `keep`."""
        self.held_bytes -= conn.held_bytes - keep
        conn.held_bytes = keep

    def make_room(self, listener, reason):
        """Close the connection of a listener that gives way; return whether there was one.

        Without a listener, the connection may be one of any.
        """
        victim = choose_connection_to_close(
            conn for conn in self.connections if listener in (None, conn.listener)
        )
        if victim is None:
            return False
        self._drop(victim, reason, None)
        return True

    def _drop(self, victim, reason, exc):
        self.note(reason, victim)
        victim.is_dropped = True
        self.release(victim)
        victim.drop(exc)

    def note(self, reason, conn):
        """Count a refusal or closing, and log at most one line for each reason and second."""
        self.refusals[reason] += 1
        now = self._now()
        last_s, last_count = self._logged.get(reason, (None, 0))
        if last_s is not None and now - last_s < LOG_PERIOD_S:
            return
        self._logged[reason] = now, self.refusals[reason]
        log.warning(
            "client_refused",
            reason=str(reason),
            refusals=self.refusals[reason] - last_count,
            listener=conn.listener,
            client=conn.peer,
            held_bytes=self.held_bytes,
            connections=len(self.connections),
        )

    def counts(self):
        """Return gauges of connections and bytes, and the refusals by reason."""
        phases = Counter(conn.phase for conn in self.connections)
        return {
            "connections": len(self.connections),
            "receiving": phases[Phase.RECEIVING],
            "serving": phases[Phase.SERVING],
            "held_bytes": self.held_bytes,
            "max_bytes": self.max_bytes,
            "refused": {str(reason): self.refusals[reason] for reason in RefusalReason},
        }

    def dump(self):
        """Return the same as `counts`, for the state dump."""
        return self.counts()


class RequestAccount:
    """What a connection's request takes up of the budget.

    Parameters
    ----------
    budget : ClientBudget
        The budget of the process.
    conn : ClientConnection
        The connection.
    """

    def __init__(self, budget, conn):
        self._budget = budget
        self._conn = conn

    @contextlib.contextmanager
    def receiving_body(self):
        """Return a context in which a body is received: its request may have to give way.

        Raises
        ------
        BurdocklugError
            Of kind ``server_busy``, at any place in the context, if the request has to.
        """
        self._conn.phase = Phase.RECEIVING
        self._conn.receiver = eventlet.getcurrent()
        try:
            yield
            if self._conn.is_dropped:
                raise busy_error()
        finally:
            self._conn.receiver = None
            self._conn.phase = Phase.SERVING

    def receive(self, count):
        """Charge `count` bytes of a body, as `ClientBudget.charge` does."""
        self._budget.note_progress(self._conn)
        self._budget.charge(self._conn, count)

    @property
    def max_bytes(self):
        """Largest number of bytes that all requests together hold."""
        return self._budget.max_bytes

    def hold(self, count):
        """Charge `count` bytes that the request holds until it is answered, beside its body.

        Raises
        ------
        BurdocklugError
            Of kind ``body_too_large`` if the request could not be held even by itself, else as
            `ClientBudget.charge` does.
        """
        needed = self._conn.held_bytes + count
        if needed > self.max_bytes:
            self.note(RefusalReason.BODY_TOO_LARGE)
            raise BurdocklugError(
                ErrorKind.BODY_TOO_LARGE,
                f"the request takes up {needed} bytes of memory, at most {self.max_bytes} allowed",
            )
        self._budget.charge(self._conn, count)

    def note(self, reason):
        """Count a refusal, as `ClientBudget.note` does."""
        self._budget.note(reason, self._conn)


class _UnboundedAccount:
    """Account of a request that came over no connection."""

    max_bytes = sys.maxsize

    def receiving_body(self):
        return contextlib.nullcontext()

    def receive(self, count):
        pass

    def hold(self, count):
        pass

    def note(self, reason):
        pass


UNBOUNDED = _UnboundedAccount()


def busy_error():
    """Return the error of a request that finds or leaves no memory for it."""
    return BurdocklugError(
        ErrorKind.SERVER_BUSY, "requests under way take up all the memory that they may"
    )
