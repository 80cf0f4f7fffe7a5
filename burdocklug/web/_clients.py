"""Which client gives way when connections or memory run out: plain functions and data classes."""

import enum
from dataclasses import dataclass

__all__ = [
    "ClientConnection",
    "Phase",
    "RefusalReason",
    "choose_connection_to_close",
    "choose_request_to_drop",
]


class Phase(enum.IntEnum):
    """What a connection is doing."""

    IDLE = 0  # waits for the first byte of a request
    RECEIVING = 1  # part of a request has arrived
    SERVING = 2  # a whole request has arrived and its response is not complete
    CLOSING = 3  # the response has been sent; what is left of the request is thrown away


class RefusalReason(enum.StrEnum):
    """Why a request was refused or a connection closed, as in logs and counters."""

    CONNECTIONS = "connections"  # the listener has as many connections as it may have
    DESCRIPTORS = "descriptors"  # the process has no file descriptor left
    MEMORY = "memory"  # requests under way hold as many bytes as they may hold
    HEADERS_TOO_LARGE = "headers_too_large"
    HEADERS_SLOW = "headers_slow"
    BODY_TOO_LARGE = "body_too_large"
    BODY_SLOW = "body_slow"
    BODY_UNREAD = "body_unread"  # the rest of a body that was not needed is too long
    MALFORMED = "malformed"
    BROKEN = "broken"  # the connection was reset or timed out


@dataclass(slots=True, eq=False)
class ClientConnection:
    """State of one client's connection.

    Parameters
    ----------
    listener : str
        Address of the listener that accepted it.
    peer : str
        Address of the client.
    progress_s : float
        Time at which the last bytes arrived, in seconds of the monotonic clock.
    phase : Phase
        What it is doing.
    has_been_served : bool
        Whether it has had a response.
    held_bytes : int
        Bytes of memory that its request takes up.
    is_dropped : bool
        Whether it has to give way.
    receiver : greenlet or None
        Where a part of a request is being received.
    drop : callable
        Ends its request with the error that it is called with; closes the connection if that is
        None.
    """

    listener: str
    peer: str
    progress_s: float
    phase: Phase = Phase.IDLE
    has_been_served: bool = False
    held_bytes: int = 0
    is_dropped: bool = False
    receiver: object = None
    drop: object = None

    @property
    def may_give_way(self):
        """Whether no whole request of it is being served and it has not given way yet."""
        return self.phase is not Phase.SERVING and not self.is_dropped


def choose_connection_to_close(connections):
    """Return the connection that gives way to a new one, or None if all are being served.

    A connection that never had a whole request goes before one that did, and the one without
    progress for longest goes first.

    Parameters
    ----------
    connections : iterable of ClientConnection
        The connections of one listener.

    Examples
    --------
    >>> served = ClientConnection("a", "b", 1.0, has_been_served=True)
    >>> fresh = ClientConnection("a", "c", 2.0)
    >>> choose_connection_to_close([served, fresh]).peer
    'c'
    """
    candidates = (conn for conn in connections if conn.may_give_way)
    return min(candidates, key=lambda conn: (conn.has_been_served, conn.progress_s), default=None)


def choose_request_to_drop(connections, *, newcomer):
    """Return the connection whose partial request gives way to a newcomer's bytes, or None.

    Parameters
    ----------
    connections : iterable of ClientConnection
        All connections of the process.
    newcomer : ClientConnection
        The connection that needs memory; it is never the result.

    Examples
    --------
    >>> old = ClientConnection("a", "b", 1.0, Phase.RECEIVING, held_bytes=10)
    >>> new = ClientConnection("a", "c", 2.0, Phase.RECEIVING, held_bytes=10)
    >>> choose_request_to_drop([old, new], newcomer=new).peer
    'b'
    >>> choose_request_to_drop([new], newcomer=new) is None
    True
    """
    candidates = (
        conn
        for conn in connections
        if conn.held_bytes and conn.may_give_way and conn is not newcomer
    )
    return min(candidates, key=lambda conn: conn.progress_s, default=None)
