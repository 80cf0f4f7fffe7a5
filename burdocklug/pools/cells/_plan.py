"""Decides into how many cells a pool is split, and which cell has an endpoint or a job.

A cell is a share of a pool's endpoints with a scheduler of its own. All processes use the same
plan, which is kept in the store, so that they agree on the cell of each job and endpoint.
"""

import enum
import hashlib
import math

import msgspec

from burdocklug.kernel import decode_json

__all__ = [
    "CellPlan",
    "EndpointShare",
    "PlanChooser",
    "cell_of",
    "decode_plan",
    "endpoint_share",
    "wanted_cells",
]

# Endpoints that a scheduler serves with one usable core, their share of the load included.
ENDPOINTS_PER_CORE = 300
GROW_AFTER_S = 1.0  # time for which more cells have to be wanted before the plan changes
SHRINK_AFTER_S = 60.0  # time for which half as many cells, or fewer, have to suffice
# Time after a change of the plan in which an endpoint that changes its cell gets no starts; longer
# than a lease, and than most runs take.
MOVE_DELAY_S = 2.0
MAX_CELLS = 64  # each process exchanges heartbeats with the scheduler of each cell

_JUMP_MULTIPLIER = 2862933555777941757  # of the linear congruential generator in `cell_of`
_JUMP_MASK = (1 << 64) - 1


class CellPlan(msgspec.Struct, frozen=True, order=True):
    """Number of cells of a pool; of two plans, the one with the higher number supersedes.

    The number of a plan that was read is the revision of its record in the store.
    """

    number: int = 0
    cells: int = 1


def decode_plan(value):
    """Return the `CellPlan` in a store value; raises ValueError if it is not valid."""
    plan = decode_json(value, CellPlan)
    if not 1 <= plan.cells <= MAX_CELLS:
        raise ValueError(f"{plan.cells} cells, expected 1 to {MAX_CELLS}")
    return plan


def cell_of(name, cells):
    """Return the number of the cell that has the endpoint or job of a given name.

    Parameters
    ----------
    name : str
        Id of an endpoint or a job.
    cells : int
        Number of cells.

    Notes
    -----
    Jump consistent hashing (Lamping and Veach, 2014): when the number of cells grows from n to
    n + 1, one name in n + 1 changes its cell, and all of those go to the new one.

    Examples
    --------
    >>> cell_of("5c0e7a21d94b36f8", 1)
    0
    >>> [cell_of("5c0e7a21d94b36f9", cells) for cells in (2, 3, 4)]
    [0, 2, 2]
    """
    if cells <= 1:
        return 0
    key = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")
    cell, following = -1, 0
    while following < cells:
        cell = following
        key = (key * _JUMP_MULTIPLIER + 1) & _JUMP_MASK
        following = int((cell + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return cell


def wanted_cells(endpoints, cores):
    """Return into how many cells a pool should be split.

    Parameters
    ----------
    endpoints : int
        Number of endpoints.
    cores : iterable of float
        Usable cores of the hosts that may schedule a cell.

    Examples
    --------
    >>> wanted_cells(350, [2.1, 0.5, 2.1]), wanted_cells(3000, [2.0] * 60), wanted_cells(45, [0.1])
    (1, 5, 1)
    """
    cores = list(cores)
    largest = max(cores, default=0.0)
    if largest <= 0.0:
        return 1
    needed = math.ceil(endpoints / (ENDPOINTS_PER_CORE * largest))
    return max(1, min(needed, len(cores), MAX_CELLS))


class PlanChooser:
    """Chooses the next plan, once the need for it has lasted for some time."""

    def __init__(self):
        self._wanted = None
        self._since_s = 0.0

    def next_plan(self, plan, wanted, now_s):
        """Return the plan that supersedes `plan`, or None while it stays in force.

        Parameters
        ----------
        plan : CellPlan
            The plan in force.
        wanted : int
            Number of cells that `wanted_cells` returns now.
        now_s : float
            The current time.
        """
        is_larger, is_smaller = wanted > plan.cells, 2 * wanted <= plan.cells
        if not is_larger and not is_smaller:
            self._wanted = None
            return None
        if self._wanted != wanted:
            self._wanted, self._since_s = wanted, now_s
        if now_s - self._since_s < (GROW_AFTER_S if is_larger else SHRINK_AFTER_S):
            return None
        self._wanted = None
        return CellPlan(plan.number + 1, wanted)


class EndpointShare(enum.Enum):
    """What a cell may do with an endpoint."""

    OWN = "own"
    LEAVING = "leaving"  # runs there go on, and none is started
    FOREIGN = "foreign"


def endpoint_share(endpoint_id, cell, *, plan, before, changed_s, now_s):
    """Return what a cell may do with an endpoint.

    An endpoint that changes its cell is idle for `MOVE_DELAY_S`, in which its runs end.

    Parameters
    ----------
    endpoint_id : str
        The endpoint.
    cell : int
        Number of the cell.
    plan, before : CellPlan
        The plan in force, and the one before it.
    changed_s, now_s : float
        When the plan came into force here, and the current time.

    Examples
    --------
    >>> one, two = CellPlan(0, 1), CellPlan(1, 2)
    >>> [endpoint_share("e4", n, plan=two, before=one, changed_s=8, now_s=9).value for n in (0, 1)]
    ['leaving', 'foreign']
    >>> [endpoint_share("e4", n, plan=two, before=one, changed_s=8, now_s=11).value for n in (0, 1)]
    ['foreign', 'own']
    """
    is_own = cell_of(endpoint_id, plan.cells) == cell
    if now_s - changed_s >= MOVE_DELAY_S:
        return EndpointShare.OWN if is_own else EndpointShare.FOREIGN
    was_own = cell_of(endpoint_id, before.cells) == cell
    if is_own and was_own:
        return EndpointShare.OWN
    return EndpointShare.LEAVING if was_own else EndpointShare.FOREIGN
