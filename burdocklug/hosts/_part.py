"""The list of leaving hosts as a part of a process."""

from burdocklug.hosts._watch import HostWatch
from burdocklug.kernel import part

__all__ = ["build_hosts"]


@part("hosts", needs=("platform", "peers"))
def build_hosts(process):
    """Return the host watch of a process."""
    return HostWatch(process["platform"], process["peers"], process.timers)
