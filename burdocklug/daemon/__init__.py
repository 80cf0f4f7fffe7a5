"""The daemon ``burdocklugd``: a process that dispatches tasks from callers to endpoints."""

from burdocklug.daemon._main import main

__all__ = ["main"]
