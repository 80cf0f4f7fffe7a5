"""Patching of the standard library for eventlet's event loop, at the start of a program."""

import os
import warnings

__all__ = ["patch_loop"]

EVENTLET_DEPRECATION_PATTERN = r"\s*Eventlet is deprecated"


def patch_loop():
    """Patch the standard library for eventlet and hide eventlet's deprecation warning.

    Notes
    -----
    Processes address each other by IP address, so eventlet's own DNS resolver is not loaded, which
    saves memory. Host names given on the command line are resolved by the C library.
    """
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    warnings.filterwarnings("ignore", message=EVENTLET_DEPRECATION_PATTERN)
    import eventlet

    eventlet.monkey_patch()
