"""Outgoing link to one peer: a queue in this process and a push socket behind it.

An item in the queue can be withdrawn and is then certainly not delivered. Once its frame is
handed to nng it may be delivered at any later time.
"""

import collections
from dataclasses import dataclass, field

import eventlet
import pynng

from burdocklug.peers._codec import MAX_MESSAGE_BYTES
from burdocklug.peers._sockets import NotWritable, PushDialer, is_refused

__all__ = ["Link", "Outgoing"]

MAX_BATCH_BYTES = 262_144  # a frame takes further items up to this size
MAX_QUEUED_BYTES = 4 * MAX_MESSAGE_BYTES
CONNECT_GRACE_S = 0.05  # before the address is probed
MAX_PATIENCE_S = 1.0  # between probes
PROBE_TIMEOUT_S = 0.5


@dataclass(slots=True, eq=False)
class Outgoing:
    """One queued item.

    Parameters
    ----------
    item : Item or None
        What goes into the envelope; None for a frame that only acknowledges.
    size : int
        Bytes of its body.
    on_handed : callable, optional
        Called once its frame was handed to nng.
    on_dropped : callable, optional
        Takes the reason, when the item leaves the queue undelivered.
    expires_s : float, optional
        Time after which the item is dropped if it is still in the queue.
    withdrawn : bool
        Set to keep the item from being sent.
    """

    item: object
    size: int
    on_handed: object = None
    on_dropped: object = None
    expires_s: float | None = None
    withdrawn: bool = False


@dataclass(slots=True)
class LinkTraffic:
    """What a link has sent, in frames and bytes, and how often it was dialled."""

    frames: int = 0
    items: int = 0
    bytes: int = 0
    dials: int = 0
    refused: int = 0
    dropped: int = 0


