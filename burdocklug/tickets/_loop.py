"""How this package starts concurrent calls and waits, so that tests can supply virtual time."""

from dataclasses import dataclass

__all__ = ["Loop", "eventlet_loop"]


@dataclass(frozen=True, slots=True)
class Loop:
    """The two operations of a loop that block or start a greenlet.

    Parameters
    ----------
    spawn : callable
        Takes a function and its arguments, runs it concurrently and returns a handle whose
        `kill()` ends it.
    sleep : callable
        Takes seconds and blocks the calling greenlet only.
    """

    spawn: object
    sleep: object


def eventlet_loop():
    """Return the loop of the running process."""
    import eventlet

    return Loop(eventlet.spawn, eventlet.sleep)
