"""The platform's store as a part of a process."""

from burdocklug.kernel import part
from burdocklug.platform import HttpStore

__all__ = ["build_platform"]


@part("platform")
def build_platform(process):
    """Return the store's client of a process."""
    settings = process.settings.platform
    return HttpStore(settings.addresses, timeout_s=settings.timeout_s)
