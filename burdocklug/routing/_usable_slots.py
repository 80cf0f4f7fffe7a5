"""How many slots of an endpoint an allocator leases out: fewer after refusals and while slow."""

__all__ = ["UsableSlots"]

FULL_PAUSE_S = 0.25  # for which a slot rests after a refused start
SLOW_TERM_S = 2.0  # for which the word of other processes counts


class UsableSlots:
    """Rests of slots after refused starts, and weights of endpoints that processes find slow.

    Examples
    --------
    >>> from burdocklug.routing import RouteEndpoint
    >>> usable, endpoint = UsableSlots(), RouteEndpoint("e1", "north", 8)
    >>> usable.note_full(0.0, "e1")
    >>> usable.note_slow(0.0, {"e1": 0.5})
    >>> [usable.count(now_s, endpoint) for now_s in (0.0, 1.0, 3.0)]
    [3, 4, 8]
    """

    def __init__(self):
        self._rests = {}  # endpoint name to end times of rests, one for each refused start
        self._slow = {}  # endpoint name to the end of its term, and weight

    def note_full(self, now_s, endpoint):
        """Let one slot rest, since the endpoint refused a start."""
        self._rests.setdefault(endpoint, []).append(now_s + FULL_PAUSE_S)

    def note_slow(self, now_s, weights):
        """Take weights by endpoint name."""
        for name, weight in weights.items():
            self._slow[name] = (now_s + SLOW_TERM_S, weight)

    def forget(self, endpoint):
        """Forget an endpoint that another process leases out now."""
        self._rests.pop(endpoint, None)
        self._slow.pop(endpoint, None)

    def count(self, now_s, endpoint):
        """Return how many slots of a `RouteEndpoint` to lease out in all."""
        resting = [end_s for end_s in self._rests.get(endpoint.name, ()) if end_s > now_s]
        if endpoint.name in self._rests:
            self._rests[endpoint.name] = resting
        return self._weighted(now_s, endpoint) - len(resting)

    def _weighted(self, now_s, endpoint):
        """Return few slots of a slow endpoint, at least one, and all of another."""
        until_s, weight = self._slow.get(endpoint.name, (0.0, 1.0))
        if endpoint.is_slow():
            weight = endpoint.weight
        elif until_s <= now_s:
            return endpoint.slots
        return max(1, round(endpoint.slots * weight))
