"""One service's routing in one process: an allocator and a holder behind a small interface."""

from functools import partial

import msgspec

from burdocklug.routing import _messages as messages
from burdocklug.routing._allocator import SlotAllocator
from burdocklug.routing._holder import SlotHolder
from burdocklug.routing._models import choose_allocators

__all__ = ["ServiceRouter"]

TICK_S = 0.05  # longest pause between two calls of `pump`


class ServiceRouter:
    """Decides on which endpoint's slot each waiting task of one service starts.

    Parameters
    ----------
    service : str
        Name of the service.
    incarnation : str
        This process.
    failure_domain : str
        Where this process is.
    weight : str
        The service's weight, ``latency`` or ``messages``.

    Notes
    -----
    How to drive it, in one greenlet or under one lock-free loop:

    - `update` when configuration, members or endpoint health change, and at start.
    - `receive` for each `SlotMessage` from a peer whose `service` is this one.
    - `release` for each lease once its attempt is over.
    - `load` for the heartbeat; hand a member's `SlotLoad` to `receive`.
    - `pump` after any of these, after a push to the queue, and each `TICK_S` seconds; start one
      task on each lease that it returns. A start that finds no eligible task releases its lease.
    - Send each returned `Outgoing` by `PeerNetwork.send`, best effort; messages to this process
      itself are delivered inside.

    Examples
    --------
    The whole loop for one process and one endpoint:

    >>> from burdocklug.limits import FairQueue
    >>> from burdocklug.routing import LeaseOutcome, RouteEndpoint, RouteMember, ServiceRouter
    >>> router = ServiceRouter(service="press", incarnation="p1", failure_domain="north")
    >>> queue = FairQueue(max_tasks=100)
    >>> router.update(0.0, [RouteEndpoint("e1", "north", 2)], [RouteMember("p1", "north")])
    []
    >>> for index in range(3):
    ...     queue.push(f"t{index}", team="a", job="j", cost_s=0.1)
    >>> def dispatch(now_s):
    ...     leases, outgoing = router.pump(now_s, len(queue), small=queue.small_tasks())
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
        self._tick_s = 0.0
        self._members = 1

    def update(self, now_s, endpoints, members):
        """Set the service's endpoints and the live members.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        endpoints : iterable of RouteEndpoint
            All endpoints of the service; `usable` is False for leaving and ejected ones.
        members : iterable of RouteMember
            Live processes, this one included; dead ones are left out. Of those that are not
            reachable no lease is asked.

        Returns
        -------
        list of Outgoing
            Messages to send.
        """
        endpoints, members = list(endpoints), list(members)
        self._members = len(members)
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
        return self._settle(now_s, out)

    def receive(self, now_s, sender, message):
        """Take a `SlotMessage` of another process and return messages to send."""
        return self._settle(now_s, self._apply(now_s, sender, message))

    def _apply(self, now_s, sender, message):
        match message:
            case messages.SlotRequest():
                return self.allocator.request(now_s, sender, message)
            case messages.SlotReturn():
                return self.allocator.give_back(now_s, sender, message)
            case messages.SlotReport():
                return self.allocator.report(now_s, sender, message)
            case messages.SlotGrant():
                return self.holder.receive_grant(now_s, sender, message)
            case messages.SlotRecall():
                return self.holder.receive_recall(now_s, sender, message)
            case messages.SlotRenewal():
                return self.holder.receive_renewal(now_s, sender, message)
            case messages.SlotLoad():
                self.allocator.record_slow(now_s, message.slow)
                self.holder.receive_load(now_s, sender, message)
        return []

    def _settle(self, now_s, outgoing):
        """Deliver messages to this process itself and return the others."""
        rest = []
        pending = list(outgoing)
        while pending:
            item = pending.pop(0)
            if item.to == self.incarnation:
                pending += self._apply(now_s, self.incarnation, item.message)
            else:
                rest.append(item)
        return rest

    def pump(self, now_s, waiting, *, small=None, small_share=0.0):
        """Return leases to start tasks on now, and messages to send.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        waiting : int
            Waiting tasks whose teams may start one.
        small : int, optional
            `FairQueue.small_tasks`; without it no lease is reserved for small jobs.
        small_share : float, optional
            `FairQueue.small_share`.

        Returns
        -------
        starts : list of SlotLease
            At most `waiting`.
        messages : list of Outgoing
            Messages to send.
        """
        out = []
        if now_s >= self._tick_s:
            self._tick_s = now_s + TICK_S
            out = self._settle(now_s, self.allocator.tick(now_s))
        pump = partial(self.holder.pump, small_share=small_share)
        starts, asked = pump(now_s, waiting, small=small)
        idle_before = self.holder.counts()[1]
        out += self._settle(now_s, asked)
        if self.holder.counts()[1] > idle_before and len(starts) < waiting:
            waiting -= len(starts)
            small = None if small is None else max(0, small - len(starts))
            more, asked = pump(now_s, waiting, small=small)
            starts += more
            out += self._settle(now_s, asked)
        return starts, out

    def release(self, now_s, lease, outcome, *, run_s=None):
        """Take back a lease whose attempt is over; call `pump` next.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        lease : SlotLease
            A lease that `pump` returned.
        outcome : LeaseOutcome
            What became of the attempt.
        run_s : float, optional
            How long the slot was taken, in seconds.
        """
        self.holder.release(now_s, lease, outcome, run_s=run_s)

    def slots(self):
        """Return how many slots may serve this process's queue.

        Notes
        -----
        Those that it holds and those known to be free, and at least its even share.
        """
        held, _ = self.holder.counts()
        share = self.holder.capacity() / max(1, self._members)
        return max(held + self.holder.free(), share)

    def load(self, now_s):
        """Return the `SlotLoad` for the heartbeat, or None with nothing to tell."""
        load = self.allocator.load(now_s)
        slow = self.holder.slow_weights()
        if not self.allocator.has_endpoints() and not slow:
            return None
        return msgspec.structs.replace(load, slow=slow)
