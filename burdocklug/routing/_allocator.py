"""The allocator: grants leases on endpoint slots to the processes that dispatch tasks."""

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
from burdocklug.routing._models import WEIGHT_POLICIES, Outgoing
from burdocklug.routing._recalls import SlotRecalls
from burdocklug.routing._usable_slots import UsableSlots

__all__ = ["LEASE_TERM_S", "SlotAllocator"]

LEASE_TERM_S = 10.0
TAKEOVER_GRACE_S = 0.5  # wait for holders to report an endpoint's leases before granting new ones
DEMAND_TTL_S = 5.0  # time after which a demand is dropped if its holder sends no new request
LOST_GRANT_AGE_S = 1.0  # an unreported lease older than this counts as never received
HEADROOM_SHARE = 1 / 40  # share of all slots that is left free for small jobs
LEASE_NUMBER_BITS = 24  # low bits count the leases; the bits above identify the incarnation


class SlotAllocator:
    """Grants leases on the slots of the endpoints that this process allocates for one service.

    `update`, `tick` and the message handlers take the time first and return a list of `Outgoing`.
    A message that is lost, late or duplicated costs waiting time or a start that the endpoint
    refuses; counts that are wrong because of it are corrected within one lease term.

    Parameters
    ----------
    service : str
        Name of the service.
    incarnation : str
        Incarnation of this process; it makes lease ids unique.
    weight : str
        The service's weight, a key of `WEIGHT_POLICIES`.

    Examples
    --------
    >>> from burdocklug.routing import RouteEndpoint, SlotRequest
    >>> allocator = SlotAllocator(service="press", incarnation="p1")
    >>> allocator.update(0.0, [RouteEndpoint("e1", "north", 2)], live={"p1", "p2"})
    []
    >>> [grant] = allocator.receive_request(1.0, "p2", SlotRequest("press", sequence=1, waiting=3))
    >>> grant.to, len(grant.message.leases), grant.message.queued
    ('p2', 2, 1)
    """

    def __init__(self, *, service, incarnation, weight="latency"):
        self.service = service
        self.policy = WEIGHT_POLICIES[weight]
        self._endpoints = {}
        self._capacity = 0  # slots of all endpoints
        self._leases = {}  # endpoint name to {lease id: GrantedLease}
        self._usable_slots = UsableSlots()
        self._grants_from_s = {}  # endpoint name to the time of the first grant allowed
        self._demands = {}  # holder to HolderDemand
        self._sequences = {}  # holder to the sequence of its latest request
        self._lease_counts = {}  # by holder
        self._recalls = SlotRecalls(interval_s=self.policy.recall_interval_s)
        self._last_batch_s = -math.inf  # time of the last grant to a large demand
        digest = hashlib.blake2b(incarnation.encode(), digest_size=4).digest()
        self._next_id = int.from_bytes(digest, "big") << LEASE_NUMBER_BITS

    def update(self, now_s, endpoints, *, live):
        """Set the endpoints that this process allocates, and the live incarnations.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        endpoints : iterable of RouteEndpoint
            Endpoints whose slots this process leases out.
        live : set of str
            Live incarnations; the leases of all others end.
        """
        wanted = {endpoint.name: endpoint for endpoint in endpoints}
        for name in sorted(self._endpoints.keys() - wanted.keys()):
            for lease_id in list(self._leases[name]):
                self._remove_lease(name, lease_id)
            del self._leases[name]
            self._usable_slots.forget(name)
        for name in sorted(wanted.keys() - self._endpoints.keys()):
            self._leases[name] = {}
            self._grants_from_s[name] = now_s + TAKEOVER_GRACE_S
        self._endpoints = wanted
        self._capacity = sum(endpoint.slots for endpoint in wanted.values())
        for holder in sorted((self._lease_counts.keys() | self._demands.keys()) - live):
            self._forget_holder(holder)
        return self._serve_demands(now_s)

    def _forget_holder(self, holder):
        for name, leases in self._leases.items():
            for lease_id in [key for key, lease in leases.items() if lease.holder == holder]:
                self._remove_lease(name, lease_id)
        self._demands.pop(holder, None)
        self._sequences.pop(holder, None)
        self._recalls.forget(holder)

    def _remove_lease(self, endpoint, lease_id):
        lease = self._leases.get(endpoint, {}).pop(lease_id, None)
        if lease is None:
            return
        self._lease_counts[lease.holder] -= 1
        if not self._lease_counts[lease.holder]:
            del self._lease_counts[lease.holder]
        self._recalls.record_return(lease.holder)

    def receive_request(self, now_s, holder, message):
        """Handle a `SlotRequest`: grant free slots, queue the rest, recall leases for it."""
        if message.sequence <= self._sequences.get(holder, -1):
            return []
        self._sequences[holder] = message.sequence
        self._demands.pop(holder, None)
        if message.waiting or message.spare:
            is_small = message.waiting < self.policy.batch_size
            self._demands[holder] = HolderDemand(
                message.sequence,
                message.waiting,
                message.spare,
                min(message.small, message.waiting),
                is_small,
                now_s,
                message.sent_s,
            )
        out = self._serve_demands(now_s)
        answered = any(item.to == holder and type(item.message) is SlotGrant for item in out)
        if message.small and not answered:
            out.append(self._empty_grant(now_s, holder, message))
        return out

    def _empty_grant(self, now_s, holder, message):
        """Return a grant without leases, which tells the holder that this allocator responds."""
        load = self.load(now_s)
        empty = SlotGrant(
            self.service, message.sequence, [], message.sent_s, LEASE_TERM_S, load.free, load.queued
        )
        return Outgoing(holder, empty)

    def receive_return(self, now_s, holder, message):
        """Handle a `SlotReturn`."""
        for lease in message.leases:
            granted = self._leases.get(lease.endpoint, {}).get(lease.lease_id)
            if granted is None or granted.holder != holder:
                continue
            self._remove_lease(lease.endpoint, lease.lease_id)
            if lease.full:
                self._usable_slots.record_refusal(now_s, lease.endpoint)
        return self._serve_demands(now_s)

    def receive_report(self, now_s, holder, message):
        """Handle a `SlotReport`: renew the leases listed, and adopt those not recorded here."""
        renewed = []
        for lease in message.leases:
            if self._renew_or_adopt(now_s, holder, lease):
                renewed.append(lease.lease_id)
        listed = {lease.lease_id for lease in message.leases}
        for name, leases in self._leases.items():
            for lease_id, lease in list(leases.items()):
                reportable = lease.holder == holder and now_s - lease.granted_s > LOST_GRANT_AGE_S
                if reportable and lease_id not in listed:
                    self._remove_lease(name, lease_id)
        renewal = SlotRenewal(self.service, message.sent_s, renewed, LEASE_TERM_S)
        return [Outgoing(holder, renewal), *self._serve_demands(now_s)]

    def _renew_or_adopt(self, now_s, holder, lease):
        endpoint = self._endpoints.get(lease.endpoint)
        if endpoint is None:
            return False
        leases = self._leases[lease.endpoint]
        granted = leases.get(lease.lease_id)
        if granted is None:
            if len(leases) >= endpoint.slots:
                return False
            leases[lease.lease_id] = GrantedLease(holder, now_s, now_s + LEASE_TERM_S)
            self._lease_counts[holder] = self._lease_counts.get(holder, 0) + 1
            return True
        if granted.holder != holder:
            return False
        granted.expires_s = now_s + LEASE_TERM_S
        return True

    def record_slow_weights(self, now_s, weights):
        """Record the weights, by endpoint name, of endpoints that another process finds slow."""
        own = {name: weight for name, weight in weights.items() if name in self._endpoints}
        self._usable_slots.record_slow_weights(now_s, own)

    def tick(self, now_s):
        """Expire leases and demands, then grant waiting demands; call about every 50 ms."""
        for name, leases in self._leases.items():
            for lease_id in [key for key, lease in leases.items() if lease.expires_s <= now_s]:
                self._remove_lease(name, lease_id)
        for holder, demand in list(self._demands.items()):
            if now_s - demand.received_s > DEMAND_TTL_S:
                del self._demands[holder]
        return self._serve_demands(now_s)

    def has_endpoints(self):
        """Return whether this process allocates any endpoint."""
        return bool(self._endpoints)

    def load(self, now_s):
        """Return the `SlotLoad` to send with the heartbeat."""
        capacity = sum(endpoint.slots for endpoint in self._endpoints.values() if endpoint.usable)
        free = sum(free for _, free in self._free_slots(now_s))
        queued = sum(demand.waiting for demand in self._demands.values())
        return SlotLoad(self.service, capacity, free, queued)

    def _free_slots(self, now_s):
        """Return pairs of endpoint name and number of slots that can be granted now."""
        pairs = []
        for name, endpoint in self._endpoints.items():
            if not endpoint.usable or self._grants_from_s[name] > now_s:
                continue
            free = self._usable_slots.count(now_s, endpoint) - len(self._leases[name])
            if free > 0:
                pairs.append((name, free))
        return pairs

    def _serve_demands(self, now_s):
        if not self._demands:
            return []
        free = dict(self._free_slots(now_s))
        granted = {}
        small = [holder for holder, demand in self._demands.items() if demand.is_small]
        self._grant_slots(now_s, free, granted, self._demands, "small_job_waiting")
        keep = self._headroom_slots()
        self._grant_slots(now_s, free, granted, small, "waiting", keep=keep)
        has_batch = sum(free.values()) - keep >= self.policy.batch_size
        if free and (has_batch or now_s - self._last_batch_s >= self.policy.max_batch_wait_s):
            self._grant_slots(now_s, free, granted, self._demands, "waiting", keep=keep)
            self._grant_slots(now_s, free, granted, self._demands, "spare", keep=keep)
        out = self._grant_messages(granted, sum(free.values()))
        if any(holder not in small for holder in granted):
            self._last_batch_s = now_s
        for holder, demand in list(self._demands.items()):
            if not demand.waiting:  # demand for spare leases is never queued
                del self._demands[holder]
        return out + self._plan_recalls(now_s)

    def _headroom_slots(self):
        """Return the number of free slots that are granted to small jobs only."""
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

    def _grant_slots(self, now_s, free, granted, holders, kind, *, keep=0):
        """Grant free slots one by one while more than `keep` are left.

        Each goes to the holder with the fewest leases, among equals to the oldest demand. `kind`
        is the field of `HolderDemand` that is granted; `free` and `granted` are updated.
        """
        left = sum(free.values())
        while left > keep:
            wanting = [
                (self._lease_counts.get(holder, 0), self._demands[holder].received_s, holder)
                for holder in holders
                if getattr(self._demands[holder], kind) > 0
            ]
            if not wanting:
                return
            holder = min(wanting)[2]
            demand = self._demands[holder]
            setattr(demand, kind, getattr(demand, kind) - 1)
            if kind == "small_job_waiting":
                demand.waiting -= 1
            else:
                demand.small_job_waiting = min(demand.small_job_waiting, demand.waiting)
            name = max(free, key=lambda key: (free[key], key))
            left -= 1
            free[name] -= 1
            if not free[name]:
                del free[name]
            granted.setdefault(holder, []).append(self._create_lease(now_s, holder, name))

    def _create_lease(self, now_s, holder, endpoint):
        lease = HeldLease(self._next_id, endpoint)
        self._next_id += 1
        self._leases[endpoint][lease.lease_id] = GrantedLease(holder, now_s, now_s + LEASE_TERM_S)
        self._lease_counts[holder] = self._lease_counts.get(holder, 0) + 1
        return lease

    def _plan_recalls(self, now_s):
        """Recall leases from holders above the fair share for demands of holders below it."""
        if not self._demands:
            return []
        planned = self._recalls.plan(
            now_s,
            capacity=self._capacity,
            held=self._lease_counts,
            wanted={holder: demand.waiting for holder, demand in self._demands.items()},
        )
        return [Outgoing(holder, SlotRecall(self.service, count)) for holder, count in planned]
