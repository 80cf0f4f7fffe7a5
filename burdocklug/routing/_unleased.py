"""Starts of small jobs without a lease, while every allocator is silent."""

import math

from burdocklug.routing._models import SlotLease

__all__ = ["UnleasedStarts"]

PAUSE_S = 0.1  # between two such starts on one endpoint


class UnleasedStarts:
    """Hands out starts that the endpoints' slot guards refuse where they are too much.

    Parameters
    ----------
    failure_domain : str
        Where this process is; endpoints there go first.
    """

    def __init__(self, *, failure_domain):
        self.failure_domain = failure_domain
        self._last_id = 0  # ids count downwards, unlike those of leases
        self._untried = []  # endpoint names until `_until_s`
        self._until_s = 0.0

    def take(self, now_s, endpoints, count):
        """Return at most `count` starts, one in `PAUSE_S` on each endpoint.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        endpoints : iterable of RouteEndpoint
            All endpoints of the service.
        count : int
            Tasks of small jobs that wait.

        Returns
        -------
        list of SlotLease
            Leases that no allocator knows of.
        """
        if now_s >= self._until_s:
            self._until_s = now_s + PAUSE_S
            usable = [endpoint for endpoint in endpoints if endpoint.usable]
            local = [e for e in usable if e.failure_domain == self.failure_domain]
            self._untried = [endpoint.name for endpoint in local or usable]
        starts = []
        while self._untried and len(starts) < count:
            self._last_id -= 1
            name = self._untried.pop()
            starts.append(SlotLease(self._last_id, name, "", math.inf, now_s, busy=True))
        return starts
