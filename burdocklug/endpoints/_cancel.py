"""Batched cancellation of running attempts: one message per endpoint and tick."""

from collections import Counter, deque

import eventlet
import structlog

from burdocklug.endpoints._models import EndpointUnresponsive

__all__ = ["CancelBatcher"]

TICK_S = 0.02
TIMEOUT_S = 2.0
MAX_IDS_PER_MESSAGE = 5000
MAX_TRIES = 3

log = structlog.get_logger(__name__)


class CancelBatcher:
    """Collects attempts to cancel and sends them in one message per endpoint and tick.

    Parameters
    ----------
    protocol : EndpointProtocol
        Sends the cancellations.
    timers : TimerService
        Schedules the ticks; none is scheduled while no cancellation is pending.
    tick_s : float, optional
        Seconds from the first pending cancellation until the messages are sent.
    spawn : callable, optional
        Runs a call in a new greenlet.

    Attributes
    ----------
    counts : collections.Counter
        `collected` and `given_up` cancellations; `messages` sent and `failed_messages`.

    Notes
    -----
    Adding is O(1) and does no I/O. At most one message per endpoint is in flight; cancellations
    added meanwhile are sent with a later one. A message without a valid response is sent again,
    up to `MAX_TRIES` times in all; then its cancellations are dropped, and the attempts run until
    they finish or reach their deadline.
    """

    def __init__(self, protocol, timers, *, tick_s=TICK_S, spawn=eventlet.spawn_n):
        self.protocol = protocol
        self.timers = timers
        self.tick_s = tick_s
        self.counts = Counter()
        self._spawn = spawn
        self._pending = {}  # address to a deque of attempt ids
        self._sending = set()  # addresses with a message in flight
        self._tick = None

    def add(self, address, attempt_id):
        """Cancel one attempt at an endpoint with the next tick."""
        pending = self._pending.get(address)
        if pending is None:
            pending = self._pending[address] = deque()
        pending.append(attempt_id)
        self.counts["collected"] += 1
        self._schedule_flush()

    def _schedule_flush(self):
        if self._tick is None:
            self._tick = self.timers.after(self.tick_s, self._flush)

    def _flush(self):
        self._tick = None
        for address in [a for a in self._pending if a not in self._sending]:
            pending = self._pending[address]
            batch = [pending.popleft() for _ in range(min(len(pending), MAX_IDS_PER_MESSAGE))]
            if not pending:
                del self._pending[address]
            self._sending.add(address)
            self._spawn(self._send, address, batch)
        if any(address not in self._sending for address in self._pending):
            self._schedule_flush()

    def _send(self, address, batch):
        try:
            if not any(self._try_send(address, batch) for _ in range(MAX_TRIES)):
                self.counts["given_up"] += len(batch)
                log.warning("cancellations_given_up", address=address, attempts=len(batch))
        finally:
            self._sending.discard(address)
            if address in self._pending:
                self._schedule_flush()

    def _try_send(self, address, batch):
        self.counts["messages"] += 1
        try:
            self.protocol.cancel(address, batch, timeout_s=TIMEOUT_S)
        except EndpointUnresponsive:
            self.counts["failed_messages"] += 1
            return False
        return True
