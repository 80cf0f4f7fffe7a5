"""Lease requests of a holder: how many leases to request from which allocators."""

import math
from dataclasses import dataclass

from burdocklug.routing._messages import SlotRequest
from burdocklug.routing._models import Outgoing

__all__ = ["AllocatorView", "LeaseRequester"]

REQUEST_TIMEOUT_S = 2.0  # after this time, the request or its grant counts as lost
MIN_REQUEST_INTERVAL_S = 0.02  # minimum time between two requests to one allocator
INITIAL_RUN_S = 0.3  # mean run time assumed before any task has ended
RUN_TIME_GAIN = 0.05  # smoothing factor of the moving average of run times
MAX_FAILOVER_LEASES = 4  # most missing leases to request elsewhere after RESPONSE_TIMEOUT_S
RESPONSE_TIMEOUT_S = 0.25  # an allocator that takes longer to respond is unresponsive
EXCESS_RATIO = 4  # ratio of outstanding to missing leases above which requests are reduced
REMOTE_RTT_S = 0.003  # extra round trip time to another failure domain


@dataclass(slots=True)
class AllocatorView:
    """A holder's view of one allocator."""

    local: bool
    capacity: int
    free: int
    reachable: bool = True
    queued: int = 0
    requested: int = 0  # leases for waiting tasks, requested and not granted yet
    requested_s: float = -math.inf
    reported_capacity: float = math.inf  # capacity in its last `SlotLoad`
    spare_requested_s: float = -math.inf
    report_due_s: float = -math.inf
    recalled: int = 0  # leases to return when their tasks end
    unanswered_s: float = math.inf  # time of the first unanswered request for small jobs

    def is_unresponsive(self, now_s):
        """Return whether a request for small jobs timed out, or no grant can be expected.

        Allocators respond to such a request at once, if need be by a grant without leases.
        """
        if not (self.reported_capacity and self.reachable):
            return True
        return now_s - self.unanswered_s > RESPONSE_TIMEOUT_S


