"""The allocator of endpoint slots: leases them to the processes that dispatch."""

import hashlib
import math

from burdocklug.routing._allocator_state import GrantedLease, HolderDemand
from burdocklug.routing._messages import (
    HeldLease,
    SlotGrant,
    SlotLoad,
    SlotRecall,
    SlotRenewal,
)
from burdocklug.routing._models import WEIGHTS, Outgoing
from burdocklug.routing._recalls import SlotRecalls
from burdocklug.routing._usable_slots import UsableSlots

__all__ = ["LEASE_TERM_S", "SlotAllocator"]

LEASE_TERM_S = 10.0
TAKE_OVER_S = 0.5  # holders report their leases meanwhile
DEMAND_TERM_S = 5.0
LOST_GRANT_S = 1.0  # a report without a lease older than this means that its grant was lost
HEADROOM_SHARE = 1 / 40  # of the slots, left free for small jobs
ID_BITS = 24  # room for the leases of one incarnation; the higher bits name the incarnation


class SlotAllocator:
    """Leases out the slots of the endpoints of one service that this process is in charge of.

    Every method takes the time first and returns a list of `Outgoing`. Messages that are lost,
    late or repeated cost waiting time or a refused start at the endpoint, never a wrong count
    for longer than a lease's term.

    Parameters
    ----------
    service : str
        Name of the service.
    incarnation : str
        This process; it makes lease ids unique.
    weight : str
        The service's weight, a key of `WEIGHTS`.

    Examples
    --------
    >>> from burdocklug.routing import RouteEndpoint, SlotRequest
    >>> allocator = SlotAllocator(service="press", incarnation="p1")
    >>> allocator.update(0.0, [RouteEndpoint("e1", "north", 2)], live={"p1", "p2"})
    []
    >>> [grant] = allocator.request(1.0, "p2", SlotRequest("press", sequence=1, waiting=3))
    >>> grant.to, len(grant.message.leases), grant.message.queued
    ('p2', 2, 1)
    """

    def __init__(self, *, service, incarnation, weight="latency"):
        self.service = service
        self.policy = WEIGHTS[weight]
        self._endpoints = {}
        self._capacity = 0  # slots of all of them
        self._leases = {}  # endpoint name to {lease id: GrantedLease}
        self._usable = UsableSlots()
        self._grants_from_s = {}
        self._demands = {}
        self._sequences = {}
        self._held = {}  # holder to number of leases
        self._recalls = SlotRecalls(pause_s=self.policy.recall_pause_s)
        self._granted_s = -math.inf
        digest = hashlib.blake2b(incarnation.encode(), digest_size=4).digest()
        self._next_id = int.from_bytes(digest, "big") << ID_BITS

    def update(self, now_s, endpoints, *, live):
        """Set the endpoints in this process's charge and the live incarnations.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        endpoints : iterable of RouteEndpoint
            Endpoints whose allocator this process is.
        live : set of str
            Live incarnations; the leases of all others lapse.
        """
        wanted = {endpoint.name: endpoint for endpoint in endpoints}
        for name in sorted(self._endpoints.keys() - wanted.keys()):
            for lease_id in list(self._leases[name]):
                self._drop(name, lease_id)
            del self._leases[name]
            self._usable.forget(name)
        for name in sorted(wanted.keys() - self._endpoints.keys()):
            self._leases[name] = {}
            self._grants_from_s[name] = now_s + TAKE_OVER_S
        self._endpoints = wanted
        self._capacity = sum(endpoint.slots for endpoint in wanted.values())
        for holder in sorted((self._held.keys() | self._demands.keys()) - live):
            self._forget_holder(holder)
        return self._serve(now_s)

    def _forget_holder(self, holder):
        for name, leases in self._leases.items():
            for lease_id in [key for key, lease in leases.items() if lease.holder == holder]:
                self._drop(name, lease_id)
        self._demands.pop(holder, None)
        self._sequences.pop(holder, None)
        self._recalls.forget(holder)

    def _drop(self, endpoint, lease_id):
        lease = self._leases.get(endpoint, {}).pop(lease_id, None)
        if lease is None:
            return
        self._held[lease.holder] -= 1
        if not self._held[lease.holder]:
            del self._held[lease.holder]
        self._recalls.note_returned(lease.holder)

    def request(self, now_s, holder, message):
        """Take a holder's `SlotRequest`: grant what is free, queue the rest, recall for it."""
        if message.sequence <= self._sequences.get(holder, -1):
            return []
        self._sequences[holder] = message.sequence
        self._demands.pop(holder, None)
        if message.waiting or message.spare:
            small = message.waiting < self.policy.chunk
            self._demands[holder] = HolderDemand(
                message.sequence,
                message.waiting,
                message.spare,
                min(message.small, message.waiting),
                small,
                now_s,
                message.sent_s,
            )
        out = self._serve(now_s)
        answered = any(item.to == holder and type(item.message) is SlotGrant for item in out)
        if message.small and not answered:
            out.append(self._answer_empty(now_s, holder, message))
        return out

    def _answer_empty(self, now_s, holder, message):
        """Return a grant of nothing: the holder of a waiting small job has to know we live."""
        load = self.load(now_s)
        empty = SlotGrant(
            self.service, message.sequence, [], message.sent_s, LEASE_TERM_S, load.free, load.queued
        )
        return Outgoing(holder, empty)

    def give_back(self, now_s, holder, message):
        """Take a holder's `SlotReturn`."""
        for lease in message.leases:
            granted = self._leases.get(lease.endpoint, {}).get(lease.lease_id)
            if granted is None or granted.holder != holder:
                continue
            self._drop(lease.endpoint, lease.lease_id)
            if lease.full:
                self._usable.note_full(now_s, lease.endpoint)
        return self._serve(now_s)

    def report(self, now_s, holder, message):
        """Take a holder's `SlotReport`: renew what it holds, adopt what is not known yet."""
        renewed = []
        for lease in message.leases:
            if self._renew(now_s, holder, lease):
                renewed.append(lease.lease_id)
        listed = {lease.lease_id for lease in message.leases}
        for name, leases in self._leases.items():
            for lease_id, lease in list(leases.items()):
                lost = lease.holder == holder and now_s - lease.granted_s > LOST_GRANT_S
                if lost and lease_id not in listed:
                    self._drop(name, lease_id)
        renewal = SlotRenewal(self.service, message.sent_s, renewed, LEASE_TERM_S)
        return [Outgoing(holder, renewal), *self._serve(now_s)]

    def _renew(self, now_s, holder, lease):
        endpoint = self._endpoints.get(lease.endpoint)
        if endpoint is None:
            return False
        leases = self._leases[lease.endpoint]
        granted = leases.get(lease.lease_id)
        if granted is None:
            if len(leases) >= endpoint.slots:
                return False
            leases[lease.lease_id] = GrantedLease(holder, now_s, now_s + LEASE_TERM_S)
            self._held[holder] = self._held.get(holder, 0) + 1
            return True
        if granted.holder != holder:
            return False
        granted.expires_s = now_s + LEASE_TERM_S
        return True

    def note_slow(self, now_s, weights):
        """Take a process's weights of endpoints that it finds slow, by name."""
        known = {name: weight for name, weight in weights.items() if name in self._endpoints}
        self._usable.note_slow(now_s, known)

    def tick(self, now_s):
        """Let overdue leases and demands lapse and serve what waits; call each 50 ms or so."""
        for name, leases in self._leases.items():
            for lease_id in [key for key, lease in leases.items() if lease.expires_s <= now_s]:
                self._drop(name, lease_id)
        for holder, demand in list(self._demands.items()):
            if now_s - demand.seen_s > DEMAND_TERM_S:
                del self._demands[holder]
        return self._serve(now_s)

    def in_charge(self):
        """Return whether any endpoint is in this process's charge."""
        return bool(self._endpoints)

    def load(self, now_s):
        """Return the `SlotLoad` to put on the heartbeat."""
        capacity = sum(endpoint.slots for endpoint in self._endpoints.values() if endpoint.usable)
        free = sum(free for _, free in self._free(now_s))
        queued = sum(demand.waiting for demand in self._demands.values())
        return SlotLoad(self.service, capacity, free, queued)

    def _free(self, now_s):
        """Return pairs of endpoint name and number of slots that may be granted now."""
        pairs = []
        for name, endpoint in self._endpoints.items():
            if not endpoint.usable or self._grants_from_s[name] > now_s:
                continue
            free = self._usable.count(now_s, endpoint) - len(self._leases[name])
            if free > 0:
                pairs.append((name, free))
        return pairs

    def _serve(self, now_s):
        if not self._demands:
            return []
        free = dict(self._free(now_s))
        granted = {}
        small = [holder for holder, demand in self._demands.items() if demand.small]
        self._grant(now_s, free, granted, self._demands, "urgent")
        keep = self._headroom()
        self._grant(now_s, free, granted, small, "waiting", keep=keep)
        collected = sum(free.values()) - keep >= self.policy.chunk
        if free and (collected or now_s - self._granted_s >= self.policy.chunk_pause_s):
            self._grant(now_s, free, granted, self._demands, "waiting", keep=keep)
            self._grant(now_s, free, granted, self._demands, "spare", keep=keep)
        out = self._grant_messages(granted, sum(free.values()))
        if any(holder not in small for holder in granted):
            self._granted_s = now_s
        for holder, demand in list(self._demands.items()):
            if not demand.waiting:  # spare slots are asked for anew, they never queue
                del self._demands[holder]
        return out + self._recall(now_s)

    def _headroom(self):
        """Return the number of free slots that only small jobs get."""
        return int(self._capacity * HEADROOM_SHARE)

    def _grant_messages(self, granted, left):
        queued = sum(demand.waiting for demand in self._demands.values())
        out = []
        for holder, leases in granted.items():
            demand = self._demands[holder]
            grant = SlotGrant(
                self.service, demand.sequence, leases, demand.sent_s, LEASE_TERM_S, left, queued
            )
            out.append(Outgoing(holder, grant))
        return out

    def _grant(self, now_s, free, granted, holders, kind, *, keep=0):
        """Grant one slot after another to the holder with the fewest, the oldest demand first."""
        left = sum(free.values())
        while left > keep:
            wanting = [
                (self._held.get(holder, 0), self._demands[holder].seen_s, holder)
                for holder in holders
                if getattr(self._demands[holder], kind) > 0
            ]
            if not wanting:
                return
            holder = min(wanting)[2]
            demand = self._demands[holder]
            setattr(demand, kind, getattr(demand, kind) - 1)
            if kind == "urgent":
                demand.waiting -= 1
            else:
                demand.urgent = min(demand.urgent, demand.waiting)
            name = max(free, key=lambda key: (free[key], key))
            left -= 1
            free[name] -= 1
            if not free[name]:
                del free[name]
            granted.setdefault(holder, []).append(self._lease(now_s, holder, name))

    def _lease(self, now_s, holder, endpoint):
        lease = HeldLease(self._next_id, endpoint)
        self._next_id += 1
        self._leases[endpoint][lease.lease_id] = GrantedLease(holder, now_s, now_s + LEASE_TERM_S)
        self._held[holder] = self._held.get(holder, 0) + 1
        return lease

    def _recall(self, now_s):
        """Ask holders above the fair share to give back for demands below it."""
        if not self._demands:
            return []
        planned = self._recalls.plan(
            now_s,
            capacity=self._capacity,
            held=self._held,
            wanted={holder: demand.waiting for holder, demand in self._demands.items()},
        )
        return [Outgoing(holder, SlotRecall(self.service, owed)) for holder, owed in planned]
