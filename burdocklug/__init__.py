"""A dispatcher for sub-second tasks: every process between callers and endpoints."""

from burdocklug._version import __version__

__all__ = ["__version__"]