class LeaseRequester:
    """Decides how many leases to request from each allocator.

    Parameters
    ----------
    service : str
        Name of the service.
    policy : WeightPolicy
        Policy of the service's weight.

    Attributes
    ----------
    allocators : dict of str to AllocatorView
        View of each allocator, by incarnation.
    """

    def __init__(self, *, service, policy):
        self.service = service
        self.policy = policy
        self.allocators = {}
        self._sequence = 0
        self._missing_small = 0
        self._run_s = INITIAL_RUN_S

    def record_run_time(self, run_s):
        """Add the time for which a task used its slot, in seconds, to the mean run time."""
        self._run_s += RUN_TIME_GAIN * (run_s - self._run_s)

    def all_unresponsive(self, now_s):
        """Return whether there are allocators with capacity and none of them is responsive."""
        views = [view for view in self.allocators.values() if view.capacity]
        return bool(views) and all(view.is_unresponsive(now_s) for view in views)

    def record_response(self, allocator):
        """Record that an allocator has responded, so that it counts as responsive."""
        if allocator in self.allocators:
            self.allocators[allocator].unanswered_s = math.inf

    def spare_target(self):
        """Return the number of idle leases to keep, at most one while requests are queued."""
        queued = any(view.queued for view in self.allocators.values())
        return min(self.policy.spare, 1) if queued else self.policy.spare

    def plan_requests(self, now_s, missing, *, busy, idle, reserve, small):
        """Return the requests to send.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        missing : int
            Number of waiting tasks without a lease.
        busy, idle : int
            Numbers of busy and of idle leases.
        reserve : int
            Number of idle leases that are reserved for small jobs.
        small : int
            The part of `missing` that belongs to small jobs.
        """
        self._missing_small = small
        total = sum(self._expire_request(now_s, view) for view in self.allocators.values())
        if total > EXCESS_RATIO * missing + self.policy.batch_size or (total and idle > reserve):
            return self._reduce_requests(now_s, missing, total)
        if missing <= 0:
            return self._request_spare(now_s, idle)
        missing = self._missing_after_reuse(missing, small, busy)
        missing -= self._expected_grants(now_s, missing, total)
        wants = self._distribute(now_s, missing) if missing > 0 else {}
        return [self._request(now_s, name, want, 0) for name, want in wants.items()]

    def _missing_after_reuse(self, missing, small, busy):
        """Return how many leases are still missing when those that soon become idle are reused."""
        ends_per_s = busy / self._run_s
        small -= int(ends_per_s * self.policy.max_reuse_wait_s)
        large = missing - max(0, small) - int(ends_per_s * self.policy.large_max_reuse_wait_s)
        return max(0, small) + max(0, large)

    def _expire_request(self, now_s, view):
        """Reset a request that timed out; return the number of outstanding leases."""
        if now_s - view.requested_s > REQUEST_TIMEOUT_S:
            if view.requested:
                view.free = 0
            view.requested = 0
        return view.requested

    def _expected_grants(self, now_s, missing, total):
        """Return how many requested leases are likely to be granted soon.

        If few leases are missing, requests older than `RESPONSE_TIMEOUT_S` don't count, so that
        another allocator gets a request.
        """
        if missing > MAX_FAILOVER_LEASES:
            return total
        expected = 0
        for view in self.allocators.values():
            if now_s - view.requested_s < RESPONSE_TIMEOUT_S:
                expected += view.requested
            elif view.requested:
                view.free = 0  # the last known number is stale
        return expected

    def _reduce_requests(self, now_s, missing, total):
        """Reduce outstanding requests to the missing leases, to leave slots to other holders."""
        out = []
        for name, view in self.allocators.items():
            if view.requested and now_s - view.requested_s >= self.policy.request_interval_s:
                view.requested = max(0, missing) * view.requested // total
                out.append(self._request(now_s, name, 0, 0))
        return out

    def _distribute(self, now_s, missing):
        """Return the number of leases to request from each allocator.

        To send few requests, allocators with enough free slots for all missing leases go first,
        then those in this failure domain, then those with most free slots.
        """
        ready = [
            (name, view)
            for name, view in self.allocators.items()
            if view.capacity
            and view.reported_capacity
            and view.reachable
            and self._may_request(now_s, view, missing)
        ]
        ready.sort(
            key=lambda item: (item[1].free < missing, not item[1].local, -item[1].free, item[0])
        )
        wants = {}
        for name, view in ready:
            want = min(missing, view.free)
            if want > 0:
                wants[name] = want
                missing -= want
        if missing > 0:
            self._distribute_queued(ready, wants, missing)
        return wants

    def _distribute_queued(self, ready, wants, missing):
        """Add leases beyond the free slots, to queue at the allocators with the shortest wait."""
        ready.sort(key=lambda item: (self._expected_wait_s(item[1]), item[0]))
        total = sum(view.capacity for _, view in ready)
        for name, view in ready[:missing]:
            extra = min(view.capacity, math.ceil(missing * view.capacity / total))
            wants[name] = wants.get(name, 0) + extra

    def _may_request(self, now_s, view, missing):
        """Return whether enough time has passed since the last outstanding request.

        A request that at least doubles the outstanding one may follow it sooner than others.
        """
        interval_s = (
            MIN_REQUEST_INTERVAL_S if missing >= view.requested else self.policy.request_interval_s
        )
        return not view.requested or now_s - view.requested_s >= interval_s

    def _expected_wait_s(self, view):
        rtt_s = 0.0 if view.local else REMOTE_RTT_S
        return rtt_s + (view.queued + 1) * self._run_s / max(1, view.capacity)

    def _request_spare(self, now_s, idle):
        missing = self.spare_target() - idle
        if missing < self.policy.min_spare_request:
            return []
        for name, view in sorted(self.allocators.items(), key=lambda item: not item[1].local):
            if (
                view.free >= missing
                and now_s - view.spare_requested_s >= MIN_REQUEST_INTERVAL_S
                and not view.requested
            ):
                view.spare_requested_s = now_s
                return [self._request(now_s, name, 0, missing)]
        return []

    def _request(self, now_s, name, waiting, spare):
        view = self.allocators[name]
        if waiting:
            view.requested += waiting
            view.requested_s = now_s
        view.free = max(0, view.free - waiting - spare)
        self._sequence += 1
        small = min(self._missing_small, view.requested)
        if small:
            view.unanswered_s = min(view.unanswered_s, now_s)
        request = SlotRequest(self.service, self._sequence, view.requested, spare, now_s, small)
        return Outgoing(name, request)
