"""Patches the standard library for the one loop of a program, first thing at its start."""

import warnings

__all__ = ["patch_loop"]

EVENTLET_DEPRECATION = r"\s*Eventlet is deprecated"


def patch_loop():
    """Patch the standard library for eventlet; its deprecation warning alone is not shown."""
    warnings.filterwarnings("ignore", message=EVENTLET_DEPRECATION)
    import eventlet

    eventlet.monkey_patch()
