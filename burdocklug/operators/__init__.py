"""The operators' HTTP interface: change tickets, state dump, draining."""

from burdocklug.operators._routes import operators_app

__all__ = ["operators_app"]
