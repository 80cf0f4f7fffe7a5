"""Cancellations of running attempts: one message per endpoint and tick."""

from collections import Counter, deque

import eventlet
import structlog

from burdocklug.endpoints._models import EndpointSilent

__all__ = ["CancelBatcher"]

TICK_S = 0.02
TIMEOUT_S = 2.0
MAX_IDS_PER_MESSAGE = 5000
MAX_TRIES = 3

log = structlog.get_logger(__name__)


class CancelBatcher:
    """Collects attempts to cancel and sends one message per endpoint and tick.

    Parameters
    ----------
    protocol : EndpointProtocol
        How to reach endpoints.
    timers : TimerService
        Calls the ticks; there are none while nothing is collected.
    tick_s : float, optional
        Seconds from the first cancellation to its message.
    spawn : callable, optional
        Runs a call beside the loop.

    Attributes
    ----------
    counts : collections.Counter
        `collected`, `messages`, `failed_messages` and `given_up`.

    Notes
    -----
    Adding is O(1) and does no I/O. One message per endpoint is under way at a time; what comes
    in meanwhile waits for the next tick. After `MAX_TRIES` silent tries an endpoint's
    cancellations are given up; its attempts end by their deadline.
    """

    def __init__(self, protocol, timers, *, tick_s=TICK_S, spawn=eventlet.spawn_n):
        self.protocol = protocol
        self.timers = timers
        self.tick_s = tick_s
        self.counts = Counter()
        self._spawn = spawn
        self._waiting = {}  # address to a deque of attempt ids
        self._sending = set()  # addresses
        self._tick = None

    def add(self, address, attempt_id):
        """Cancel one attempt at an endpoint with the next tick."""
        waiting = self._waiting.get(address)
        if waiting is None:
            waiting = self._waiting[address] = deque()
        waiting.append(attempt_id)
        self.counts["collected"] += 1
        self._arm()

    def _arm(self):
        if self._tick is None:
            self._tick = self.timers.after(self.tick_s, self._flush)

    def _flush(self):
        self._tick = None
        for address in [a for a in self._waiting if a not in self._sending]:
            waiting = self._waiting[address]
            batch = [waiting.popleft() for _ in range(min(len(waiting), MAX_IDS_PER_MESSAGE))]
            if not waiting:
                del self._waiting[address]
            self._sending.add(address)
            self._spawn(self._send, address, batch)
        if any(address not in self._sending for address in self._waiting):
            self._arm()

    def _send(self, address, batch):
        try:
            if not any(self._try_send(address, batch) for _ in range(MAX_TRIES)):
                self.counts["given_up"] += len(batch)
                log.warning("cancellations_given_up", address=address, attempts=len(batch))
        finally:
            self._sending.discard(address)
            if address in self._waiting:
                self._arm()

    def _try_send(self, address, batch):
        self.counts["messages"] += 1
        try:
            self.protocol.cancel(address, batch, timeout_s=TIMEOUT_S)
        except EndpointSilent:
            self.counts["failed_messages"] += 1
            return False
        return True
