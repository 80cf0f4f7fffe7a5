"""A holder's demand: how many leases to ask for, and of which allocators."""

import math
from dataclasses import dataclass

from burdocklug.routing._messages import SlotRequest
from burdocklug.routing._models import Outgoing

__all__ = ["AllocatorView", "SlotDemand"]

ASK_AGAIN_S = 2.0  # a request or its grant may be lost
ASK_MORE_S = 0.02  # between two requests to an allocator that has not met the first
FIRST_RUN_S = 0.3  # mean run time until a task has ended
RUN_GAIN = 0.05  # of the moving average of run times
SMALL_ASK = 4  # most missing leases for which another allocator is asked after SLOW_ANSWER_S
SLOW_ANSWER_S = 0.25
OVER_ASKED = 4  # outstanding demand over waiting tasks from which the rest is taken back
REMOTE_TRIP_S = 0.003  # extra round trip to another failure domain


@dataclass(slots=True)
class AllocatorView:
    """What a holder knows of one allocator."""

    local: bool
    capacity: int
    free: int
    reachable: bool = True
    queued: int = 0
    asked: int = 0  # leases for waiting tasks, asked for and not granted yet
    asked_s: float = -math.inf
    offered: float = math.inf  # capacity as the allocator itself tells it
    spare_s: float = -math.inf
    report_s: float = -math.inf
    owed: int = 0  # leases to give back as their tasks end
    urgent_s: float = math.inf  # of the first request for small jobs since it was heard

    def is_silent(self, now_s):
        """Return whether a request that is answered at once has no answer, or none is hoped for."""
        if not (self.offered and self.reachable):
            return True
        return now_s - self.urgent_s > SLOW_ANSWER_S


class SlotDemand:
    """Decides on requests to allocators.

    Parameters
    ----------
    service : str
        Name of the service.
    policy : WeightPolicy
        How the service's weight shapes the requests.

    Attributes
    ----------
    allocators : dict of str to AllocatorView
        What is known of each allocator, by incarnation.
    """

    def __init__(self, *, service, policy):
        self.service = service
        self.policy = policy
        self.allocators = {}
        self._sequence = 0
        self._small = 0
        self._run_s = FIRST_RUN_S

    def note_run(self, run_s):
        """Learn how long a slot was taken, in seconds."""
        self._run_s += RUN_GAIN * (run_s - self._run_s)

    def all_silent(self, now_s):
        """Return whether every allocator is silent."""
        views = [entry for entry in self.allocators.values() if entry.capacity]
        return bool(views) and all(entry.is_silent(now_s) for entry in views)

    def note_heard(self, allocator):
        """Note that an allocator answers."""
        if allocator in self.allocators:
            self.allocators[allocator].urgent_s = math.inf

    def spare(self):
        """Return the number of idle leases to keep: few while others wait."""
        queued = any(entry.queued for entry in self.allocators.values())
        return min(self.policy.spare, 1) if queued else self.policy.spare

    def ask(self, now_s, short, *, busy, idle, reserve, small):
        """Return the requests to send.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        short : int
            Waiting tasks without a lease.
        busy, idle : int
            Numbers of leases held.
        reserve : int
            Idle leases that the waiting tasks may not use.
        small : int
            Those of the missing leases that are for small jobs.
        """
        self._small = small
        asked = sum(self._live_ask(now_s, entry) for entry in self.allocators.values())
        if asked > OVER_ASKED * short + self.policy.batch_size or (asked and idle > reserve):
            return self._ask_less(now_s, short, asked)
        if short <= 0:
            return self._ask_spare(now_s, idle)
        short = self._worth_asking(short, small, busy)
        short -= self._covered(now_s, short, asked)
        wants = self._share_out(now_s, short) if short > 0 else {}
        return [self._request(now_s, name, want, 0) for name, want in wants.items()]

    def _worth_asking(self, short, small, busy):
        """Return the missing leases that own ones, as their tasks end, don't make up for soon."""
        ends = busy / self._run_s
        small -= int(ends * self.policy.max_reuse_wait_s)
        large = short - max(0, small) - int(ends * self.policy.large_max_reuse_wait_s)
        return max(0, small) + max(0, large)

    def _live_ask(self, now_s, entry):
        if now_s - entry.asked_s > ASK_AGAIN_S:
            if entry.asked:
                entry.free = 0
            entry.asked = 0
        return entry.asked

    def _covered(self, now_s, short, asked):
        """Return how many of the missing leases are on their way, as far as can be hoped."""
        if short > SMALL_ASK:
            return asked
        covered = 0
        for entry in self.allocators.values():
            if now_s - entry.asked_s < SLOW_ANSWER_S:
                covered += entry.asked
            elif entry.asked:
                entry.free = 0  # what was known of it is out of date
        return covered

    def _ask_less(self, now_s, short, asked):
        """Take back demand that is no longer there, so that others get the slots."""
        out = []
        for name, entry in self.allocators.items():
            if entry.asked and now_s - entry.asked_s >= self.policy.request_interval_s:
                entry.asked = max(0, short) * entry.asked // asked
                out.append(self._request(now_s, name, 0, 0))
        return out

    def _share_out(self, now_s, short):
        """Return how many leases to ask of each allocator.

        One that has enough for all goes first, a near one before others, so that few are asked.
        """
        ready = [
            (name, entry)
            for name, entry in self.allocators.items()
            if entry.capacity
            and entry.offered
            and entry.reachable
            and self._may_ask(now_s, entry, short)
        ]
        ready.sort(
            key=lambda item: (item[1].free < short, not item[1].local, -item[1].free, item[0])
        )
        wants = {}
        for name, entry in ready:
            want = min(short, entry.free)
            if want > 0:
                wants[name] = want
                short -= want
        if short > 0:
            self._queue_rest(ready, wants, short)
        return wants

    def _queue_rest(self, ready, wants, short):
        """Add what no allocator has free, to wait where the least wait is expected."""
        ready.sort(key=lambda item: (self._wait_s(item[1]), item[0]))
        total = sum(entry.capacity for _, entry in ready)
        for name, entry in ready[:short]:
            extra = min(entry.capacity, math.ceil(short * entry.capacity / total))
            wants[name] = wants.get(name, 0) + extra

    def _may_ask(self, now_s, entry, short):
        """Return whether a new request is worth its message beside one that waits already."""
        pause_s = ASK_MORE_S if short >= entry.asked else self.policy.request_interval_s
        return not entry.asked or now_s - entry.asked_s >= pause_s

    def _wait_s(self, entry):
        trip_s = 0.0 if entry.local else REMOTE_TRIP_S
        return trip_s + (entry.queued + 1) * self._run_s / max(1, entry.capacity)

    def _ask_spare(self, now_s, idle):
        short = self.spare() - idle
        if short < self.policy.min_spare_request:
            return []
        for name, entry in sorted(self.allocators.items(), key=lambda item: not item[1].local):
            if entry.free >= short and now_s - entry.spare_s >= ASK_MORE_S and not entry.asked:
                entry.spare_s = now_s
                return [self._request(now_s, name, 0, short)]
        return []

    def _request(self, now_s, name, waiting, spare):
        entry = self.allocators[name]
        if waiting:
            entry.asked += waiting
            entry.asked_s = now_s
        entry.free = max(0, entry.free - waiting - spare)
        self._sequence += 1
        small = min(self._small, entry.asked)
        if small:
            entry.urgent_s = min(entry.urgent_s, now_s)
        request = SlotRequest(self.service, self._sequence, entry.asked, spare, now_s, small)
        return Outgoing(name, request)
