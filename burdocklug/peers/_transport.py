"""The sending half of the transport: channels, one-way messages and calls."""

import collections
from dataclasses import dataclass

import eventlet
import msgspec

from burdocklug.peers import _codec as codec
from burdocklug.peers._channel import Channel
from burdocklug.peers._errors import MessageTooLarge, PeerNotReached, PeerSilent
from burdocklug.peers._incarnation import address_of, short_form
from burdocklug.peers._link import Link, Outgoing

__all__ = ["Identity", "Transport"]

ITEM_BYTES = 32  # of an item around its body
ASK_AGAIN_S = 0.2  # after a refused connection, before the outcome of calls counts as unknown
UNSENT_LIFETIME_S = 10.0  # in the queue, of items that nobody waits for
LINK_IDLE_S = 60.0  # without a frame, before the connection is closed
MAX_CHANNELS = 4096
NEED_WHOLE_IDS = frozenset({codec.Request, codec.Ask})


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is to its peers."""

    incarnation: str
    name: str
    failure_domain: str


class Transport:
    """Sends the messages of one process.

    Parameters
    ----------
    identity : Identity
        Of this process.
    shared_key : str
        Secret of the fleet.
    now : callable
        Returns monotonic seconds.
    after : callable
        Calls a function after a delay in seconds.

    Attributes
    ----------
    on_refused : callable or None
        Takes the incarnation of a peer whose address refuses one connection after the other.
    """

    def __init__(self, identity, *, shared_key, now, after):
        self.identity = identity
        self.types = codec.MessageTypes()
        self.codec = codec.FrameCodec(shared_key)
        self.counters = collections.Counter()
        self.channels = {}
        self.seed_links = {}
        self.on_refused = None
        self._by_short_form = {}
        self.now = now
        self._after = after

    def close(self):
        """Close every socket; pending calls fail."""
        for channel in list(self.channels.values()):
            channel.link.close()
            self.fail_calls(channel, "this process leaves")
        for link in self.seed_links.values():
            link.close()

    def channel(self, incarnation):
        """Return the channel of an incarnation, made where there is none.

        Raises
        ------
        PeerNotReached
            If the id is malformed.
        """
        channel = self.channels.get(incarnation)
        if channel is None:
            address = address_of(incarnation)
            if address is None:
                raise PeerNotReached(incarnation, "malformed incarnation id")
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
        """Return the channel of the sender of an envelope, or None if there can't be one."""
        if sender in self._by_short_form:
            return self._by_short_form[sender]
        if sender == self.identity.incarnation or address_of(sender) is None:
            return None
        return self.channel(sender)

    def _seal(self, channel, sequence, items):
        channel.owes_acknowledgement = False
        who = self.identity
        names = (who.incarnation, channel.incarnation, who.name, who.failure_domain)
        # Requests carry whole ids: whoever gets them in place of the target must be able to answer.
        if channel.link.is_introduced and not any(type(item) in NEED_WHOLE_IDS for item in items):
            names = (short_form(who.incarnation), short_form(channel.incarnation), "", "")
        envelope = codec.Envelope(
            *names, sequence, self.now(), channel.seen, channel.low_water, items
        )
        return self.codec.seal(envelope)

    def _seal_for_seed(self, sequence, items):
        who = self.identity
        envelope = codec.Envelope(
            who.incarnation, "", who.name, who.failure_domain, sequence, self.now(), 0, 0, items
        )
        return self.codec.seal(envelope)

    def encode(self, incarnation, message):
        """Return the body of a message.

        Raises
        ------
        MessageTooLarge
            If it exceeds the size limit.
        """
        body = self.types.encode(message)
        if len(body) > codec.MAX_MESSAGE_BYTES:
            self.counters["oversized_not_sent"] += 1
            raise MessageTooLarge(incarnation, len(body), codec.MAX_MESSAGE_BYTES)
        return body

    def send(self, incarnation, message):
        """Queue a one-way message; it may get lost."""
        self.send_body(incarnation, self.encode(incarnation, message))

    def send_body(self, incarnation, body):
        """Queue a one-way message that is encoded already."""
        return self.put(self.channel(incarnation), codec.Notice(msgspec.Raw(body)), len(body))

    def send_heartbeat(self, incarnation, body):
        """Queue an encoded heartbeat in place of one that is still queued."""
        channel = self.channel(incarnation)
        if channel.heartbeat is not None:
            channel.link.withdraw(channel.heartbeat)
        channel.heartbeat = self.send_body(incarnation, body)

    def send_to_seed(self, address, message):
        """Queue a one-way message to whichever incarnation listens at an address."""
        link = self.seed_links.get(address)
        if link is None:
            link = Link(address, self._seal_for_seed, lambda: None, self.now)
            self.seed_links[address] = link
        body = self.encode(address, message)
        outgoing = Outgoing(codec.Notice(msgspec.Raw(body)), len(body) + ITEM_BYTES)
        outgoing.expires_s = self.now() + UNSENT_LIFETIME_S
        link.put(outgoing)

    def close_seed_link(self, address):
        """Close the link to a seed address, if there is one."""
        link = self.seed_links.pop(address, None)
        if link is not None:
            link.close()

    def put(self, channel, item, body_bytes=0):
        """Queue an item that nobody waits for, and return it as queued."""
        outgoing = Outgoing(item, body_bytes + ITEM_BYTES)
        outgoing.expires_s = self.now() + UNSENT_LIFETIME_S
        channel.link.put(outgoing)
        return outgoing

    # Calls

    def call(self, incarnation, message, *, timeout_s):
        """Send a message and return its reply.

        Raises
        ------
        PeerNotReached
            If the message was certainly not delivered.
        PeerSilent
            If it may have been delivered.
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
            raise PeerSilent(incarnation, f"reply not decodable: {exc}") from exc

    def _put_request(self, channel, call):
        call.copies += 1
        item = codec.Request(call.correlation, call.copies, call.expires_s, msgspec.Raw(call.body))

        def on_handed():
            call.handed += 1
            call.asked_s = self.now()

        def on_dropped(reason):
            self._fail_call(channel, call, reason)

        call.outgoing = Outgoing(item, len(call.body) + ITEM_BYTES, on_handed, on_dropped)
        if not channel.link.put(call.outgoing):
            on_dropped("outgoing queue is full or closed")

    def repeat_request(self, channel, call):
        """Send a further copy of a request that the receiver says it has not had."""
        if call.handed == call.copies:
            self.counters["requests_repeated"] += 1
            self._put_request(channel, call)

    def _fail_call(self, channel, call, reason):
        error = PeerSilent if call.handed else PeerNotReached
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
        channel.refusals += 1
        if channel.refusals > 1:
            self.fail_calls(channel, "connection refused")
            if self.on_refused is not None:
                self.on_refused(channel.incarnation)
        elif channel.calls:
            self._after(ASK_AGAIN_S, lambda: self.ask(channel))

    def ask(self, channel, *, older_than_s=0.0):
        """Ask after the pending calls whose last copy or question is `older_than_s` old."""
        now = self.now()
        due = [c for c in channel.calls.values() if c.handed and now - c.asked_s >= older_than_s]
        if not due:
            return
        for call in due:
            call.asked_s = now
        self.counters["calls_asked_after"] += len(due)
        self.put(channel, codec.Ask([call.correlation for call in due]), 9 * len(due))

    # Upkeep

    def maintain(self, *, silence_s, paused_s=0.0):
        """Acknowledge what arrived, dial silent links anew, close idle ones.

        Parameters
        ----------
        silence_s : float
            Seconds without acknowledgement after which a connection is not trusted any more.
        paused_s : float
            Seconds for which this process was just paused; they count as no silence.
        """
        now = self.now()
        for channel in list(self.channels.values()):
            link = channel.link
            link.forgive_pause(paused_s)
            if link.is_silent(now, after_s=silence_s):
                self.counters["links_redialled"] += 1
                link.redial()
            if channel.calls:
                self.ask(channel, older_than_s=silence_s)
            if channel.owes_acknowledgement and not link.queued:
                self.put(channel, None)
            if not channel.calls and link.is_idle(now, after_s=LINK_IDLE_S):
                link.redial()
        for link in self.seed_links.values():
            if link.is_silent(now, after_s=silence_s):
                link.redial()
        self._bound_channels()

    def _bound_channels(self):
        excess = len(self.channels) - MAX_CHANNELS
        if excess <= 0:
            return
        idle = [c for c in self.channels.values() if not c.calls and not c.link.is_open]
        idle.sort(key=lambda channel: channel.heard_s or 0.0)
        for channel in idle[:excess]:
            channel.link.close()
            del self.channels[channel.incarnation]
            del self._by_short_form[short_form(channel.incarnation)]
