"""Recalls: which holders have to return leases to an allocator, and how many."""

import math
from dataclasses import dataclass

__all__ = ["SlotRecalls"]

RECALL_TIMEOUT_S = 2.0  # leases that were not returned by then are recalled again


@dataclass(slots=True)
class _Recall:
    sent_s: float = -math.inf
    outstanding: int = 0


class SlotRecalls:
    """Leases that an allocator has recalled from each holder and not received back.

    Parameters
    ----------
    interval_s : float
        Minimum time between two recalls to the same holder, in seconds.

    Examples
    --------
    >>> recalls = SlotRecalls(interval_s=0.1)
    >>> recalls.plan(1.0, capacity=8, held={"p1": 8}, wanted={"p2": 3})
    [('p1', 3)]
    >>> recalls.plan(1.05, capacity=8, held={"p1": 8}, wanted={"p2": 4})
    []
    """

    def __init__(self, *, interval_s):
        self.interval_s = interval_s
        self._recalls = {}

    def forget(self, holder):
        """Drop the state of a holder that is no longer live."""
        self._recalls.pop(holder, None)

    def record_return(self, holder):
        """Count one lease of a holder as returned; it may also have expired."""
        recall = self._recalls.get(holder)
        if recall is not None:
            recall.outstanding = max(0, recall.outstanding - 1)

    def plan(self, now_s, *, capacity, held, wanted):
        """Return the recalls to send.

        Holders above the fair share return leases for the demands of holders below it.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        capacity : int
            Number of slots of the allocator's endpoints.
        held : dict of str to int
            Number of leases by holder.
        wanted : dict of str to int
            Number of leases that each holder waits for.

        Returns
        -------
        list of (str, int)
            Holder, and the total number of leases that it has yet to return.
        """
        fair_share = math.ceil(capacity / max(1, len(held.keys() | wanted.keys())))
        unmet = sum(
            min(count, max(0, fair_share - held.get(holder, 0))) for holder, count in wanted.items()
        )
        for recall in self._recalls.values():
            if now_s - recall.sent_s > RECALL_TIMEOUT_S:
                recall.outstanding = 0
        unmet -= sum(recall.outstanding for recall in self._recalls.values())
        planned = []
        for holder, count in sorted(held.items(), key=lambda item: (-item[1], item[0])):
            recall = self._recalls.setdefault(holder, _Recall())
            more = min(unmet, count - recall.outstanding - fair_share)
            if more > 0 and now_s - recall.sent_s >= self.interval_s:
                recall.sent_s = now_s
                recall.outstanding += more
                unmet -= more
                planned.append((holder, recall.outstanding))
        return planned
