"""Which holders an allocator asks to give slots back, and how many."""

import math
from dataclasses import dataclass

__all__ = ["SlotRecalls"]

RECALL_TERM_S = 2.0  # after which slots that did not come back are asked for anew


@dataclass(slots=True)
class _Recall:
    sent_s: float = -math.inf
    owed: int = 0


class SlotRecalls:
    """What each holder owes to an allocator.

    Parameters
    ----------
    pause_s : float
        Between two recalls to a holder, in seconds.

    Examples
    --------
    >>> recalls = SlotRecalls(pause_s=0.1)
    >>> recalls.plan(1.0, capacity=8, held={"p1": 8}, wanted={"p2": 3})
    [('p1', 3)]
    >>> recalls.plan(1.05, capacity=8, held={"p1": 8}, wanted={"p2": 4})
    []
    """

    def __init__(self, *, pause_s):
        self.pause_s = pause_s
        self._recalls = {}

    def forget(self, holder):
        """Forget a holder that is gone."""
        self._recalls.pop(holder, None)

    def note_returned(self, holder):
        """Count a lease that a holder no longer has."""
        recall = self._recalls.get(holder)
        if recall is not None:
            recall.owed = max(0, recall.owed - 1)

    def plan(self, now_s, *, capacity, held, wanted):
        """Return the recalls to send, from holders above the fair share for demands below it.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        capacity : int
            Slots of the allocator's endpoints.
        held : dict of str to int
            Leases by holder.
        wanted : dict of str to int
            Leases that holders wait for.

        Returns
        -------
        list of (str, int)
            Holder and all that it owes now.
        """
        fair = math.ceil(capacity / max(1, len(held.keys() | wanted.keys())))
        unmet = sum(
            min(count, max(0, fair - held.get(holder, 0))) for holder, count in wanted.items()
        )
        for recall in self._recalls.values():
            if now_s - recall.sent_s > RECALL_TERM_S:
                recall.owed = 0
        unmet -= sum(recall.owed for recall in self._recalls.values())
        planned = []
        for holder, count in sorted(held.items(), key=lambda item: (-item[1], item[0])):
            recall = self._recalls.setdefault(holder, _Recall())
            more = min(unmet, count - recall.owed - fair)
            if more > 0 and now_s - recall.sent_s >= self.pause_s:
                recall.sent_s = now_s
                recall.owed += more
                unmet -= more
                planned.append((holder, recall.owed))
        return planned