@dataclass(slots=True, eq=False)
class Link:
    """Queue and socket towards one peer.

    Parameters
    ----------
    address : str
        IP number and port to dial.
    seal : callable
        Takes a sequence number and a list of items, returns the frame.
    on_refused : callable
        Called after the address refused a connection.
    now : callable
        Returns monotonic seconds.

    Notes
    -----
    `wanted` is the last sequence that the peer has to acknowledge, `acknowledged` the highest
    that it did. `unacknowledged_since_s` is the time from which it has been silent about that
    on the present connection, `unreached_since_s` the same over all connections, and
    `untaken_since_s` the time from which the connection has not taken a waiting frame.
    """

    address: str
    seal: object
    on_refused: object
    now: object
    generation: int = 0
    sequence: int = 0
    acknowledged: int = 0
    wanted: int = 0
    first_sequence: int = 1
    unacknowledged_since_s: float | None = None
    unreached_since_s: float | None = None
    untaken_since_s: float | None = None
    last_sent_s: float = 0.0
    traffic: LinkTraffic = field(default_factory=LinkTraffic)
    _patience_s: float = CONNECT_GRACE_S
    _queue: collections.deque = field(default_factory=collections.deque)
    _queued_bytes: int = 0
    _dialer: PushDialer | None = None
    _writer: object = None
    _closed: bool = False

    @property
    def is_open(self):
        """Whether there is a socket."""
        return self._dialer is not None

    @property
    def is_acknowledged(self):
        """Whether the queue is empty and the peer has acknowledged all that was sent."""
        return not self._queue and self.acknowledged >= self.wanted

    @property
    def is_introduced(self):
        """Whether the peer has acknowledged a frame of the present connection."""
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
            self._writer = eventlet.spawn(self._drain)
        return True

    def withdraw(self, outgoing):
        """Keep an item from being sent, if it still is in the queue."""
        outgoing.withdrawn = True
        if outgoing in self._queue:
            self._queue.remove(outgoing)
            self._queued_bytes -= outgoing.size

    def _drain(self):
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
        if self.untaken_since_s is None:
            self.untaken_since_s = self.now()
        try:
            self._dialer.wait_writable(self._patience_s)
        except NotWritable:
            self._patience_s = min(2 * self._patience_s, MAX_PATIENCE_S)
            self._probe()

    def _next_batch(self):
        now = self.now()
        while self._queue and self._is_void(self._queue[0], now):
            self._queued_bytes -= self._queue.popleft().size
        batch, size = [], 0
        for outgoing in self._queue:
            if self._is_void(outgoing, now):
                continue
            if batch and size + outgoing.size > MAX_BATCH_BYTES:
                break
            batch.append(outgoing)
            size += outgoing.size
        return batch

    def _is_void(self, outgoing, now):
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
        self.untaken_since_s = None
        self._patience_s = CONNECT_GRACE_S
        if any(outgoing.item is not None for outgoing in batch):
            self.wanted = self.sequence
            if self.unacknowledged_since_s is None:
                self.unacknowledged_since_s = self.last_sent_s
            if self.unreached_since_s is None:
                self.unreached_since_s = self.last_sent_s
        self.traffic.frames += 1
        self.traffic.items += len(batch)
        self.traffic.bytes += frame_bytes
        for outgoing in batch:
            if outgoing.on_handed is not None:
                outgoing.on_handed()

    def _dial(self):
        try:
            self._dialer = PushDialer(self.address)
        except pynng.NNGException as exc:
            self.drop_queue(f"can't dial: {exc}")
            return False
        self.generation += 1
        self.first_sequence = self.sequence + 1
        self._patience_s = CONNECT_GRACE_S
        self.traffic.dials += 1
        return True

    def _probe(self):
        if not is_refused(self.address, timeout_s=PROBE_TIMEOUT_S):
            return
        self.traffic.refused += 1
        self._hang_up()
        self.drop_queue("connection refused")
        self.on_refused()

    def drop_queue(self, reason):
        """Empty the queue and tell each item that it was not delivered."""
        dropped = [outgoing for outgoing in self._queue if not outgoing.withdrawn]
        self._queue.clear()
        self._queued_bytes = 0
        self.traffic.dropped += len(dropped)
        for outgoing in dropped:
            if outgoing.on_dropped is not None:
                outgoing.on_dropped(reason)

    def acknowledge(self, seen):
        """Note that the peer has had the frames up to sequence `seen`."""
        if not self.acknowledged < seen <= self.sequence:
            return
        self.acknowledged = seen
        waiting = seen < self.wanted
        self.unreached_since_s = self.now() if waiting else None
        if self.unacknowledged_since_s is not None:
            self.unacknowledged_since_s = self.now() if waiting else None

    def is_silent(self, now_s, *, after_s):
        """Return whether the connection took or acknowledged nothing for `after_s` seconds."""
        return any(
            since_s is not None and now_s - since_s > after_s
            for since_s in (self.unacknowledged_since_s, self.untaken_since_s)
        )

    def is_idle(self, now_s, *, after_s):
        """Return whether an open link has sent nothing for `after_s` seconds."""
        return self.is_open and not self._queue and now_s - self.last_sent_s > after_s

    def forgive_pause(self, paused_s):
        """Leave out of the silence a time in which this process was paused."""
        if self.unacknowledged_since_s is not None:
            self.unacknowledged_since_s += paused_s
        if self.unreached_since_s is not None:
            self.unreached_since_s += paused_s
        if self.untaken_since_s is not None:
            self.untaken_since_s += paused_s

    def redial(self):
        """Close the socket, so that what follows goes out on a new connection."""
        # Other greenlets run while a writer is killed: what they put goes to a new socket.
        dialer, writer = self._take_dialer(), self._writer
        if writer is not None and writer is not eventlet.getcurrent():
            self._writer = None
            writer.kill()
        if dialer is not None:
            dialer.close()
        if self._queue and self._writer is None:
            self._writer = eventlet.spawn(self._drain)

    def _hang_up(self):
        dialer = self._take_dialer()
        if dialer is not None:
            dialer.close()

    def _take_dialer(self):
        self.unacknowledged_since_s = self.untaken_since_s = None
        dialer, self._dialer = self._dialer, None
        return dialer

    def close(self, reason="link closed"):
        """Close the link for good; queued items are dropped."""
        self._closed = True
        self.redial()
        self.drop_queue(reason)
