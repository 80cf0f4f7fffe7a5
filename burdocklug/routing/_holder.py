"""The holder of slot leases: decides which lease a waiting task starts on and what to ask for."""

import math
from dataclasses import dataclass

from burdocklug.routing._messages import (
    HeldLease,
    ReturnedLease,
    SlotReport,
    SlotRequest,
    SlotReturn,
)
from burdocklug.routing._models import WEIGHTS, LeaseOutcome, Outgoing, SlotLease

__all__ = ["SlotHolder"]

REPORT_S = 3.0  # leases are renewed so often
ASK_AGAIN_S = 2.0  # a request or its grant may be lost
ASK_MORE_S = 0.02  # between two requests to an allocator that has not met the first
FIRST_RUN_S = 0.3  # mean run time until a task has ended
RUN_GAIN = 0.05  # of the moving average of run times
SMALL_ASK = 4  # most missing leases for which another allocator is asked after SLOW_ANSWER_S
SLOW_ANSWER_S = 0.25
OVER_ASKED = 4  # outstanding demand over waiting tasks from which the rest is taken back
RETURNED_TERM_S = 15.0  # longer than a lease's term: later grants of the same id are repeats
REMOTE_TRIP_S = 0.003  # extra round trip to another failure domain


@dataclass(slots=True)
class _Allocator:
    """What a holder knows of one allocator."""

    local: bool
    capacity: int
    free: int
    queued: int = 0
    asked: int = 0  # leases for waiting tasks, asked for and not granted yet
    asked_s: float = -math.inf
    offered: float = math.inf  # capacity as the allocator itself tells it
    spare_s: float = -math.inf
    report_s: float = -math.inf
    owed: int = 0  # leases to give back as their tasks end


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
        self._allocators = {}  # incarnation to _Allocator
        self._allocator_of = {}  # endpoint name to incarnation
        self._leases = {}
        self._idle = []  # lease ids, the latest used last; local endpoints after remote ones
        self._giving = {}  # allocator to leases on their way back
        self._giving_s = math.inf
        self._returned = {}  # lease id to the time until which a grant of it is a repeat
        self._sequence = 0
        self._run_s = FIRST_RUN_S
        self._unused_s = 0.0

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
        known, self._allocators = self._allocators, {}
        for endpoint in self._endpoints.values():
            name = allocator_of.get(endpoint.name)
            if name is None:
                continue
            local = endpoint.failure_domain == self.failure_domain
            entry = self._allocators.get(name)
            if entry is None:
                entry = known.get(name) or _Allocator(local, 0, 0)
                self._allocators[name] = entry
                entry.capacity = 0
            entry.capacity += endpoint.slots if endpoint.usable else 0
        for name, entry in self._allocators.items():
            if name not in known:
                entry.free = entry.capacity
        moved = set()
        for lease in list(self._leases.values()):
            self._check_lease(now_s, lease, moved)
        return self._flush(now_s, force=True) + self._report(now_s, moved)

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
        entry = self._allocators.get(allocator)
        if entry is not None:
            entry.asked = max(0, entry.asked - len(message.leases))
            entry.free = message.free
            entry.queued = message.queued
        expires_s = message.sent_s + message.term_s
        for granted in message.leases:
            repeated = granted.lease_id in self._leases or granted.lease_id in self._returned
            if repeated or expires_s <= now_s:
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
        given = idle[: message.count]
        for lease in given:
            self._give_back(now_s, lease)
        entry = self._allocators.get(allocator)
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
        entry = self._allocators.get(allocator)
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
            self._run_s += RUN_GAIN * (run_s - self._run_s)
        if self._leases.get(lease.lease_id) is not lease:
            return
        lease.busy = False
        lease.idle_since_s = now_s
        entry = self._allocators.get(lease.allocator)
        endpoint = self._endpoints.get(lease.endpoint)
        if outcome is not LeaseOutcome.FINISHED:
            self._give_back(now_s, lease, full=True)
        elif lease.expires_s <= now_s:
            del self._leases[lease.lease_id]
        elif endpoint is None or not endpoint.usable or endpoint.is_slow():
            self._give_back(now_s, lease)
        elif entry is not None and entry.owed > 0:
            entry.owed -= 1
            self._give_back(now_s, lease)
            if not entry.owed or len(self._giving[lease.allocator]) >= self.policy.chunk:
                self._giving_s = now_s
        else:
            self._put_idle(lease)

    def pump(self, now_s, waiting, *, small=None, oldest_age_s=0.0):
        """Return leases to start tasks on now, and messages to send.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        waiting : int
            Tasks that wait and may start (their teams are under quota).
        small : int, optional
            Those of them that belong to small jobs; the last idle leases are kept for such.
        oldest_age_s : float, optional
            How long the oldest of them has waited.

        Returns
        -------
        starts : list of SlotLease
            At most `waiting` leases; each must come back by `release`.
        messages : list of Outgoing
            Messages to send.
        """
        starts = []
        reserve = self.policy.reserve if small is not None else 0
        reserve = max(0, reserve - (small or 0))
        while len(self._idle) > reserve and len(starts) < waiting:
            lease = self._leases[self._idle.pop()]
            if lease.expires_s <= now_s:
                del self._leases[lease.lease_id]
                continue
            lease.busy = True
            starts.append(lease)
        messages = self._ask(now_s, waiting - len(starts), oldest_age_s, reserve)
        self._give_back_unused(now_s)
        messages += self._flush(now_s, force=False)
        due = {name for name, entry in self._allocators.items() if now_s >= entry.report_s}
        return starts, messages + self._report(now_s, due)

    def _ask(self, now_s, short, oldest_age_s, reserve):
        wants = {}
        asked = sum(self._live_ask(now_s, entry) for entry in self._allocators.values())
        if asked > OVER_ASKED * short + self.policy.chunk or (asked and len(self._idle) > reserve):
            return self._ask_less(now_s, short, asked)
        if short > 0:
            busy = len(self._leases) - len(self._idle)
            short -= int(busy / self._run_s * self.policy.patience_s)
            short -= self._covered(now_s, short, asked)
            if short > 0:
                wants = self._share_out(now_s, short)
        elif len(self._idle) + self.policy.spare_batch <= self._spare():
            return self._ask_spare(now_s)
        return [self._request(now_s, name, want, 0, oldest_age_s) for name, want in wants.items()]

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
        for entry in self._allocators.values():
            if now_s - entry.asked_s < SLOW_ANSWER_S:
                covered += entry.asked
            elif entry.asked:
                entry.free = 0  # what was known of it is out of date
        return covered

    def _ask_less(self, now_s, short, asked):
        """Take back demand that is no longer there, so that others get the slots."""
        out = []
        for name, entry in self._allocators.items():
            if entry.asked and now_s - entry.asked_s >= self.policy.ask_pause_s:
                entry.asked = max(0, short) * entry.asked // asked
                out.append(self._request(now_s, name, 0, 0, 0.0))
        return out

    def _share_out(self, now_s, short):
        """Return how many leases to ask of each allocator.

        One that has enough for all goes first, a near one before others, so that few are asked.
        """
        ready = [
            (name, entry)
            for name, entry in self._allocators.items()
            if entry.capacity and entry.offered and self._may_ask(now_s, entry, short)
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
        if short <= 0:
            return wants
        ready.sort(key=lambda item: (self._wait_s(item[1]), item[0]))
        total = sum(entry.capacity for _, entry in ready)
        hedged = short * self.policy.hedge
        for name, entry in ready[: max(self.policy.hedge, hedged)]:
            extra = min(entry.capacity, math.ceil(hedged * entry.capacity / total))
            wants[name] = wants.get(name, 0) + max(1, extra)
        return wants

    def _may_ask(self, now_s, entry, short):
        """Return whether a new request is worth its message beside one that waits already."""
        pause_s = ASK_MORE_S if short >= entry.asked else self.policy.ask_pause_s
        return not entry.asked or now_s - entry.asked_s >= pause_s

    def _wait_s(self, entry):
        trip_s = 0.0 if entry.local else REMOTE_TRIP_S
        return trip_s + (entry.queued + 1) * self._run_s / max(1, entry.capacity)

    def _ask_spare(self, now_s):
        short = self.policy.spare - len(self._idle)
        for name, entry in sorted(self._allocators.items(), key=lambda item: not item[1].local):
            if entry.free >= short and now_s - entry.spare_s >= ASK_MORE_S and not entry.asked:
                entry.spare_s = now_s
                return [self._request(now_s, name, 0, short, 0.0)]
        return []

    def _request(self, now_s, name, waiting, spare, oldest_age_s):
        entry = self._allocators[name]
        if waiting:
            entry.asked += waiting
            entry.asked_s = now_s
        entry.free = max(0, entry.free - waiting - spare)
        self._sequence += 1
        request = SlotRequest(self.service, self._sequence, entry.asked, spare, oldest_age_s, now_s)
        return Outgoing(name, request)

    def _put_idle(self, lease):
        """Put local leases at the end, where they are taken first."""
        endpoint = self._endpoints.get(lease.endpoint)
        if endpoint is not None and endpoint.failure_domain == self.failure_domain:
            self._idle.append(lease.lease_id)
        else:
            self._idle.insert(0, lease.lease_id)

    def _spare(self):
        """Return the number of idle leases to keep: few while others wait."""
        queued = any(entry.queued for entry in self._allocators.values())
        return min(self.policy.spare, 1) if queued else self.policy.spare

    def _give_back_unused(self, now_s):
        """Give back all idle leases but the spare ones once one of them reached its hold time."""
        surplus = len(self._idle) - self._spare()
        if surplus <= 0 or now_s < self._unused_s:
            return
        unused = [self._leases[lease_id] for lease_id in self._idle[:surplus]]
        if all(now_s - lease.idle_since_s < self._hold_s(lease) for lease in unused):
            return
        self._unused_s = now_s + self.policy.return_pause_s
        for lease in unused:
            self._give_back(now_s, lease)

    def _hold_s(self, lease):
        entry = self._allocators.get(lease.allocator)
        pressed = entry is not None and entry.queued > 0
        return self.policy.pressed_hold_s if pressed else self.policy.hold_s

    def _give_back(self, now_s, lease, *, full=False):
        del self._leases[lease.lease_id]
        if lease.lease_id in self._idle:
            self._idle.remove(lease.lease_id)
        self._returned[lease.lease_id] = now_s + RETURNED_TERM_S
        returned = ReturnedLease(lease.lease_id, lease.endpoint, full)
        self._giving.setdefault(lease.allocator, []).append(returned)
        self._giving_s = min(self._giving_s, now_s + self.policy.return_delay_s)

    def _flush(self, now_s, *, force):
        if not self._giving or not (force or now_s >= self._giving_s):
            return []
        giving, self._giving, self._giving_s = self._giving, {}, math.inf
        return [Outgoing(name, SlotReturn(self.service, leases)) for name, leases in giving.items()]

    def _report(self, now_s, allocators):
        """Ask each of `allocators` to renew what this process holds of it."""
        if not allocators:
            return []
        for lease_id in [key for key, until_s in self._returned.items() if until_s <= now_s]:
            del self._returned[lease_id]
        held = {}
        for lease in self._leases.values():
            held.setdefault(lease.allocator, []).append(HeldLease(lease.lease_id, lease.endpoint))
        out = []
        for name in sorted(allocators):
            if name in self._allocators:
                self._allocators[name].report_s = now_s + REPORT_S
            if name in held:
                out.append(Outgoing(name, SlotReport(self.service, now_s, held[name])))
        return out

    def next_due_s(self):
        """Return when `pump` has to be called at the latest for leases on their way back."""
        return self._giving_s

    def allocators(self):
        """Return the allocator's incarnation by endpoint name."""
        return dict(self._allocator_of)

    def slow_endpoints(self):
        """Return the weights of the endpoints that this process finds slow, by name."""
        endpoints = self._endpoints.values()
        return {e.name: round(e.weight, 2) for e in endpoints if e.usable and e.is_slow()}

    def free(self):
        """Return the number of slots that the allocators are known to have free."""
        return sum(entry.free for entry in self._allocators.values())

    def capacity(self):
        """Return the number of slots of all usable endpoints."""
        return sum(endpoint.slots for endpoint in self._endpoints.values() if endpoint.usable)

    def counts(self):
        """Return the numbers of held and of idle leases."""
        return len(self._leases), len(self._idle)
