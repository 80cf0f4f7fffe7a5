"""A dispatcher of sub-second tasks from callers to endpoints."""

from burdocklug._version import __version__

__all__ = ["__version__"]
