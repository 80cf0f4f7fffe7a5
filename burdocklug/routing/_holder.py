"""The holder of slot leases: decides which lease a waiting task starts on and what to ask for."""

import math

from burdocklug.routing._demand import AllocatorView, SlotDemand
from burdocklug.routing._lease_returns import LeaseReturns
from burdocklug.routing._messages import (
    HeldLease,
    SlotReport,
)
from burdocklug.routing._models import WEIGHTS, LeaseOutcome, Outgoing, SlotLease
from burdocklug.routing._unleased import UnleasedStarts

__all__ = ["SlotHolder"]

REPORT_S = 3.0  # leases are renewed so often
MAX_SHORTAGE = 0.04  # share of small tasks that may find no idle lease
LEASES_PER_RESERVED = 8


class SlotHolder:
    """Leases that this process holds of one service's slots.

    Every method takes the time first and returns a list of `Outgoing`; `pump` returns the
    leases to start tasks on besides.

    Parameters
    ----------
    service : str
        Name of the service.
    failure_domain : str
        Where this process is; endpoints there go first.
    weight : str
        The service's weight, a key of `WEIGHTS`.
    """

    def __init__(self, *, service, failure_domain, weight="latency"):
        self.service = service
        self.failure_domain = failure_domain
        self.policy = WEIGHTS[weight]
        self._endpoints = {}
        self._demand = SlotDemand(service=service, policy=self.policy)
        self._allocator_of = {}  # endpoint name to incarnation
        self._leases = {}
        self._idle = []  # lease ids, the latest used last; local endpoints after remote ones
        self._returns = LeaseReturns(service)
        self._unused_s = 0.0
        self._unleased = UnleasedStarts(failure_domain=failure_domain)
        self._kept = 0  # idle leases that recalls leave for small jobs

    def update(self, now_s, endpoints, allocator_of):
        """Set all endpoints of the service and who allocates each.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        endpoints : iterable of RouteEndpoint
            Every endpoint of the service.
        allocator_of : dict of str to str
            Endpoint name to the allocator's incarnation.
        """
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._allocator_of = allocator_of
        known, self._demand.allocators = self._demand.allocators, {}
        for endpoint in self._endpoints.values():
            name = allocator_of.get(endpoint.name)
            if name is None:
                continue
            local = endpoint.failure_domain == self.failure_domain
            entry = self._demand.allocators.get(name)
            if entry is None:
                entry = known.get(name) or AllocatorView(local, 0, 0)
                self._demand.allocators[name] = entry
                entry.capacity = 0
            entry.capacity += endpoint.slots if endpoint.usable else 0
        for name, entry in self._demand.allocators.items():
            if name not in known:
                entry.free = entry.capacity
        moved = set()
        for lease in list(self._leases.values()):
            self._check_lease(now_s, lease, moved)
        return self._returns.flush(now_s, force=True) + self._report(now_s, moved)

    def set_unreachable(self, allocators):
        """Set which allocators may not answer.

        Notes
        -----
        One that is reached again may have no reason to tell its load: a member that it has as
        dead gets no heartbeats, but its requests are served.
        """
        for name, entry in self._demand.allocators.items():
            reachable = name not in allocators
            if entry.reachable != reachable:
                entry.reachable = reachable
                entry.free = entry.capacity if reachable else 0
                entry.urgent_s = math.inf

    def _check_lease(self, now_s, lease, moved):
        endpoint = self._endpoints.get(lease.endpoint)
        allocator = self._allocator_of.get(lease.endpoint)
        if allocator is not None and allocator != lease.allocator:
            lease.allocator = allocator
            moved.add(allocator)
        if (endpoint is None or not endpoint.usable) and not lease.busy:
            self._give_back(now_s, lease)

    def grant(self, now_s, allocator, message):
        """Take a `SlotGrant`."""
        self._demand.note_heard(allocator)
        entry = self._demand.allocators.get(allocator)
        if entry is not None:
            entry.asked = max(0, entry.asked - len(message.leases))
            entry.free = message.free
            entry.queued = message.queued
        expires_s = message.sent_s + message.term_s
        for granted in message.leases:
            held = granted.lease_id in self._leases
            if held or self._returns.is_duplicate(granted.lease_id) or expires_s <= now_s:
                continue
            lease = SlotLease(granted.lease_id, granted.endpoint, allocator, expires_s, now_s)
            self._leases[lease.lease_id] = lease
            self._put_idle(lease)
            endpoint = self._endpoints.get(lease.endpoint)
            if endpoint is None or not endpoint.usable:
                self._give_back(now_s, lease, full=True)
        return []

    def recall(self, now_s, allocator, message):
        """Take a `SlotRecall`: give back idle leases at once, owe the others."""
        idle = [
            self._leases[lease_id]
            for lease_id in self._idle
            if self._leases[lease_id].allocator == allocator
        ]
        given = idle[: min(message.count, max(0, len(self._idle) - self._kept))]
        for lease in given:
            self._give_back(now_s, lease)
        entry = self._demand.allocators.get(allocator)
        if entry is not None:
            entry.owed = message.count - len(given)
        return []

    def renewal(self, now_s, allocator, message):
        """Take a `SlotRenewal`; leases that it doesn't list run out at their old time."""
        for lease_id in message.lease_ids:
            lease = self._leases.get(lease_id)
            if lease is not None and lease.allocator == allocator:
                lease.expires_s = max(lease.expires_s, message.sent_s + message.term_s)
        return []

    def load(self, now_s, allocator, message):
        """Take the `SlotLoad` that an allocator put on its heartbeat."""
        self._demand.note_heard(allocator)
        entry = self._demand.allocators.get(allocator)
        if entry is not None:
            entry.free = message.free
            entry.queued = message.queued
            entry.offered = message.capacity

    def release(self, now_s, lease, outcome, *, run_s=None):
        """Take back a lease that `pump` returned, once its attempt is over.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        lease : SlotLease
            The lease.
        outcome : LeaseOutcome
            What became of the attempt.
        run_s : float, optional
            How long the slot was taken, in seconds.
        """
        if run_s is not None:
            self._demand.note_run(run_s)
        if self._leases.get(lease.lease_id) is not lease:
            return
        lease.busy = False
        lease.idle_since_s = now_s
        entry = self._demand.allocators.get(lease.allocator)
        endpoint = self._endpoints.get(lease.endpoint)
        if outcome is not LeaseOutcome.FINISHED:
            self._give_back(now_s, lease, full=True)
        elif lease.expires_s <= now_s:
            del self._leases[lease.lease_id]
        elif endpoint is None or not endpoint.usable or endpoint.is_slow():
            self._give_back(now_s, lease)
        elif entry is not None and entry.owed > 0 and len(self._idle) >= self._kept:
            entry.owed -= 1
            self._give_back(now_s, lease)
            if not entry.owed or self._returns.count(lease.allocator) >= self.policy.batch_size:
                self._returns.make_due(now_s)
        else:
            self._put_idle(lease)

    def pump(self, now_s, waiting, *, small=None, small_share=0.0):
        """Return leases to start tasks on now, and messages to send.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        waiting : int
            Tasks that wait and may start (their teams are under quota).
        small : int, optional
            Those of them that belong to small jobs; the last idle leases are kept for such.
        small_share : float, optional
            Their share of the starts of late, from 0 to 1; the more, the more leases are kept.

        Returns
        -------
        starts : list of SlotLease
            At most `waiting` leases; each must come back by `release`.
        messages : list of Outgoing
            Messages to send.
        """
        starts = []
        reserve = 0 if small is None else self._reserve(small_share)
        small = min(small or 0, waiting)
        while self._idle and len(starts) < waiting:
            is_small = len(starts) < small
            if not is_small and len(self._idle) <= reserve:
                break
            lease = self._leases[self._idle.pop(-1 if is_small else 0)]
            if lease.expires_s <= now_s:
                del self._leases[lease.lease_id]
                continue
            lease.busy = True
            starts.append(lease)
        small = max(0, small - len(starts))
        self._kept = reserve + small
        messages = self._demand.ask(
            now_s,
            waiting - len(starts),
            busy=len(self._leases) - len(self._idle),
            idle=len(self._idle),
            reserve=reserve,
            small=small,
        )
        self._give_back_unused(now_s)
        messages += self._returns.flush(now_s)
        if small and self._demand.all_silent(now_s):
            starts += self._unleased.take(now_s, self._endpoints.values(), small)
        due = {name for name, entry in self._demand.allocators.items() if now_s >= entry.report_s}
        return starts, messages + self._report(now_s, due)

    def _reserve(self, small_share):
        """Return how many idle leases to keep so that few small tasks find none.

        While large jobs take every other lease, slots come free and are taken by small tasks as
        in a queue with one server, of which `small_share` is the utilisation.
        """
        if not 0.0 < small_share < 1.0:
            return self.policy.reserve
        wanted = round(math.log(MAX_SHORTAGE) / math.log(small_share))
        most = len(self._leases) // LEASES_PER_RESERVED
        return max(self.policy.reserve, min(wanted, most))

    def _put_idle(self, lease):
        """Put local leases at the end, where they are taken first."""
        endpoint = self._endpoints.get(lease.endpoint)
        if endpoint is not None and endpoint.failure_domain == self.failure_domain:
            self._idle.append(lease.lease_id)
        else:
            self._idle.insert(0, lease.lease_id)

    def _give_back_unused(self, now_s):
        """Give back all idle leases but the spare ones once one of them reached its hold time."""
        surplus = len(self._idle) - self._demand.spare()
        if surplus <= 0 or now_s < self._unused_s:
            return
        unused = [self._leases[lease_id] for lease_id in self._idle[:surplus]]
        if all(now_s - lease.idle_since_s < self._hold_s(lease) for lease in unused):
            return
        self._unused_s = now_s + self.policy.return_interval_s
        for lease in unused:
            self._give_back(now_s, lease)

    def _hold_s(self, lease):
        entry = self._demand.allocators.get(lease.allocator)
        pressed = entry is not None and entry.queued > 0
        return self.policy.contended_max_idle_s if pressed else self.policy.max_idle_s

    def _give_back(self, now_s, lease, *, full=False):
        del self._leases[lease.lease_id]
        if lease.lease_id in self._idle:
            self._idle.remove(lease.lease_id)
        self._returns.add(now_s, lease, full=full, delay_s=self.policy.return_delay_s)

    def _report(self, now_s, allocators):
        """Ask each of `allocators` to renew what this process holds of it."""
        if not allocators:
            return []
        self._returns.forget_expired(now_s)
        held = {}
        for lease in self._leases.values():
            held.setdefault(lease.allocator, []).append(HeldLease(lease.lease_id, lease.endpoint))
        out = []
        for name in sorted(allocators):
            if name in self._demand.allocators:
                self._demand.allocators[name].report_s = now_s + REPORT_S
            if name in held:
                out.append(Outgoing(name, SlotReport(self.service, now_s, held[name])))
        return out

    def next_due_s(self):
        """Return when `pump` has to be called at the latest for leases on their way back."""
        return self._returns.due_s

    def allocators(self):
        """Return the allocator's incarnation by endpoint name."""
        return dict(self._allocator_of)

    def slow_endpoints(self):
        """Return the weights of the endpoints that this process finds slow, by name."""
        endpoints = self._endpoints.values()
        return {e.name: round(e.weight, 2) for e in endpoints if e.usable and e.is_slow()}

    def free(self):
        """Return the number of slots that the allocators are known to have free."""
        return sum(entry.free for entry in self._demand.allocators.values())

    def capacity(self):
        """Return the number of slots of all usable endpoints."""
        return sum(endpoint.slots for endpoint in self._endpoints.values() if endpoint.usable)

    def counts(self):
        """Return the numbers of held and of idle leases."""
        return len(self._leases), len(self._idle)
