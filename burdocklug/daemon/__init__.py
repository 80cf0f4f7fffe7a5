"""The daemon: one process between callers and endpoints."""

from burdocklug.daemon._main import main

__all__ = ["main"]
