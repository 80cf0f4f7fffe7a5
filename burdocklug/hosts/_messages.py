"""Messages between processes about the platform's list of hosts."""

import msgspec

__all__ = ["GetHosts", "Hosts"]


class GetHosts(msgspec.Struct, tag="get_hosts", frozen=True, array_like=True):
    """Request for the list of hosts that a peer holds."""


class Hosts(msgspec.Struct, tag="hosts", frozen=True, array_like=True):
    """The platform's list of hosts, by IP address, and its version there."""

    version: int
    live: list[str]
    leaving: list[str]
