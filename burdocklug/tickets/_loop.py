"""Interface to the event loop, which tests replace by one in virtual time."""

from dataclasses import dataclass

__all__ = ["Loop", "eventlet_loop"]


@dataclass(frozen=True, slots=True)
class Loop:
    """Operations of an event loop.

    Parameters
    ----------
    spawn : callable
        Runs a function with the given arguments in a new greenlet and returns a handle whose
        `kill()` terminates it.
    sleep : callable
        Blocks the calling greenlet for the given number of seconds.
    """

    spawn: object
    sleep: object


def eventlet_loop():
    """Return the loop of eventlet."""
    import eventlet

    return Loop(eventlet.spawn, eventlet.sleep)
