"""Messages between processes about the platform's list of hosts."""

import msgspec

__all__ = ["GetHosts", "Hosts"]


class GetHosts(msgspec.Struct, tag="get_hosts", frozen=True, array_like=True):
    """Ask a peer for the newest list of hosts that it holds."""


class Hosts(msgspec.Struct, tag="hosts", frozen=True, array_like=True):
    """A list of hosts; the members are IP numbers, `version` is the platform's."""

    version: int
    live: list[str]
    leaving: list[str]
