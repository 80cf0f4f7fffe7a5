"""Outgoing link to one peer: a queue of items in front of an nng push socket.

An item withdrawn from the queue is certainly not delivered. Once its frame was passed to nng, it
may be delivered at any later time.
"""

import collections
from dataclasses import dataclass, field

import eventlet
import pynng

from burdocklug.peers._codec import MAX_MESSAGE_BYTES
from burdocklug.peers._sockets import NotWritable, PushDialer, is_refused

__all__ = ["Link", "Outgoing"]

MAX_BATCH_BYTES = 262_144  # size of a frame with several items; a single item may be larger
MAX_QUEUED_BYTES = 4 * MAX_MESSAGE_BYTES
FIRST_WRITE_WAIT_S = 0.05  # wait for a writable socket before the first probe of the address
MAX_WRITE_WAIT_S = 1.0  # the wait doubles up to this from one probe to the next
PROBE_TIMEOUT_S = 0.5


@dataclass(slots=True, eq=False)
class Outgoing:
    """A queued item.

    Parameters
    ----------
    item : Item or None
        Item for the envelope; None for a frame that only acknowledges.
    size : int
        Size that counts against the limits of batch and queue, in bytes.
    on_sent : callable, optional
        Called when the frame of the item was passed to nng.
    on_dropped : callable, optional
        Called with the reason when the whole queue is dropped, not when the item alone expires.
    expires_s : float, optional
        Monotonic time after which an item that is still queued is dropped.
    withdrawn : bool
        Whether the item is not to be sent.
    """

    item: object
    size: int
    on_sent: object = None
    on_dropped: object = None
    expires_s: float | None = None
    withdrawn: bool = False


@dataclass(slots=True)
class LinkTraffic:
    """Counts of what a link sent and dropped, and of its dials and refused connections."""

    frames: int = 0
    items: int = 0
    bytes: int = 0
    dials: int = 0
    refused: int = 0
    dropped: int = 0


