"""Messages by which a new configuration passes between the processes of a pool."""

import msgspec

from burdocklug.pools._evacuations import EvacuationView
from burdocklug.pools.cells import CellPlan

__all__ = ["ConfigurationReply", "ConfigurationRequest", "VersionNotice"]


class VersionNotice(msgspec.Struct, frozen=True, array_like=True, tag="pool_version"):
    """Tells a peer of the version of the configuration that is in force in the sender."""

    version: int


class ConfigurationRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="pool_config_part_ask"
):
    """Asks a peer for a part of the change to its configuration.

    Parameters
    ----------
    known_version : int
        Version in force in the sender; 0 for none.
    version : int
        Version to which the change leads that is being fetched; 0 for the newest one.
    offset : int
        Number of its bytes that the sender has.
    """

    known_version: int
    version: int = 0
    offset: int = 0


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True, tag="pool_config_part"):
    """Part of the change to a configuration; the evacuations and the plan of cells, whole.

    Parameters
    ----------
    version : int
        Version to which the change leads.
    offset : int
        Position of the part in the encoded change.
    size : int
        Size of the encoded change in bytes; 0 if the sender has no newer version.
    data : bytes
        The part.
    newest_version : int
        Version in force in the sender, which may be newer than that of the change.
    operators_revision : int
        As in `HeartbeatReply`.
    evacuations : EvacuationView
        Evacuations as the sender knows them.
    plan : CellPlan
        Plan of cells in force in the sender.
    """

    version: int
    offset: int
    size: int
    data: bytes
    newest_version: int
    operators_revision: int = 0
    evacuations: EvacuationView = EvacuationView()
    plan: CellPlan = CellPlan()
