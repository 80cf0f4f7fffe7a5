"""Lease requests of a holder: how many leases to request from which allocators."""

import math
from dataclasses import dataclass

from burdocklug.routing._messages import SlotRequest
from burdocklug.routing._models import Outgoing

__all__ = ["AllocatorView", "LeaseRequester"]

REQUEST_TIMEOUT_S = 2.0  # after this time, the request or its grant counts as lost
MIN_REQUEST_INTERVAL_S = 0.02  # between two requests to one allocator
INITIAL_RUN_S = 0.3  # mean run time assumed before any task has ended
RUN_TIME_GAIN = 0.05  # smoothing factor of the moving average of run times
MAX_FAILOVER_LEASES = 4  # most missing leases to request elsewhere after ANSWER_TIMEOUT_S
ANSWER_TIMEOUT_S = 0.25  # an allocator that takes longer is unresponsive
EXCESS_RATIO = 4  # of outstanding to missing leases; above it, requests are reduced
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
    reported_capacity: float = math.inf  # from its last `SlotLoad`
    spare_requested_s: float = -math.inf
    report_due_s: float = -math.inf
    recalled: int = 0  # leases to return when their tasks end
    unanswered_s: float = math.inf  # time of the first unanswered request for small jobs

    def is_unresponsive(self, now_s):
        """Return whether a request for small jobs timed out, or no grant can be expected.

        Allocators answer such a request at once, if need be without leases.
        """
        if not (self.reported_capacity and self.reachable):
            return True
        return now_s - self.unanswered_s > ANSWER_TIMEOUT_S


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
        views = [entry for entry in self.allocators.values() if entry.capacity]
        return bool(views) and all(entry.is_unresponsive(now_s) for entry in views)

    def record_response(self, allocator):
        """Note that an allocator has responded."""
        if allocator in self.allocators:
            self.allocators[allocator].unanswered_s = math.inf

    def spare_target(self):
        """Return the number of idle leases to keep, at most one while requests are queued."""
        queued = any(entry.queued for entry in self.allocators.values())
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
        total = sum(self._outstanding(now_s, entry) for entry in self.allocators.values())
        if total > EXCESS_RATIO * missing + self.policy.batch_size or (total and idle > reserve):
            return self._reduce_requests(now_s, missing, total)
        if missing <= 0:
            return self._request_spare(now_s, idle)
        missing = self._missing_after_reuse(missing, small, busy)
        missing -= self._expected_grants(now_s, missing, total)
        wants = self._distribute(now_s, missing) if missing > 0 else {}
        return [self._request(now_s, name, want, 0) for name, want in wants.items()]

    def _missing_after_reuse(self, missing, small, busy):
        """Return the number of missing leases that busy leases will not cover soon enough."""
        ends_per_s = busy / self._run_s
        small -= int(ends_per_s * self.policy.max_reuse_wait_s)
        large = missing - max(0, small) - int(ends_per_s * self.policy.large_max_reuse_wait_s)
        return max(0, small) + max(0, large)

    def _outstanding(self, now_s, entry):
        """Return the requested leases of an allocator, none after the request timed out."""
        if now_s - entry.requested_s > REQUEST_TIMEOUT_S:
            if entry.requested:
                entry.free = 0
            entry.requested = 0
        return entry.requested

    def _expected_grants(self, now_s, missing, total):
        """Return how many requested leases are likely to be granted soon.

        If few leases are missing, requests older than `ANSWER_TIMEOUT_S` don't count, so that
        another allocator gets a request.
        """
        if missing > MAX_FAILOVER_LEASES:
            return total
        expected = 0
        for entry in self.allocators.values():
            if now_s - entry.requested_s < ANSWER_TIMEOUT_S:
                expected += entry.requested
            elif entry.requested:
                entry.free = 0  # the last known number is stale
        return expected

    def _reduce_requests(self, now_s, missing, total):
        """Reduce outstanding requests to the missing leases, to leave slots to other holders."""
        out = []
        for name, entry in self.allocators.items():
            if entry.requested and now_s - entry.requested_s >= self.policy.request_interval_s:
                entry.requested = max(0, missing) * entry.requested // total
                out.append(self._request(now_s, name, 0, 0))
        return out

    def _distribute(self, now_s, missing):
        """Return the number of leases to request from each allocator.

        To send few requests, allocators with enough free slots for all go first, then those in
        this failure domain, then those with most free slots.
        """
        ready = [
            (name, entry)
            for name, entry in self.allocators.items()
            if entry.capacity
            and entry.reported_capacity
            and entry.reachable
            and self._may_request(now_s, entry, missing)
        ]
        ready.sort(
            key=lambda item: (item[1].free < missing, not item[1].local, -item[1].free, item[0])
        )
        wants = {}
        for name, entry in ready:
            want = min(missing, entry.free)
            if want > 0:
                wants[name] = want
                missing -= want
        if missing > 0:
            self._distribute_queued(ready, wants, missing)
        return wants

    def _distribute_queued(self, ready, wants, missing):
        """Add leases beyond the free slots, to queue at the allocators with the shortest wait."""
        ready.sort(key=lambda item: (self._expected_wait_s(item[1]), item[0]))
        total = sum(entry.capacity for _, entry in ready)
        for name, entry in ready[:missing]:
            extra = min(entry.capacity, math.ceil(missing * entry.capacity / total))
            wants[name] = wants.get(name, 0) + extra

    def _may_request(self, now_s, entry, missing):
        """Return whether enough time has passed since the last outstanding request.

        A request that at least doubles the outstanding one may follow it sooner than others.
        """
        interval_s = (
            MIN_REQUEST_INTERVAL_S if missing >= entry.requested else self.policy.request_interval_s
        )
        return not entry.requested or now_s - entry.requested_s >= interval_s

    def _expected_wait_s(self, entry):
        rtt_s = 0.0 if entry.local else REMOTE_RTT_S
        return rtt_s + (entry.queued + 1) * self._run_s / max(1, entry.capacity)

    def _request_spare(self, now_s, idle):
        missing = self.spare_target() - idle
        if missing < self.policy.min_spare_request:
            return []
        for name, entry in sorted(self.allocators.items(), key=lambda item: not item[1].local):
            if (
                entry.free >= missing
                and now_s - entry.spare_requested_s >= MIN_REQUEST_INTERVAL_S
                and not entry.requested
            ):
                entry.spare_requested_s = now_s
                return [self._request(now_s, name, 0, missing)]
        return []

    def _request(self, now_s, name, waiting, spare):
        entry = self.allocators[name]
        if waiting:
            entry.requested += waiting
            entry.requested_s = now_s
        entry.free = max(0, entry.free - waiting - spare)
        self._sequence += 1
        small = min(self._missing_small, entry.requested)
        if small:
            entry.unanswered_s = min(entry.unanswered_s, now_s)
        request = SlotRequest(self.service, self._sequence, entry.requested, spare, now_s, small)
        return Outgoing(name, request)
