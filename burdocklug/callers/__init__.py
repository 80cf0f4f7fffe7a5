"""The callers' HTTP interface."""

from burdocklug.callers._routes import callers_app

__all__ = ["callers_app"]
