"""Calls and one-way messages between incarnations over links."""

import collections
from dataclasses import dataclass

import eventlet
import msgspec
import structlog

from burdocklug.peers import _codec as codec
from burdocklug.peers._channel import Channel
from burdocklug.peers._codec import RefusalReason
from burdocklug.peers._dedupe import Verdict
from burdocklug.peers._errors import MessageTooLarge, PeerNotReached, PeerSilent
from burdocklug.peers._incarnation import address_of
from burdocklug.peers._link import Link, Outgoing
from burdocklug.peers._sockets import PullListener

__all__ = ["Handler", "Identity", "Transport"]

ITEM_BYTES = 32  # of an item around its body
ASK_AGAIN_S = 0.2  # after a refused connection, before the outcome of calls counts as unknown

log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is to its peers."""

    incarnation: str
    name: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Handler:
    """A handler of one message type; an inline one runs in the reader and may not wait."""

    handle: object
    inline: bool = False


class Transport:
    """Sends and receives the messages of one process.

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
    on_envelope : callable
        Takes each authentic envelope that is meant for this process, before its items.
    on_replaced : callable
        Takes an incarnation that another one has replaced at its address, and the other one.
    """

    def __init__(self, identity, *, shared_key, now, after, on_envelope, on_replaced):
        self.identity = identity
        self.types = codec.MessageTypes()
        self.counters = collections.Counter()
        self.channels = {}
        self._handlers = {}
        self._seed_links = {}
        self._codec = codec.FrameCodec(shared_key)
        self._now = now
        self._after = after
        self._on_envelope = on_envelope
        self._on_replaced = on_replaced
        self._listener = None
        self._item_handlers = {
            codec.Notice: self._on_notice,
            codec.Request: self._on_request,
            codec.Reply: self._on_reply,
            codec.Refusal: self._on_refusal,
            codec.Ask: self._on_ask,
            codec.Misdirected: self._on_misdirected,
        }

    def listen(self, address):
        """Start to receive at `address`."""
        self._listener = PullListener(address, self._receive)

    def close(self):
        """Close every socket; pending calls fail."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for channel in list(self.channels.values()):
            channel.link.close()
            self._fail_calls(channel, "this process leaves")
        for link in self._seed_links.values():
            link.close()

    def register(self, message_type, handler, *, inline=False):
        """Set the handler of a message type, or only make the type known if it is None."""
        self.types.add(message_type)
        if handler is not None:
            self._handlers[message_type] = Handler(handler, inline)

    # Sending

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
            channel.link = Link(
                address,
                lambda sequence, items: self._seal(channel, sequence, items),
                lambda: self._on_refused(channel),
                self._now,
            )
        return channel

    def _seal(self, channel, sequence, items):
        channel.owes_acknowledgement = False
        who = self.identity
        envelope = codec.Envelope(
            who.incarnation,
            channel.incarnation,
            who.name,
            who.failure_domain,
            sequence,
            self._now(),
            channel.seen,
            channel.low_water,
            items,
        )
        return self._codec.seal(envelope)

    def _seal_for_seed(self, sequence, items):
        who = self.identity
        envelope = codec.Envelope(
            who.incarnation, "", who.name, who.failure_domain, sequence, self._now(), 0, 0, items
        )
        return self._codec.seal(envelope)

    def _encode(self, incarnation, message):
        body = self.types.encode(message)
        if len(body) > codec.MAX_MESSAGE_BYTES:
            self.counters["oversized_not_sent"] += 1
            raise MessageTooLarge(incarnation, len(body), codec.MAX_MESSAGE_BYTES)
        return body

    def send(self, incarnation, message):
        """Queue a one-way message; it may get lost."""
        body = self._encode(incarnation, message)
        self.put(self.channel(incarnation), codec.Notice(msgspec.Raw(body)), len(body))

    def send_to_seed(self, address, message, *, on_dropped=None):
        """Queue a one-way message to whichever incarnation listens at an address."""
        link = self._seed_links.get(address)
        if link is None:
            link = Link(address, self._seal_for_seed, lambda: None, self._now)
            self._seed_links[address] = link
        body = self._encode(address, message)
        notice = codec.Notice(msgspec.Raw(body))
        link.put(Outgoing(notice, len(body) + ITEM_BYTES, on_dropped=on_dropped))

    def put(self, channel, item, body_bytes=0):
        """Queue an item that nobody waits for."""
        return channel.link.put(Outgoing(item, body_bytes + ITEM_BYTES))

    def call(self, incarnation, message, *, timeout_s):
        """Send a message and return its reply.

        Raises
        ------
        PeerNotReached
            If the message was certainly not delivered.
        PeerSilent
            If it may have been delivered.
        """
        body = self._encode(incarnation, message)
        channel = self.channel(incarnation)
        call = channel.open_call(body, self._now() + timeout_s)
        try:
            self._put_request(channel, call)
            with eventlet.Timeout(timeout_s, False):
                call.event.wait()
            if not call.event.ready():
                self._time_out(channel, call)
            reply = call.event.wait()
        finally:
            del channel.calls[call.correlation]
            if call.outgoing is not None:
                call.outgoing.withdrawn = True
        try:
            return None if reply is None else self.types.decode(reply)
        except msgspec.DecodeError as exc:
            raise PeerSilent(incarnation, f"reply not decodable: {exc}") from exc

    def _put_request(self, channel, call):
        call.copies += 1
        copy = call.copies
        item = codec.Request(call.correlation, copy, call.expires_s, msgspec.Raw(call.body))

        def on_handed(_generation, _sequence):
            call.handed += 1
            call.asked_s = self._now()

        def on_dropped(reason):
            self._fail_call(channel, call, reason)

        call.outgoing = Outgoing(item, len(call.body) + ITEM_BYTES, on_handed, on_dropped)
        if not channel.link.put(call.outgoing):
            on_dropped("outgoing queue is full or closed")

    def _fail_call(self, channel, call, reason):
        error = PeerSilent if call.handed else PeerNotReached
        call.resolve(error(channel.incarnation, reason))

    def _fail_calls(self, channel, reason):
        for call in list(channel.calls.values()):
            self._fail_call(channel, call, reason)

    def _time_out(self, channel, call):
        self.counters["calls_timed_out"] += 1
        call.outgoing.withdrawn = True
        self._fail_call(channel, call, "timeout")

    def _on_refused(self, channel):
        channel.refusals += 1
        if channel.refusals > 1:
            self._fail_calls(channel, "connection refused")
        elif channel.calls:
            self._after(ASK_AGAIN_S, lambda: self.ask(channel))

    def ask(self, channel, *, older_than_s=0.0):
        """Ask after the pending calls whose last copy or question is `older_than_s` old."""
        now = self._now()
        due = [c for c in channel.calls.values() if c.handed and now - c.asked_s >= older_than_s]
        if due:
            for call in due:
                call.asked_s = now
            self.counters["calls_asked_after"] += len(due)
            self.put(channel, codec.Ask([call.correlation for call in due]), 9 * len(due))

    # Receiving

    def _receive(self, frame):
        self.counters["frames_received"] += 1
        self.counters["bytes_received"] += len(frame)
        try:
            envelope = self._codec.open(frame)
        except codec.FrameError as exc:
            self.counters["frames_malformed" if exc.authentic else "frames_not_authentic"] += 1
            return
        if envelope.sender == self.identity.incarnation or address_of(envelope.sender) is None:
            self.counters["frames_from_nobody"] += 1
            return
        channel = self.channel(envelope.sender)
        if envelope.target and envelope.target != self.identity.incarnation:
            self._refuse_misdirected(channel, envelope)
            return
        channel.note_frame(envelope, self._now())
        self._on_envelope(envelope)
        for item in envelope.items:
            try:
                self._item_handlers[type(item)](channel, item)
            except Exception:
                log.exception("peer_item_failed", sender=envelope.sender)

    def _refuse_misdirected(self, channel, envelope):
        for item in envelope.items:
            self.counters["items_misdirected"] += 1
            if type(item) is codec.Request:
                refusal = codec.Misdirected(envelope.target, item.correlation, item.copy)
                self.put(channel, refusal)

    def _decode(self, body):
        try:
            return self.types.decode(body)
        except msgspec.DecodeError:
            self.counters["bodies_malformed"] += 1
            return None

    def _on_notice(self, channel, item):
        message = self._decode(item.body)
        handler = self._handlers.get(type(message))
        if handler is None:
            self.counters["items_without_handler"] += 1
        elif handler.inline:
            handler.handle(channel.incarnation, message)
        else:
            eventlet.spawn_n(self._run_notice, handler, channel.incarnation, message)

    def _run_notice(self, handler, sender, message):
        try:
            handler.handle(sender, message)
        except Exception:
            log.exception("peer_handler_failed", message_type=type(message).__name__)

    def _on_request(self, channel, item):
        expired = channel.clock.sender_time(self._now()) > item.expires_s
        verdict = channel.window.admit(item.correlation, expired=expired)
        if verdict is not Verdict.HANDLE:
            self.counters[f"requests_{verdict.value}"] += 1
            self._answer_repeated(channel, item.correlation, item.copy, verdict)
            return
        message = self._decode(item.body)
        handler = self._handlers.get(type(message))
        if handler is None:
            self.counters["items_without_handler"] += 1
            self._refuse(channel, item, RefusalReason.NO_HANDLER)
        elif handler.inline:
            self._run_request(handler, channel, item, message)
        else:
            eventlet.spawn_n(self._run_request, handler, channel, item, message)

    def _run_request(self, handler, channel, item, message):
        try:
            reply = handler.handle(channel.incarnation, message)
            body = b"" if reply is None else self.types.encode(reply)
        except Exception as exc:
            log.exception("peer_handler_failed", message_type=type(message).__name__)
            self._refuse(channel, item, RefusalReason.HANDLER_FAILED, type(exc).__name__)
            return
        channel.window.finish(item.correlation, body)
        self._put_reply(channel, item.correlation, body)

    def _put_reply(self, channel, correlation, body):
        self.put(channel, codec.Reply(correlation, body), len(body))

    def _refuse(self, channel, item, reason, detail=""):
        self.put(channel, codec.Refusal(item.correlation, item.copy, reason, detail))

    def _answer_repeated(self, channel, correlation, copy, verdict):
        if verdict is Verdict.REPLIED:
            self._put_reply(channel, correlation, channel.window.reply(correlation))
        else:
            reason = REASON_OF[verdict]
            self.put(channel, codec.Refusal(correlation, copy, reason))

    def _on_ask(self, channel, item):
        for correlation in item.correlations:
            verdict = channel.window.ask(correlation)
            self._answer_repeated(channel, correlation, 0, verdict)

    def _on_reply(self, channel, item):
        call = channel.calls.get(item.correlation)
        if call is None or call.event.ready():
            self.counters["replies_late_or_repeated"] += 1
            return
        call.resolve(item.body or None)

    def _on_refusal(self, channel, item):
        call = channel.calls.get(item.correlation)
        if call is None or call.event.ready():
            self.counters["replies_late_or_repeated"] += 1
        elif item.reason is RefusalReason.NOT_SEEN:
            if call.handed == call.copies:
                self._put_request(channel, call)
        elif item.reason in (RefusalReason.EXPIRED, RefusalReason.NO_HANDLER):
            reason = item.reason.name.lower()
            call.resolve(PeerNotReached(channel.incarnation, reason))
        elif item.reason is not RefusalReason.IN_PROGRESS:
            reason = f"{item.reason.name.lower()} {item.detail}".strip()
            call.resolve(PeerSilent(channel.incarnation, reason))

    def _on_misdirected(self, channel, item):
        if address_of(item.target) != address_of(channel.incarnation):
            self.counters["frames_from_nobody"] += 1
            return
        self._on_replaced(item.target, channel.incarnation)
        old = self.channels.get(item.target)
        call = None if old is None else old.calls.get(item.correlation)
        if call is None:
            self.counters["replies_late_or_repeated"] += 1
        elif call.copies == item.copy == 1:
            call.resolve(PeerNotReached(item.target, "replaced by another incarnation"))
        else:
            call.resolve(PeerSilent(item.target, "replaced by another incarnation"))


REASON_OF = {
    Verdict.IN_PROGRESS: RefusalReason.IN_PROGRESS,
    Verdict.REPLY_LOST: RefusalReason.REPLY_LOST,
    Verdict.PASSED: RefusalReason.REPLY_LOST,
    Verdict.NOT_SEEN: RefusalReason.NOT_SEEN,
    Verdict.EXPIRED: RefusalReason.EXPIRED,
}
