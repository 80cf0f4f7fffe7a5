"""The budget of clients' requests as a part of a process, which all listeners share."""

from burdocklug.kernel import part
from burdocklug.web._budget import ClientBudget

__all__ = ["build_web"]


@part("web", profile=None)
def build_web(process):
    """Return the budget of clients' connections and requests."""
    return ClientBudget(process.settings.process.max_request_bytes, now=process.timers.now)
