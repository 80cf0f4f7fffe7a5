"""The command line for operators and callers."""

from burdocklug.cli._main import main

__all__ = ["main"]
