"""Which endpoints take work, from this process's traffic, its peers' and the endpoints' words.

Each process judges endpoints by its own traffic. An ejection is told to the peers, which leave
the endpoint out for a while too, so that one process's spoiled tasks warn all; the process that
ejected it re-admits it by single trials.
"""

from dataclasses import dataclass, field

from burdocklug.endpoints._health import EndpointHealth, OutcomeKind

__all__ = ["EndpointView"]

SHARED_TERM_S = 10.0  # how long a peer's ejection counts here without a new one
SHARED_FLEET_SHARE = 1 / 2  # of a service's endpoints that peers' ejections may leave out
LEAVING_TERM_S = 10.0  # how long an endpoint's word that it is leaving counts


@dataclass(slots=True)
class _Service:
    health: EndpointHealth
    addresses: dict = field(default_factory=dict)


class EndpointView:
    """Health of the endpoints of every service, as one process sees it.

    Parameters
    ----------
    rng : random.Random
        Source of jitter between trials.
    """

    def __init__(self, rng):
        self._rng = rng
        self._services = {}
        self._shared = {}  # address to the time until which a peer's ejection counts
        self._seen = {}  # (incarnation, address) to the number of its last ejection
        self._leaving = {}  # address to the time until which its own word counts
        self._ejections = {}  # address to the number of its ejections here
        self.changes = 0  # grows whenever the usable endpoints may have changed by an event

    def set_endpoints(self, service, endpoints):
        """Replace the endpoints of a service.

        Parameters
        ----------
        service : str
            The service.
        endpoints : iterable of EndpointState
            Its endpoints.
        """
        domains = {endpoint.address: endpoint.failure_domain for endpoint in endpoints}
        entry = self._services.get(service)
        if entry is None:
            entry = self._services[service] = _Service(EndpointHealth(domains, rng=self._rng))
        elif entry.addresses != domains:
            entry.health.set_endpoints(domains)
        entry.addresses = domains

    def usable(self, service, address, now_s):
        """Return whether an endpoint takes work other than trials."""
        if self.is_leaving(address, now_s):
            return False
        entry = self._services[service]
        if not entry.health.usable(address, now_s):
            return False
        return not self._left_out_by_peers(entry, address, now_s)

    def _left_out_by_peers(self, entry, address, now_s):
        if self._shared.get(address, now_s) <= now_s:
            return False
        left_out = sum(self._shared.get(other, now_s) > now_s for other in entry.addresses)
        return left_out <= SHARED_FLEET_SHARE * len(entry.addresses)

    def weight(self, service, address, now_s):
        """Return the share of tasks to send, from 0 to 1, relative to healthy peers."""
        return self._services[service].health.weight(address, now_s)

    def due_trials(self, service, now_s):
        """Yield addresses of ejected endpoints that one task may be tried on now."""
        entry = self._services.get(service)
        for address in entry.addresses if entry else ():
            if not self.is_leaving(address, now_s):
                if entry.health.try_acquire_trial(address, now_s):
                    yield address

    def note(self, service, address, outcome, now_s):
        """Take in the outcome of an attempt.

        Parameters
        ----------
        service, address : str
            Where the attempt ran.
        outcome : Outcome
            What it showed.
        now_s : float
            Monotonic seconds.
        """
        entry = self._services.get(service)
        if entry is None or address not in entry.addresses:
            return
        was_usable = entry.health.usable(address, now_s)
        entry.health.note(address, outcome, now_s)
        is_usable = entry.health.usable(address, now_s)
        if was_usable and not is_usable:
            self._ejections[address] = self._ejections.get(address, 0) + 1
        if was_usable is not is_usable:
            self.changes += 1
        if outcome.kind is OutcomeKind.SUCCEEDED and address in self._shared:
            del self._shared[address]
            self.changes += 1

    def note_leaving(self, address, now_s):
        """Take an endpoint's own word that it is leaving."""
        if not self.is_leaving(address, now_s):
            self.changes += 1
        self._leaving[address] = now_s + LEAVING_TERM_S

    def is_leaving(self, address, now_s):
        """Return whether an endpoint said of late that it is leaving."""
        return self._leaving.get(address, now_s) > now_s

    def ejected(self, now_s):
        """Return address and number of ejections of each endpoint that is ejected here, or None."""
        found = {
            address: self._ejections.get(address, 0)
            for entry in self._services.values()
            for address in entry.addresses
            if not entry.health.usable(address, now_s)
        }
        return found or None

    def receive_ejected(self, incarnation, ejected, now_s):
        """Take the ejections that a peer told; each counts once, for a while."""
        for address, number in ejected.items():
            if self._seen.get((incarnation, address)) != number:
                self._seen[incarnation, address] = number
                self._shared[address] = now_s + SHARED_TERM_S
                self.changes += 1

    def forget_peers(self, live):
        """Forget what incarnations that are not in `live` told."""
        self._seen = {key: value for key, value in self._seen.items() if key[0] in live}

    def dump(self, now_s):
        """Return the view as plain data."""
        return {
            "ejected": self.ejected(now_s) or {},
            "ejected_by_peers": sorted(a for a, until in self._shared.items() if until > now_s),
            "leaving": sorted(a for a, until in self._leaving.items() if until > now_s),
        }
