"""The budget of clients' requests as a part of a process, which all listeners share."""

import resource

from burdocklug.kernel import part
from burdocklug.web._budget import ClientBudget

__all__ = ["build_web", "max_caller_connections"]

CALLERS_SHARE = 2  # callers' connections take up at most this part of the descriptors


def max_caller_connections(settings):
    """Return the largest number of callers' connections that a process with `settings` may have.

    Half of the descriptors that the system allows are left for files, endpoints, peers, the store
    and operators.
    """
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [settings.listen.max_connections, settings.process.max_caller_connections]
    if system_limit != resource.RLIM_INFINITY:
        limits.append(max(1, system_limit // CALLERS_SHARE))
    return min(limits)


@part("web", profile=None)
def build_web(process):
    """Return the budget of clients' connections and requests."""
    return ClientBudget(process.settings.process.max_request_bytes, now=process.timers.now)
