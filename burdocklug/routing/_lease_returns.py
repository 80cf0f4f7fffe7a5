"""Batches of leases to return, so that one message to an allocator carries several."""

import math

from burdocklug.routing._messages import ReturnedLease, SlotReturn
from burdocklug.routing._models import Outgoing

__all__ = ["LeaseReturns"]

# Time for which a grant of a returned lease id is ignored as a duplicate; exceeds a lease's term.
RETURNED_ID_TTL_S = 15.0


class LeaseReturns:
    """Collects returned leases by allocator.

    Parameters
    ----------
    service : str
        Name of the service.

    Attributes
    ----------
    due_s : float
        Time from which `flush` returns messages; infinite if no lease is waiting.
    """

    def __init__(self, service):
        self.service = service
        self.due_s = math.inf
        self._pending = {}  # allocator to list of ReturnedLease
        self._returned_until_s = {}  # lease id to the time until which its grant is a duplicate

    def add(self, now_s, lease, *, full, delay_s):
        """Add a `SlotLease` to return `delay_s` seconds from now at the latest."""
        self._returned_until_s[lease.lease_id] = now_s + RETURNED_ID_TTL_S
        returned = ReturnedLease(lease.lease_id, lease.endpoint, full)
        self._pending.setdefault(lease.allocator, []).append(returned)
        self.due_s = min(self.due_s, now_s + delay_s)

    def make_due(self, now_s):
        """Make the pending leases due now."""
        self.due_s = now_s

    def count(self, allocator):
        """Return the number of pending leases of an allocator."""
        return len(self._pending.get(allocator, ()))

    def flush(self, now_s, *, force=False):
        """Return the messages with all pending leases if they are due or `force` is set."""
        if not self._pending or not (force or now_s >= self.due_s):
            return []
        pending, self._pending, self.due_s = self._pending, {}, math.inf
        return [
            Outgoing(name, SlotReturn(self.service, leases)) for name, leases in pending.items()
        ]

    def is_duplicate(self, lease_id):
        """Return whether a grant of this lease duplicates one that was already returned."""
        return lease_id in self._returned_until_s

    def forget_expired(self, now_s):
        """Forget returned leases whose grants can no longer be in flight."""
        for lease_id in [key for key, end_s in self._returned_until_s.items() if end_s <= now_s]:
            del self._returned_until_s[lease_id]
