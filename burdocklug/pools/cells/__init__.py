"""Division of a pool into cells, each with a scheduler of its own for a share of the endpoints."""

from burdocklug.pools.cells._network import CellNetworks
from burdocklug.pools.cells._plan import (
    MOVE_DELAY_S,
    CellPlan,
    EndpointShare,
    PlanChooser,
    cell_of,
    decode_plan,
    endpoint_share,
    wanted_cells,
)
from burdocklug.pools.cells._view import CellView

__all__ = [
    "CellNetworks",
    "CellPlan",
    "CellView",
    "EndpointShare",
    "MOVE_DELAY_S",
    "PlanChooser",
    "cell_of",
    "decode_plan",
    "endpoint_share",
    "wanted_cells",
]
