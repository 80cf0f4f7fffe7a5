"""Starts of small jobs without a lease, used while no allocator responds."""

import math

from burdocklug.routing._models import SlotLease

__all__ = ["UnleasedStarts"]

START_INTERVAL_S = 0.1  # minimum time between two such starts on one endpoint


class UnleasedStarts:
    """Starts without a lease, at a limited rate; endpoints refuse those beyond their slots.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this process; its endpoints are used if any is usable.
    """

    def __init__(self, *, failure_domain):
        self.failure_domain = failure_domain
        self._last_id = 0  # ids count down from -1, so that they differ from lease ids
        self._remaining = []  # names of endpoints without an unleased start in this interval
        self._interval_end_s = 0.0

    def take(self, now_s, endpoints, count):
        """Return at most `count` starts, one per endpoint in each `START_INTERVAL_S`.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        endpoints : iterable of RouteEndpoint
            All endpoints of the service.
        count : int
            Number of waiting tasks of small jobs.

        Returns
        -------
        list of SlotLease
            Busy leases that no allocator granted; they never expire.
        """
        if now_s >= self._interval_end_s:
            self._interval_end_s = now_s + START_INTERVAL_S
            usable = [endpoint for endpoint in endpoints if endpoint.usable]
            local = [e for e in usable if e.failure_domain == self.failure_domain]
            self._remaining = [endpoint.name for endpoint in local or usable]
        starts = []
        while self._remaining and len(starts) < count:
            self._last_id -= 1
            name = self._remaining.pop()
            starts.append(SlotLease(self._last_id, name, "", math.inf, now_s, busy=True))
        return starts
