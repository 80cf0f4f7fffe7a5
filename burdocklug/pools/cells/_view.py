"""A cell's view of the plan: which endpoints and jobs it has, also just after a change."""

from burdocklug.pools.cells._plan import (
    MOVE_DELAY_S,
    CellPlan,
    EndpointShare,
    cell_of,
    endpoint_share,
)

__all__ = ["CellView"]


class CellView:
    """The plan in force and the one before it, as one cell sees them.

    Parameters
    ----------
    number : int
        Number of the cell.
    plan : CellPlan, optional
        The plan in force when the cell is made.

    Attributes
    ----------
    changed_s : float
        When the plan last changed here; ``-inf`` if it never did.

    Examples
    --------
    >>> view = CellView(0)
    >>> view.has_job("5c0e7a21d94b36f8"), view.endpoint_share("e4", 10.0).value
    (True, 'own')
    >>> view.apply(CellPlan(1, 2), 10.0)
    >>> view.has_job("5c0e7a21d94b36f8"), view.endpoint_share("e4", 11.0).value
    (False, 'leaving')
    """

    def __init__(self, number, plan=None):
        self.number = number
        self.changed_s = float("-inf")
        self._plan = self._before = plan or CellPlan()
        self._homes = {}  # cell of each endpoint under the plan in force, by id

    def apply(self, plan, now_s):
        """Apply a plan that supersedes the one in force."""
        self._before, self._plan, self.changed_s = self._plan, plan, now_s
        self._homes.clear()

    @property
    def plan_number(self):
        """Number of the plan in force."""
        return self._plan.number

    @property
    def is_split(self):
        """Whether the pool has other cells."""
        return self._plan.cells > 1

    def has_job(self, job_id):
        """Return whether the cell schedules the job with a given id."""
        return cell_of(job_id, self._plan.cells) == self.number

    def endpoint_share(self, endpoint_id, now_s):
        """Return what the cell may do with an endpoint, an `EndpointShare`."""
        if self._plan.cells == self._before.cells == 1:
            return EndpointShare.OWN
        if now_s - self.changed_s >= MOVE_DELAY_S:
            home = self._homes.get(endpoint_id)
            if home is None:
                home = self._homes[endpoint_id] = cell_of(endpoint_id, self._plan.cells)
            return EndpointShare.OWN if home == self.number else EndpointShare.FOREIGN
        return endpoint_share(
            endpoint_id,
            self.number,
            plan=self._plan,
            before=self._before,
            changed_s=self.changed_s,
            now_s=now_s,
        )