@dataclass(slots=True, eq=False)
class Link:
    """Queue and push socket for the frames to one peer.

    Parameters
    ----------
    address : str
        IP number and port to dial.
    seal : callable
        Takes a sequence number and a list of items; returns the frame.
    on_connection_refused : callable
        Called after the address refused a connection and the queue was dropped.
    now : callable
        Returns monotonic seconds.

    Notes
    -----
    `first_sequence` is the first sequence of the current connection, `last_item_sequence` the last
    one that the peer must acknowledge, and `acknowledged` the highest one that it did acknowledge.
    Three fields hold the start of a wait, or None: `unacknowledged_since_s` for an acknowledgement
    on the current connection, `unreachable_since_s` for one over all connections, and
    `unwritable_since_s` for the socket to accept a frame.
    """

    address: str
    seal: object
    on_connection_refused: object
    now: object
    generation: int = 0
    sequence: int = 0
    acknowledged: int = 0
    last_item_sequence: int = 0
    first_sequence: int = 1
    unacknowledged_since_s: float | None = None
    unreachable_since_s: float | None = None
    unwritable_since_s: float | None = None
    last_sent_s: float = 0.0
    traffic: LinkTraffic = field(default_factory=LinkTraffic)
    _write_wait_s: float = FIRST_WRITE_WAIT_S
    _queue: collections.deque = field(default_factory=collections.deque)
    _queued_bytes: int = 0
    _dialer: PushDialer | None = None
    _writer: object = None
    _closed: bool = False

    @property
    def is_open(self):
        """Whether the link has a socket, connected or connecting."""
        return self._dialer is not None

    @property
    def is_acknowledged(self):
        """Whether the queue is empty and the peer has acknowledged all that was sent."""
        return not self._queue and self.acknowledged >= self.last_item_sequence

    @property
    def is_connection_acknowledged(self):
        """Whether the peer has acknowledged a frame of the current connection."""
        return self.acknowledged >= self.first_sequence

    @property
    def queued(self):
        """Number of items in the queue."""
        return len(self._queue)

    def put(self, outgoing):
        """Queue an item; return False if the queue is full or the link closed."""
        if self._closed or self._queued_bytes + outgoing.size > MAX_QUEUED_BYTES:
            self.traffic.dropped += 1
            return False
        self._queue.append(outgoing)
        self._queued_bytes += outgoing.size
        if self._writer is None:
            self._writer = eventlet.spawn(self._send_queued)
        return True

    def withdraw(self, outgoing):
        """Remove an item from the queue; no effect on one that was sent already."""
        outgoing.withdrawn = True
        if outgoing in self._queue:
            self._queue.remove(outgoing)
            self._queued_bytes -= outgoing.size

    def _send_queued(self):
        try:
            while self._queue and not self._closed:
                self._send_batch()
        finally:
            if self._writer is eventlet.getcurrent():
                self._writer = None

    def _send_batch(self):
        batch = self._next_batch()
        if not batch:
            return
        if self._dialer is None and not self._dial():
            return
        items = [outgoing.item for outgoing in batch if outgoing.item is not None]
        frame = self.seal(self.sequence + 1, items)
        if self._dialer.try_send(frame):
            self._commit(batch, len(frame))
            return
        if self.unwritable_since_s is None:
            self.unwritable_since_s = self.now()
        try:
            self._dialer.wait_writable(self._write_wait_s)
        except NotWritable:
            self._write_wait_s = min(2 * self._write_wait_s, MAX_WRITE_WAIT_S)
            self._probe()

    def _next_batch(self):
        now = self.now()
        while self._queue and self._is_withdrawn_or_expired(self._queue[0], now):
            self._queued_bytes -= self._queue.popleft().size
        batch, size = [], 0
        for outgoing in self._queue:
            if self._is_withdrawn_or_expired(outgoing, now):
                continue
            if batch and size + outgoing.size > MAX_BATCH_BYTES:
                break
            batch.append(outgoing)
            size += outgoing.size
        return batch

    def _is_withdrawn_or_expired(self, outgoing, now):
        if not outgoing.withdrawn and outgoing.expires_s is not None and outgoing.expires_s < now:
            outgoing.withdrawn = True
            self.traffic.dropped += 1
        return outgoing.withdrawn

    def _commit(self, batch, frame_bytes):
        last = batch[-1]
        while True:
            outgoing = self._queue.popleft()
            self._queued_bytes -= outgoing.size
            if outgoing is last:
                break
        self.sequence += 1
        self.last_sent_s = self.now()
        self.unwritable_since_s = None
        self._write_wait_s = FIRST_WRITE_WAIT_S
        if any(outgoing.item is not None for outgoing in batch):
            self.last_item_sequence = self.sequence
            if self.unacknowledged_since_s is None:
                self.unacknowledged_since_s = self.last_sent_s
            if self.unreachable_since_s is None:
                self.unreachable_since_s = self.last_sent_s
        self.traffic.frames += 1
        self.traffic.items += len(batch)
        self.traffic.bytes += frame_bytes
        for outgoing in batch:
            if outgoing.on_sent is not None:
                outgoing.on_sent()

    def _dial(self):
        try:
            self._dialer = PushDialer(self.address)
        except pynng.NNGException as exc:
            self.drop_queue(f"can't dial: {exc}")
            return False
        self.generation += 1
        self.first_sequence = self.sequence + 1
        self._write_wait_s = FIRST_WRITE_WAIT_S
        self.traffic.dials += 1
        return True

    def _probe(self):
        if not is_refused(self.address, timeout_s=PROBE_TIMEOUT_S):
            return
        self.traffic.refused += 1
        self._close_dialer()
        self.drop_queue("connection refused")
        self.on_connection_refused()

    def drop_queue(self, reason):
        """Empty the queue and report each item as not delivered."""
        dropped = [outgoing for outgoing in self._queue if not outgoing.withdrawn]
        self._queue.clear()
        self._queued_bytes = 0
        self.traffic.dropped += len(dropped)
        for outgoing in dropped:
            if outgoing.on_dropped is not None:
                outgoing.on_dropped(reason)

    def acknowledge(self, sequence):
        """Record an acknowledgement: `sequence` is the highest that the peer received."""
        if not self.acknowledged < sequence <= self.sequence:
            return
        self.acknowledged = sequence
        waiting = sequence < self.last_item_sequence
        self.unreachable_since_s = self.now() if waiting else None
        if self.unacknowledged_since_s is not None:
            self.unacknowledged_since_s = self.now() if waiting else None

    def is_stalled(self, now_s, *, after_s):
        """Return whether a write or an acknowledgement has been due for over `after_s` seconds."""
        return any(
            since_s is not None and now_s - since_s > after_s
            for since_s in (self.unacknowledged_since_s, self.unwritable_since_s)
        )

    def is_idle(self, now_s, *, after_s):
        """Return whether an open link with an empty queue sent nothing for `after_s` seconds."""
        return self.is_open and not self._queue and now_s - self.last_sent_s > after_s

    def exclude_pause(self, paused_s):
        """Shift the start of each wait by a time for which this process was paused."""
        if self.unacknowledged_since_s is not None:
            self.unacknowledged_since_s += paused_s
        if self.unreachable_since_s is not None:
            self.unreachable_since_s += paused_s
        if self.unwritable_since_s is not None:
            self.unwritable_since_s += paused_s

    def redial(self):
        """Close the socket; what is queued or sent later uses a new connection."""
        # Other greenlets run while the writer is killed. The dialer is detached before that, so
        # that items they queue go to a new socket.
        dialer, writer = self._detach_dialer(), self._writer
        if writer is not None and writer is not eventlet.getcurrent():
            self._writer = None
            writer.kill()
        if dialer is not None:
            dialer.close()
        if self._queue and self._writer is None:
            self._writer = eventlet.spawn(self._send_queued)

    def _close_dialer(self):
        dialer = self._detach_dialer()
        if dialer is not None:
            dialer.close()

    def _detach_dialer(self):
        self.unacknowledged_since_s = self.unwritable_since_s = None
        dialer, self._dialer = self._dialer, None
        return dialer

    def close(self, reason="link closed"):
        """Close the link permanently and drop the queued items."""
        self._closed = True
        self.redial()
        self.drop_queue(reason)
