"""The lease holder: chooses leases for waiting tasks, and requests and returns leases."""

import math

from burdocklug.routing._demand import AllocatorView, LeaseRequester
from burdocklug.routing._lease_returns import LeaseReturns
from burdocklug.routing._messages import (
    HeldLease,
    SlotReport,
)
from burdocklug.routing._models import WEIGHT_POLICIES, LeaseOutcome, Outgoing, SlotLease
from burdocklug.routing._unleased import UnleasedStarts

__all__ = ["SlotHolder"]

REPORT_INTERVAL_S = 3.0  # time between two reports, which renew the leases
MAX_MISS_SHARE = 0.04  # maximum share of small jobs' tasks that may find no idle lease
LEASES_PER_RESERVED = 8  # at most one in this many leases is reserved for small jobs


class SlotHolder:
    """Holds the leases of this process on the slots of one service.

    `update` and the message handlers take the time first and return a list of `Outgoing`, except
    `receive_load`, which returns None; `acquire_leases` also returns the leases to start tasks on.

    Parameters
    ----------
    service : str
        Name of the service.
    failure_domain : str
        Failure domain of this process; endpoints in it are preferred.
    weight : str
        The service's weight, a key of `WEIGHT_POLICIES`.
    """

    def __init__(self, *, service, failure_domain, weight="latency"):
        self.service = service
        self.failure_domain = failure_domain
        self.policy = WEIGHT_POLICIES[weight]
        self._endpoints = {}
        self._requester = LeaseRequester(service=service, policy=self.policy)
        self._allocator_of = {}  # endpoint name to incarnation
        self._leases = {}  # by lease id
        # Ids of idle leases, those of remote endpoints first; tasks of small jobs take the last.
        self._idle = []
        self._returns = LeaseReturns(service)
        self._next_idle_return_s = 0.0
        self._unleased = UnleasedStarts(failure_domain=failure_domain)
        self._reserved = 0  # idle leases for small jobs, exempt from recalls

    def update(self, now_s, endpoints, allocator_of):
        """Set the endpoints of the service and the allocator of each.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        endpoints : iterable of RouteEndpoint
            All endpoints of the service.
        allocator_of : dict of str to str
            Endpoint name to the allocator's incarnation.
        """
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._allocator_of = allocator_of
        previous, self._requester.allocators = self._requester.allocators, {}
        for endpoint in self._endpoints.values():
            name = allocator_of.get(endpoint.name)
            if name is None:
                continue
            local = endpoint.failure_domain == self.failure_domain
            view = self._requester.allocators.get(name)
            if view is None:
                view = previous.get(name) or AllocatorView(local, 0, 0)
                self._requester.allocators[name] = view
                view.capacity = 0
            view.capacity += endpoint.slots if endpoint.usable else 0
        for name, view in self._requester.allocators.items():
            if name not in previous:
                view.free = view.capacity
        moved = set()
        for lease in list(self._leases.values()):
            self._update_lease(now_s, lease, moved)
        return self._returns.flush(now_s, force=True) + self._report(now_s, moved)

    def set_unreachable(self, allocators):
        """Set which allocators are unreachable.

        Notes
        -----
        An allocator that becomes reachable again may not send its load: while it considers
        this process dead, it serves requests but sends no heartbeats. All its slots are therefore
        assumed to be free.
        """
        for name, view in self._requester.allocators.items():
            reachable = name not in allocators
            if view.reachable != reachable:
                view.reachable = reachable
                view.free = view.capacity if reachable else 0
                view.unanswered_s = math.inf

    def _update_lease(self, now_s, lease, moved):
        endpoint = self._endpoints.get(lease.endpoint)
        allocator = self._allocator_of.get(lease.endpoint)
        if allocator is not None and allocator != lease.allocator:
            lease.allocator = allocator
            moved.add(allocator)
        if (endpoint is None or not endpoint.usable) and not lease.busy:
            self._return_lease(now_s, lease)

    def receive_grant(self, now_s, allocator, message):
        """Handle a `SlotGrant`."""
        self._requester.record_response(allocator)
        view = self._requester.allocators.get(allocator)
        if view is not None:
            view.requested = max(0, view.requested - len(message.leases))
            view.free = message.free
            view.queued = message.queued
        expires_s = message.sent_s + message.term_s
        for granted in message.leases:
            held = granted.lease_id in self._leases
            if held or self._returns.is_duplicate(granted.lease_id) or expires_s <= now_s:
                continue
            lease = SlotLease(granted.lease_id, granted.endpoint, allocator, expires_s, now_s)
            self._leases[lease.lease_id] = lease
            self._add_idle(lease)
            endpoint = self._endpoints.get(lease.endpoint)
            if endpoint is None or not endpoint.usable:
                self._return_lease(now_s, lease, full=True)
        return []

    def receive_recall(self, now_s, allocator, message):
        """Handle a `SlotRecall`: return idle leases now and others when their tasks end."""
        idle = [
            self._leases[lease_id]
            for lease_id in self._idle
            if self._leases[lease_id].allocator == allocator
        ]
        returned = idle[: min(message.count, max(0, len(self._idle) - self._reserved))]
        for lease in returned:
            self._return_lease(now_s, lease)
        view = self._requester.allocators.get(allocator)
        if view is not None:
            view.recalled = message.count - len(returned)
        return []

    def receive_renewal(self, now_s, allocator, message):
        """Handle a `SlotRenewal`; leases that it does not list keep their expiry time."""
        for lease_id in message.lease_ids:
            lease = self._leases.get(lease_id)
            if lease is not None and lease.allocator == allocator:
                lease.expires_s = max(lease.expires_s, message.sent_s + message.term_s)
        return []

    def receive_load(self, now_s, allocator, message):
        """Handle a `SlotLoad` from an allocator's heartbeat."""
        self._requester.record_response(allocator)
        view = self._requester.allocators.get(allocator)
        if view is not None:
            view.free = message.free
            view.queued = message.queued
            view.reported_capacity = message.capacity

    def release(self, now_s, lease, outcome, *, run_s=None):
        """Release a lease that `acquire_leases` returned, once its attempt is over.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        lease : SlotLease
            The lease.
        outcome : LeaseOutcome
            How the use of the lease ended.
        run_s : float, optional
            How long the task used the slot, in seconds.
        """
        if run_s is not None:
            self._requester.record_run_time(run_s)
        if self._leases.get(lease.lease_id) is not lease:
            return
        lease.busy = False
        lease.idle_since_s = now_s
        view = self._requester.allocators.get(lease.allocator)
        endpoint = self._endpoints.get(lease.endpoint)
        if outcome is not LeaseOutcome.FINISHED:
            self._return_lease(now_s, lease, full=True)
        elif lease.expires_s <= now_s:
            del self._leases[lease.lease_id]
        elif endpoint is None or not endpoint.usable or endpoint.is_slow():
            self._return_lease(now_s, lease)
        elif view is not None and view.recalled > 0 and len(self._idle) >= self._reserved:
            view.recalled -= 1
            self._return_lease(now_s, lease)
            if not view.recalled or self._returns.count(lease.allocator) >= self.policy.batch_size:
                self._returns.make_due(now_s)
        else:
            self._add_idle(lease)

    def acquire_leases(self, now_s, waiting, *, small=None, small_job_share=0.0):
        """Return leases to start tasks on now, and messages to send.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        waiting : int
            Number of waiting tasks whose teams are below their quotas.
        small : int, optional
            The part of `waiting` that belongs to small jobs; if given, some idle leases are
            reserved for these.
        small_job_share : float, optional
            Share of small jobs' tasks in recent starts, from 0 to 1; more leases are reserved as
            it rises.

        Returns
        -------
        starts : list of SlotLease
            At most `waiting` leases; the caller passes each to `release` afterwards.
        messages : list of Outgoing
            Messages to send.
        """
        starts = []
        reserve = 0 if small is None else self._reserve_size(small_job_share)
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
        self._reserved = reserve + small
        messages = self._requester.plan_requests(
            now_s,
            waiting - len(starts),
            busy=len(self._leases) - len(self._idle),
            idle=len(self._idle),
            reserve=reserve,
            small=small,
        )
        self._return_surplus(now_s)
        messages += self._returns.flush(now_s)
        if small and self._requester.all_unresponsive(now_s):
            starts += self._unleased.take(now_s, self._endpoints.values(), small)
        due = {
            name for name, view in self._requester.allocators.items() if now_s >= view.report_due_s
        }
        return starts, messages + self._report(now_s, due)

    def _reserve_size(self, small_job_share):
        """Return the number of idle leases to reserve for small jobs.

        At most `MAX_MISS_SHARE` of their tasks should find no idle lease. While large jobs take
        all unreserved leases, tasks of small jobs take idle leases and ending tasks free them as in
        a single-server queue with utilisation `small_job_share`.
        """
        if not 0.0 < small_job_share < 1.0:
            return self.policy.reserve
        wanted = round(math.log(MAX_MISS_SHARE) / math.log(small_job_share))
        limit = len(self._leases) // LEASES_PER_RESERVED
        return max(self.policy.reserve, min(wanted, limit))

    def _add_idle(self, lease):
        """Add an idle lease: a local one at the end, where tasks of small jobs take it first."""
        endpoint = self._endpoints.get(lease.endpoint)
        if endpoint is not None and endpoint.failure_domain == self.failure_domain:
            self._idle.append(lease.lease_id)
        else:
            self._idle.insert(0, lease.lease_id)

    def _return_surplus(self, now_s):
        """Return all surplus idle leases once one of them has been idle for too long."""
        surplus = len(self._idle) - self._requester.spare_target()
        if surplus <= 0 or now_s < self._next_idle_return_s:
            return
        leases = [self._leases[lease_id] for lease_id in self._idle[:surplus]]
        if all(now_s - lease.idle_since_s < self._max_idle_s(lease) for lease in leases):
            return
        self._next_idle_return_s = now_s + self.policy.return_interval_s
        for lease in leases:
            self._return_lease(now_s, lease)

    def _max_idle_s(self, lease):
        view = self._requester.allocators.get(lease.allocator)
        contended = view is not None and view.queued > 0
        return self.policy.contended_max_idle_s if contended else self.policy.max_idle_s

    def _return_lease(self, now_s, lease, *, full=False):
        del self._leases[lease.lease_id]
        if lease.lease_id in self._idle:
            self._idle.remove(lease.lease_id)
        self._returns.add(now_s, lease, full=full, delay_s=self.policy.return_delay_s)

    def _report(self, now_s, allocators):
        """Return reports that ask each of `allocators` to renew its leases held here."""
        if not allocators:
            return []
        self._returns.forget_expired(now_s)
        held = {}
        for lease in self._leases.values():
            held.setdefault(lease.allocator, []).append(HeldLease(lease.lease_id, lease.endpoint))
        out = []
        for name in sorted(allocators):
            if name in self._requester.allocators:
                self._requester.allocators[name].report_due_s = now_s + REPORT_INTERVAL_S
            if name in held:
                out.append(Outgoing(name, SlotReport(self.service, now_s, held[name])))
        return out

    def next_return_s(self):
        """Return the time by which `acquire_leases` has to be called to send pending returns."""
        return self._returns.due_s

    def allocator_by_endpoint(self):
        """Return the incarnation of each endpoint's allocator, by endpoint name."""
        return dict(self._allocator_of)

    def slow_weights(self):
        """Return the weights of the usable endpoints that this process finds slow, by name."""
        endpoints = self._endpoints.values()
        return {e.name: round(e.weight, 2) for e in endpoints if e.usable and e.is_slow()}

    def free(self):
        """Return the estimated number of free slots of all allocators."""
        return sum(view.free for view in self._requester.allocators.values())

    def capacity(self):
        """Return the number of slots of all usable endpoints."""
        return sum(endpoint.slots for endpoint in self._endpoints.values() if endpoint.usable)

    def lease_counts(self):
        """Return the number of all leases and of the idle ones."""
        return len(self._leases), len(self._idle)
