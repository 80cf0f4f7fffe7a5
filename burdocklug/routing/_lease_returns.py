"""Leases on their way back to their allocators, collected so that one message takes several."""

import math

from burdocklug.routing._messages import ReturnedLease, SlotReturn
from burdocklug.routing._models import Outgoing

__all__ = ["LeaseReturns"]

REPEAT_TERM_S = 15.0  # longer than a lease's term: later grants of the same id are repeats


class LeaseReturns:
    """Collects returned leases by allocator.

    Parameters
    ----------
    service : str
        Name of the service.

    Attributes
    ----------
    due_s : float
        When `flush` has something to send; infinite without a returned lease.
    """

    def __init__(self, service):
        self.service = service
        self.due_s = math.inf
        self._waiting = {}  # allocator to its leases
        self._repeats_until_s = {}  # by lease id

    def add(self, now_s, lease, *, full, delay_s):
        """Return a `SlotLease`, `delay_s` seconds from now at the latest."""
        self._repeats_until_s[lease.lease_id] = now_s + REPEAT_TERM_S
        returned = ReturnedLease(lease.lease_id, lease.endpoint, full)
        self._waiting.setdefault(lease.allocator, []).append(returned)
        self.due_s = min(self.due_s, now_s + delay_s)

    def hasten(self, now_s):
        """Let the next `flush` send what is returned."""
        self.due_s = now_s

    def count(self, allocator):
        """Return how many leases wait to go back to an allocator."""
        return len(self._waiting.get(allocator, ()))

    def flush(self, now_s, *, force=False):
        """Return the messages to send now, all of them where forced."""
        if not self._waiting or not (force or now_s >= self.due_s):
            return []
        waiting, self._waiting, self.due_s = self._waiting, {}, math.inf
        return [
            Outgoing(name, SlotReturn(self.service, leases)) for name, leases in waiting.items()
        ]

    def is_repeat(self, lease_id):
        """Return whether a grant of a lease is a repeat of one that was returned."""
        return lease_id in self._repeats_until_s

    def forget_old(self, now_s):
        """Forget leases of which no grant can be under way any more."""
        for lease_id in [key for key, end_s in self._repeats_until_s.items() if end_s <= now_s]:
            del self._repeats_until_s[lease_id]
