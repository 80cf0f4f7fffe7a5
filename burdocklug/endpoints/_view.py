"""Which endpoints take work, as one process sees it.

Each process derives the health of endpoints from its own traffic. It announces an ejection to its
peers, which also exclude the endpoint for a while, so that a faulty endpoint fails tasks of one
process rather than of all. The process that ejected the endpoint re-admits it by single probes.
An endpoint that reports that it is leaving is excluded as well.
"""

from dataclasses import dataclass, field

from burdocklug.endpoints._health import EndpointHealth, OutcomeKind

__all__ = ["EndpointView"]

PEER_EJECTION_TTL_S = 10.0  # a peer's ejection applies this long unless the peer ejects again
# Share of a service's endpoints; if peers ejected more, their ejections are ignored.
MAX_PEER_EJECTED_SHARE = 1 / 2
LEAVING_TTL_S = 10.0  # an endpoint's report that it is leaving applies this long


@dataclass(slots=True)
class _Service:
    health: EndpointHealth
    addresses: dict = field(default_factory=dict)


class EndpointView:
    """Availability of the endpoints of every service, as one process sees it.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of the probe intervals.
    """

    def __init__(self, rng):
        self._rng = rng
        self._services = {}
        self._peer_ejected_until_s = {}  # by address
        # Last ejection count received from a peer, by (incarnation, address).
        self._received_ejection_counts = {}
        self._leaving_until_s = {}  # by address
        self._ejection_counts = {}  # address to the number of ejections by this process
        self.changes = 0  # number of events that may have changed the usable endpoints

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
        """Return whether an endpoint takes work other than probes."""
        if self.is_leaving(address, now_s):
            return False
        entry = self._services[service]
        if not entry.health.usable(address, now_s):
            return False
        return not self._is_ejected_by_peers(entry, address, now_s)

    def _is_ejected_by_peers(self, entry, address, now_s):
        if self._peer_ejected_until_s.get(address, now_s) <= now_s:
            return False
        ejected_count = sum(
            self._peer_ejected_until_s.get(other, now_s) > now_s for other in entry.addresses
        )
        return ejected_count <= MAX_PEER_EJECTED_SHARE * len(entry.addresses)

    def weight(self, service, address, now_s):
        """Return the weight of an endpoint relative to a healthy one, from 0 (no tasks) to 1."""
        return self._services[service].health.weight(address, now_s)

    def due_probes(self, service, now_s):
        """Yield addresses of unusable endpoints due for a probe, each reserved for one task."""
        entry = self._services.get(service)
        for address in entry.addresses if entry else ():
            if not self.is_leaving(address, now_s):
                if entry.health.try_acquire_probe(address, now_s):
                    yield address

    def record_outcome(self, service, address, outcome, now_s):
        """Record the outcome of an attempt.

        Parameters
        ----------
        service, address : str
            The service, and the address of the endpoint.
        outcome : Outcome
            Its outcome, as far as it concerns the endpoint's health.
        now_s : float
            Monotonic seconds.
        """
        entry = self._services.get(service)
        if entry is None or address not in entry.addresses:
            return
        was_usable = entry.health.usable(address, now_s)
        entry.health.record_outcome(address, outcome, now_s)
        is_usable = entry.health.usable(address, now_s)
        if was_usable and not is_usable:
            self._ejection_counts[address] = self._ejection_counts.get(address, 0) + 1
        if was_usable is not is_usable:
            self.changes += 1
        if outcome.kind is OutcomeKind.SUCCEEDED and address in self._peer_ejected_until_s:
            del self._peer_ejected_until_s[address]
            self.changes += 1

    def note_leaving(self, address, now_s):
        """Record an endpoint's report that it is leaving."""
        if not self.is_leaving(address, now_s):
            self.changes += 1
        self._leaving_until_s[address] = now_s + LEAVING_TTL_S

    def is_leaving(self, address, now_s):
        """Return whether an endpoint reported within `LEAVING_TTL_S` that it is leaving."""
        return self._leaving_until_s.get(address, now_s) > now_s

    def ejected(self, now_s):
        """Return the ejection count of each unusable endpoint by address, or None if there is none.

        Only ejections by this process are considered and counted.
        """
        found = {
            address: self._ejection_counts.get(address, 0)
            for entry in self._services.values()
            for address in entry.addresses
            if not entry.health.usable(address, now_s)
        }
        return found or None

    def receive_peer_ejections(self, incarnation, ejected, now_s):
        """Apply a peer's ejections, each of them once, for `PEER_EJECTION_TTL_S`."""
        for address, count in ejected.items():
            if self._received_ejection_counts.get((incarnation, address)) != count:
                self._received_ejection_counts[incarnation, address] = count
                self._peer_ejected_until_s[address] = now_s + PEER_EJECTION_TTL_S
                self.changes += 1

    def forget_departed_peers(self, live):
        """Discard the last received ejection counts of incarnations that are not in `live`."""
        self._received_ejection_counts = {
            key: value for key, value in self._received_ejection_counts.items() if key[0] in live
        }

    def dump(self, now_s):
        """Return the view as plain data."""
        return {
            "ejected": self.ejected(now_s) or {},
            "ejected_by_peers": sorted(
                a for a, expires_s in self._peer_ejected_until_s.items() if expires_s > now_s
            ),
            "leaving": sorted(
                a for a, expires_s in self._leaving_until_s.items() if expires_s > now_s
            ),
        }
