"""The part of a process that runs its peer network."""

from burdocklug.kernel import part
from burdocklug.peers._network import PeerNetwork

__all__ = ["build_peers"]


@part("peers", profile=None)
def build_peers(process):
    """Return the peer network of a process.

    When peers declare the process dead, it is asked to rejoin as a new incarnation.
    """
    settings = process.settings
    network = PeerNetwork(
        settings.process.name,
        settings.process.failure_domain,
        settings.listen.advertised_peers or settings.listen.peers,
        settings.peers,
        process.timers,
        listen_address=settings.listen.peers,
    )
    network.on_declared_dead(lambda _by: process.request_rejoin())
    return network
