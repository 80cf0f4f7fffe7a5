"""Patches the standard library for the one loop of a program, first thing at its start."""

import os
import warnings

__all__ = ["patch_loop"]

EVENTLET_DEPRECATION = r"\s*Eventlet is deprecated"


def patch_loop():
    """Patch the standard library for eventlet; its deprecation warning alone is not shown.

    Notes
    -----
    Processes address each other by IP numbers, so eventlet's own resolver stays out of memory. A
    host name that a user of the command line gives is resolved by the C library.
    """
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    warnings.filterwarnings("ignore", message=EVENTLET_DEPRECATION)
    import eventlet

    eventlet.monkey_patch()
