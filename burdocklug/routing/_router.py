"""The router of one service in one process, made of an allocator and a lease holder."""

from functools import partial

import msgspec

from burdocklug.routing import _messages as messages
from burdocklug.routing._allocator import SlotAllocator
from burdocklug.routing._holder import SlotHolder
from burdocklug.routing._models import choose_allocators

__all__ = ["ServiceRouter"]

# Interval of the allocator's ticks, and maximum time between two calls of `acquire_leases`.
TICK_S = 0.05


class ServiceRouter:
    """Chooses the endpoint on which each waiting task of one service starts.

    Parameters
    ----------
    service : str
        Name of the service.
    incarnation : str
        Incarnation of this process.
    failure_domain : str
        Failure domain of this process.
    weight : str
        The service's weight, ``latency`` or ``messages``.

    Notes
    -----
    The router has no locks: make all calls from one greenlet or one event loop, as follows.

    - `update` at start, and when the configuration, members or endpoint health change.
    - `receive` for each `SlotMessage` from a peer whose `service` is this one.
    - `release` for each lease once its attempt is over.
    - `load` for each heartbeat; pass the `SlotLoad` of another member to `receive`.
    - `acquire_leases` after any of these, after a push to the queue, and every `TICK_S` seconds.
      Start one task on each lease that it returns, or release the lease if no task is eligible.
    - Send each returned `Outgoing` by `PeerNetwork.send`, best effort. Messages from this process
      to itself are delivered internally.

    Examples
    --------
    A complete dispatch loop with one process and one endpoint:

    >>> from burdocklug.limits import FairQueue
    >>> from burdocklug.routing import LeaseOutcome, RouteEndpoint, RouteMember, ServiceRouter
    >>> router = ServiceRouter(service="press", incarnation="p1", failure_domain="north")
    >>> queue = FairQueue(max_tasks=100)
    >>> router.update(0.0, [RouteEndpoint("e1", "north", 2)], [RouteMember("p1", "north")])
    []
    >>> for index in range(3):
    ...     queue.push(f"t{index}", team="a", job="j", cost_s=0.1)
    >>> def dispatch(now_s):
    ...     small = queue.small_job_tasks()
    ...     leases, outgoing = router.acquire_leases(now_s, len(queue), small=small)
    ...     return [(lease, queue.pop()) for lease in leases]
    >>> running = dispatch(1.0)
    >>> [(lease.endpoint, task.task_ref) for lease, task in running]
    [('e1', 't0'), ('e1', 't1')]
    >>> router.release(1.2, running[0][0], LeaseOutcome.FINISHED, run_s=0.2)
    >>> [(lease.endpoint, task.task_ref) for lease, task in dispatch(1.2)]
    [('e1', 't2')]
    """

    def __init__(self, *, service, incarnation, failure_domain, weight="latency"):
        self.service = service
        self.incarnation = incarnation
        self.allocator = SlotAllocator(service=service, incarnation=incarnation, weight=weight)
        self.holder = SlotHolder(service=service, failure_domain=failure_domain, weight=weight)
        self._next_tick_s = 0.0
        self._member_count = 1

    def update(self, now_s, endpoints, members):
        """Set the service's endpoints and the live members.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        endpoints : iterable of RouteEndpoint
            All endpoints of the service; `usable` is False for leaving and ejected ones.
        members : iterable of RouteMember
            Live processes, including this one. No lease is requested from unreachable ones.

        Returns
        -------
        list of Outgoing
            Messages to send.
        """
        endpoints, members = list(endpoints), list(members)
        self._member_count = len(members)
        across = self.allocator.policy.pool_across_domains
        allocator_of = choose_allocators(endpoints, members, across_domains=across)
        mine = [
            endpoint
            for endpoint in endpoints
            if allocator_of.get(endpoint.name) == self.incarnation
        ]
        live = {member.incarnation for member in members}
        out = self.allocator.update(now_s, mine, live=live)
        out += self.holder.update(now_s, endpoints, allocator_of)
        self.holder.set_unreachable({m.incarnation for m in members if not m.reachable})
        return self._deliver_local(now_s, out)

    def receive(self, now_s, sender, message):
        """Handle a `SlotMessage` from another process and return messages to send."""
        return self._deliver_local(now_s, self._handle(now_s, sender, message))

    def _handle(self, now_s, sender, message):
        match message:
            case messages.SlotRequest():
                return self.allocator.receive_request(now_s, sender, message)
            case messages.SlotReturn():
                return self.allocator.receive_return(now_s, sender, message)
            case messages.SlotReport():
                return self.allocator.receive_report(now_s, sender, message)
            case messages.SlotGrant():
                return self.holder.receive_grant(now_s, sender, message)
            case messages.SlotRecall():
                return self.holder.receive_recall(now_s, sender, message)
            case messages.SlotRenewal():
                return self.holder.receive_renewal(now_s, sender, message)
            case messages.SlotLoad():
                self.allocator.record_slow_weights(now_s, message.slow)
                self.holder.receive_load(now_s, sender, message)
        return []

    def _deliver_local(self, now_s, outgoing):
        """Deliver the messages that are addressed to this process and return the others."""
        remote = []
        pending = list(outgoing)
        while pending:
            item = pending.pop(0)
            if item.to == self.incarnation:
                pending += self._handle(now_s, self.incarnation, item.message)
            else:
                remote.append(item)
        return remote

    def acquire_leases(self, now_s, waiting, *, small=None, small_job_share=0.0):
        """Return leases to start tasks on now, and messages to send.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        waiting : int
            Number of waiting tasks whose teams may start one.
        small : int, optional
            Result of `FairQueue.small_job_tasks`; without it no lease is reserved for small jobs.
        small_job_share : float, optional
            Result of `FairQueue.small_job_share`.

        Returns
        -------
        starts : list of SlotLease
            At most `waiting` leases.
        messages : list of Outgoing
            Messages to send.
        """
        out = []
        if now_s >= self._next_tick_s:
            self._next_tick_s = now_s + TICK_S
            out = self._deliver_local(now_s, self.allocator.tick(now_s))
        acquire = partial(self.holder.acquire_leases, small_job_share=small_job_share)
        starts, requests = acquire(now_s, waiting, small=small)
        idle_before = self.holder.lease_counts()[1]
        out += self._deliver_local(now_s, requests)
        if self.holder.lease_counts()[1] > idle_before and len(starts) < waiting:
            waiting -= len(starts)
            small = None if small is None else max(0, small - len(starts))
            more, requests = acquire(now_s, waiting, small=small)
            starts += more
            out += self._deliver_local(now_s, requests)
        return starts, out

    def release(self, now_s, lease, outcome, *, run_s=None):
        """Release a lease whose attempt is over; call `acquire_leases` next.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        lease : SlotLease
            A lease that `acquire_leases` returned.
        outcome : LeaseOutcome
            How the use of the lease ended.
        run_s : float, optional
            How long the task used the slot, in seconds.
        """
        self.holder.release(now_s, lease, outcome, run_s=run_s)

    def expected_slots(self):
        """Return the number of slots that this process's queue can expect to use.

        Notes
        -----
        These are the leased slots plus the free slots known, but not less than an equal share of
        the service's capacity.
        """
        held, _ = self.holder.lease_counts()
        share = self.holder.capacity() / max(1, self._member_count)
        return max(held + self.holder.free(), share)

    def load(self, now_s):
        """Return the `SlotLoad` for the heartbeat, or None if there is nothing to report."""
        load = self.allocator.load(now_s)
        slow = self.holder.slow_weights()
        if not self.allocator.has_endpoints() and not slow:
            return None
        return msgspec.structs.replace(load, slow=slow)
