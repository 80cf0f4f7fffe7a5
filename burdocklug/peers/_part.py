"""The peer network as a part of a process."""

from burdocklug.kernel import part
from burdocklug.peers._network import PeerNetwork

__all__ = ["build_peers"]


@part("peers")
def build_peers(process):
    """Return the peer network of a process."""
    settings = process.settings
    return PeerNetwork(
        settings.process.name,
        settings.process.failure_domain,
        settings.listen.peers,
        settings.peers,
        process.timers,
    )
