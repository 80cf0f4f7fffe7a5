"""Operators' requests to start nothing in a failure domain, and the endpoints that they concern."""

import zlib

import msgspec

__all__ = ["EvacuationView", "mark_evacuated"]

# Time after a failure domain was taken back for which its endpoints count as cold, so that the
# waiting tasks don't all start there at once.
RETURN_S = 2.0


class EvacuationView(msgspec.Struct, frozen=True, array_like=True):
    """The evacuation requests that stand, as known up to a revision of the store.

    Views from different sources are merged: of each request, the newest state known counts. A view
    that was read up to a revision has all requests of that revision, so one that it lacks and that
    isn't newer was removed.

    Parameters
    ----------
    revision : int
        Revision of the store up to which all changes are known; 0 if it was never read.
    requests : dict
        Revision of the request by failure domain.

    Examples
    --------
    >>> old = EvacuationView(5, {"north": 4})
    >>> old.merge(EvacuationView(9, {"south": 7})).requests
    {'south': 7}
    >>> old.merge(EvacuationView(3, {})).requests
    {'north': 4}
    """

    revision: int = 0
    requests: dict[str, int] = {}

    @property
    def digest(self):
        """Number that differs, as good as surely, between views with different requests."""
        if not self.requests:
            return 0
        return zlib.crc32(msgspec.json.encode(sorted(self.requests.items())))

    def merge(self, other):
        """Return the newest state of each request that either view knows."""
        requests = {}
        for domain in sorted({*self.requests, *other.requests}):
            mine, theirs = self.requests.get(domain), other.requests.get(domain)
            if theirs is None and mine > other.revision:
                requests[domain] = mine
            elif mine is None and theirs > self.revision:
                requests[domain] = theirs
            elif mine is not None and theirs is not None:
                requests[domain] = max(mine, theirs)
        return EvacuationView(max(self.revision, other.revision), requests)

    def with_request(self, domain, revision):
        """Return the view after a request that was written at a revision."""
        known = self.requests.get(domain, self.revision)
        if revision <= known:
            return self
        return EvacuationView(self.revision, {**self.requests, domain: revision})

    def without_request(self, domain, revision):
        """Return the view after a request was removed at a revision."""
        if self.requests.get(domain, revision) >= revision:
            return self
        requests = {d: r for d, r in self.requests.items() if d != domain}
        return EvacuationView(self.revision, requests)

    def read_up_to(self, revision):
        """Return the view after all changes up to a revision were applied."""
        return EvacuationView(max(self.revision, revision), self.requests)


def mark_evacuated(endpoints, evacuations, now_s):
    """Mark the endpoints of evacuated failure domains, and return whether any mark changed.

    Parameters
    ----------
    endpoints : iterable of PoolEndpoint
        All endpoints of the scheduler.
    evacuations : container of str
        Names of the evacuated failure domains.
    now_s : float
        The current time; the endpoints of a failure domain that was taken back warm up from now.
    """
    has_changed = False
    for endpoint in endpoints:
        is_evacuated = endpoint.entry.failure_domain in evacuations
        if is_evacuated == endpoint.evacuated:
            continue
        has_changed = True
        endpoint.evacuated = is_evacuated
        if not is_evacuated:
            endpoint.warm_up(now_s, for_s=RETURN_S)
    return has_changed
