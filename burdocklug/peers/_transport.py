"""Sending half of the transport: channels, one-way messages and calls."""

import collections
from dataclasses import dataclass

import eventlet
import msgspec

from burdocklug.peers import _codec as codec
from burdocklug.peers._channel import Channel
from burdocklug.peers._errors import MessageTooLarge, PeerOutcomeUnknown, PeerUnreachable
from burdocklug.peers._incarnation import address_of, short_form
from burdocklug.peers._link import Link, Outgoing

__all__ = ["Identity", "Transport"]

ITEM_BYTES = 32  # estimated encoded size of an item without its body
# After a first refused connection; if the query is refused as well, the pending calls fail.
STATUS_QUERY_DELAY_S = 0.2
MAX_QUEUED_S = 10.0  # time that an item other than a request may stay queued
LINK_IDLE_S = 60.0  # time without a sent frame after which a connection is closed
MAX_CHANNELS = 4096
FULL_ID_ITEMS = frozenset({codec.Request, codec.StatusQuery})


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity under which a process appears to its peers."""

    incarnation: str
    name: str
    failure_domain: str


class Transport:
    """Sends the messages of one process.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    shared_key : str
        Secret shared by the processes of the fleet.
    now : callable
        Returns monotonic seconds.
    after : callable
        Calls a function after a delay in seconds.

    Attributes
    ----------
    on_connection_refused : callable or None
        Called with the incarnation of a peer from the second refused connection in a row on.
    """

    def __init__(self, identity, *, shared_key, now, after):
        self.identity = identity
        self.types = codec.MessageTypes()
        self.codec = codec.FrameCodec(shared_key)
        self.counters = collections.Counter()
        self.channels = {}
        self.seed_links = {}
        self.on_connection_refused = None
        self._by_short_form = {}
        self.now = now
        self._after = after

    def close(self):
        """Close every socket and fail the pending calls."""
        for channel in list(self.channels.values()):
            channel.link.close()
            self.fail_calls(channel, "this process is stopping")
        for link in self.seed_links.values():
            link.close()

    def channel(self, incarnation):
        """Return the channel of an incarnation, created if there is none.

        Raises
        ------
        PeerUnreachable
            If the id is malformed.
        """
        channel = self.channels.get(incarnation)
        if channel is None:
            address = address_of(incarnation)
            if address is None:
                raise PeerUnreachable(incarnation, "malformed incarnation id")
            channel = self.channels[incarnation] = Channel(incarnation)
            self._by_short_form[short_form(incarnation)] = channel
            channel.link = Link(
                address,
                lambda sequence, items: self._seal(channel, sequence, items),
                lambda: self._on_refused(channel),
                self.now,
            )
        return channel

    def sender_channel(self, sender):
        """Return the channel of the sender of an envelope, or None.

        There is none for an unknown short id, a malformed id or the id of this process.
        """
        if sender in self._by_short_form:
            return self._by_short_form[sender]
        if sender == self.identity.incarnation or address_of(sender) is None:
            return None
        return self.channel(sender)

    def _seal(self, channel, sequence, items):
        channel.is_acknowledgement_due = False
        own = self.identity
        names = (own.incarnation, channel.incarnation, own.name, own.failure_domain)
        # Requests carry full ids, so that an incarnation that replaced the target can answer them.
        if channel.link.is_connection_acknowledged and not any(
            type(item) in FULL_ID_ITEMS for item in items
        ):
            names = (short_form(own.incarnation), short_form(channel.incarnation), "", "")
        envelope = codec.Envelope(
            *names, sequence, self.now(), channel.received_sequence, channel.low_water, items
        )
        return self.codec.seal(envelope)

    def _seal_for_seed(self, sequence, items):
        own = self.identity
        envelope = codec.Envelope(
            own.incarnation, "", own.name, own.failure_domain, sequence, self.now(), 0, 0, items
        )
        return self.codec.seal(envelope)

    def encode(self, incarnation, message):
        """Return a message encoded as the body of an item.

        Raises
        ------
        MessageTooLarge
            If the body exceeds the size limit.
        """
        body = self.types.encode(message)
        if len(body) > codec.MAX_MESSAGE_BYTES:
            self.counters["oversized_not_sent"] += 1
            raise MessageTooLarge(incarnation, len(body), codec.MAX_MESSAGE_BYTES)
        return body

    def send(self, incarnation, message):
        """Queue a one-way message without a guarantee of delivery."""
        self.send_body(incarnation, self.encode(incarnation, message))

    def send_body(self, incarnation, body):
        """Queue an encoded one-way message, and return it as queued."""
        return self.put(self.channel(incarnation), codec.Notice(msgspec.Raw(body)), len(body))

    def send_heartbeat(self, incarnation, body):
        """Queue an encoded heartbeat; it replaces an older one that is still queued."""
        channel = self.channel(incarnation)
        if channel.heartbeat is not None:
            channel.link.withdraw(channel.heartbeat)
        channel.heartbeat = self.send_body(incarnation, body)

    def send_to_seed(self, address, message):
        """Queue a one-way message to the incarnation that listens at a seed address."""
        link = self.seed_links.get(address)
        if link is None:
            link = Link(address, self._seal_for_seed, lambda: None, self.now)
            self.seed_links[address] = link
        body = self.encode(address, message)
        outgoing = Outgoing(codec.Notice(msgspec.Raw(body)), len(body) + ITEM_BYTES)
        outgoing.expires_s = self.now() + MAX_QUEUED_S
        link.put(outgoing)

    def close_seed_link(self, address):
        """Close the link to a seed address, if there is one."""
        link = self.seed_links.pop(address, None)
        if link is not None:
            link.close()

    def put(self, channel, item, body_bytes=0):
        """Queue an item that is dropped if unsent for `MAX_QUEUED_S`; return it as queued."""
        outgoing = Outgoing(item, body_bytes + ITEM_BYTES)
        outgoing.expires_s = self.now() + MAX_QUEUED_S
        channel.link.put(outgoing)
        return outgoing

    def call(self, incarnation, message, *, timeout_s):
        """Send a message and return its reply.

        Raises
        ------
        PeerUnreachable
            If the message was certainly not delivered.
        PeerOutcomeUnknown
            If it may have been delivered and there is no usable reply.
        """
        body = self.encode(incarnation, message)
        channel = self.channel(incarnation)
        call = channel.open_call(body, self.now() + timeout_s)
        try:
            self._put_request(channel, call)
            with eventlet.Timeout(timeout_s, False):
                call.event.wait()
            if not call.event.ready():
                self._time_out(channel, call)
            reply = call.event.wait()
        finally:
            del channel.calls[call.correlation]
            call.outgoing.withdrawn = True
        try:
            return self.types.decode(reply) if reply else None
        except msgspec.DecodeError as exc:
            raise PeerOutcomeUnknown(incarnation, f"reply not decodable: {exc}") from exc

    def _put_request(self, channel, call):
        call.copies_queued += 1
        item = codec.Request(
            call.correlation, call.copies_queued, call.expires_s, msgspec.Raw(call.body)
        )

        def on_sent():
            call.copies_sent += 1
            call.queried_s = self.now()

        def on_dropped(reason):
            self._fail_call(channel, call, reason)

        call.outgoing = Outgoing(item, len(call.body) + ITEM_BYTES, on_sent, on_dropped)
        if not channel.link.put(call.outgoing):
            on_dropped("outgoing queue is full or closed")

    def repeat_request(self, channel, call):
        """Queue another copy of a request that the receiver reported as not seen.

        Does nothing while an earlier copy is still queued.
        """
        if call.copies_sent == call.copies_queued:
            self.counters["requests_repeated"] += 1
            self._put_request(channel, call)

    def _fail_call(self, channel, call, reason):
        error = PeerOutcomeUnknown if call.copies_sent else PeerUnreachable
        call.resolve(error(channel.incarnation, reason))

    def fail_calls(self, channel, reason):
        """Fail every pending call of a channel."""
        for call in list(channel.calls.values()):
            call.outgoing.withdrawn = True
            self._fail_call(channel, call, reason)

    def _time_out(self, channel, call):
        self.counters["calls_timed_out"] += 1
        call.outgoing.withdrawn = True
        self._fail_call(channel, call, "timeout")

    def _on_refused(self, channel):
        channel.consecutive_refusals += 1
        if channel.consecutive_refusals > 1:
            self.fail_calls(channel, "connection refused")
            if self.on_connection_refused is not None:
                self.on_connection_refused(channel.incarnation)
        elif channel.calls:
            self._after(STATUS_QUERY_DELAY_S, lambda: self.query_calls(channel))

    def query_calls(self, channel, *, older_than_s=0.0):
        """Query the status of pending calls.

        Skips those whose latest copy was sent, or status query queued, less than `older_than_s`
        seconds ago.
        """
        now = self.now()
        due = [
            c for c in channel.calls.values() if c.copies_sent and now - c.queried_s >= older_than_s
        ]
        if not due:
            return
        for call in due:
            call.queried_s = now
        self.counters["calls_asked_after"] += len(due)
        self.put(channel, codec.StatusQuery([call.correlation for call in due]), 9 * len(due))

    def maintain(self, *, silence_s, paused_s=0.0):
        """Acknowledge frames, redial stalled links, query pending calls and close idle links.

        Parameters
        ----------
        silence_s : float
            Seconds without progress after which a connection is redialled.
        paused_s : float
            Seconds for which this process was just paused, not counted as lack of progress.
        """
        now = self.now()
        for channel in list(self.channels.values()):
            link = channel.link
            link.exclude_pause(paused_s)
            if link.is_stalled(now, after_s=silence_s):
                self.counters["links_redialled"] += 1
                link.redial()
            if channel.calls:
                self.query_calls(channel, older_than_s=silence_s)
            if channel.is_acknowledgement_due and not link.queued:
                self.put(channel, None)
            if not channel.calls and link.is_idle(now, after_s=LINK_IDLE_S):
                link.redial()
        for link in self.seed_links.values():
            if link.is_stalled(now, after_s=silence_s):
                link.redial()
        self._bound_channels()

    def _bound_channels(self):
        excess = len(self.channels) - MAX_CHANNELS
        if excess <= 0:
            return
        idle = [c for c in self.channels.values() if not c.calls and not c.link.is_open]
        idle.sort(key=lambda channel: channel.last_received_s or 0.0)
        for channel in idle[:excess]:
            channel.link.close()
            del self.channels[channel.incarnation]
            del self._by_short_form[short_form(channel.incarnation)]
