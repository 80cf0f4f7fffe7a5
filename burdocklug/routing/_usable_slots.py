"""Number of slots of an endpoint to lease out: reduced after refused starts and while slow."""

__all__ = ["UsableSlots"]

REFUSAL_PAUSE_S = 0.25  # one slot is withheld this long after the endpoint refused a start
SLOW_TTL_S = 2.0  # validity of a weight that another process reported


class UsableSlots:
    """Tracks refused starts and the weights of slow endpoints, and counts the slots left.

    Examples
    --------
    >>> from burdocklug.routing import RouteEndpoint
    >>> usable, endpoint = UsableSlots(), RouteEndpoint("e1", "north", 8)
    >>> usable.record_refusal(0.0, "e1")
    >>> usable.record_slow_weights(0.0, {"e1": 0.5})
    >>> [usable.count(now_s, endpoint) for now_s in (0.0, 1.0, 3.0)]
    [3, 4, 8]
    """

    def __init__(self):
        self._pauses = {}  # endpoint name to the end of the pause after each refused start
        self._slow = {}  # endpoint name to expiry time and weight

    def record_refusal(self, now_s, endpoint):
        """Withhold one slot for `REFUSAL_PAUSE_S`, since the endpoint refused a start."""
        self._pauses.setdefault(endpoint, []).append(now_s + REFUSAL_PAUSE_S)

    def record_slow_weights(self, now_s, weights):
        """Record the weights of slow endpoints, by name, that another process reported."""
        for name, weight in weights.items():
            self._slow[name] = (now_s + SLOW_TTL_S, weight)

    def forget(self, endpoint):
        """Drop the state of an endpoint that this process no longer leases out."""
        self._pauses.pop(endpoint, None)
        self._slow.pop(endpoint, None)

    def count(self, now_s, endpoint):
        """Return the total number of slots of a `RouteEndpoint` to lease out."""
        paused = [end_s for end_s in self._pauses.get(endpoint.name, ()) if end_s > now_s]
        if endpoint.name in self._pauses:
            self._pauses[endpoint.name] = paused
        return self._weighted(now_s, endpoint) - len(paused)

    def _weighted(self, now_s, endpoint):
        """Return all slots, or for a slow endpoint those that its weight allows, at least one."""
        expires_s, weight = self._slow.get(endpoint.name, (0.0, 1.0))
        if endpoint.is_slow():
            weight = endpoint.weight
        elif expires_s <= now_s:
            return endpoint.slots
        return max(1, round(endpoint.slots * weight))
