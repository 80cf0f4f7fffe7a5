"""Receiving half of the transport: opens frames, runs handlers, resolves pending calls."""

from dataclasses import dataclass

import eventlet
import msgspec
import structlog

from burdocklug.peers import _codec as codec
from burdocklug.peers._codec import RefusalReason
from burdocklug.peers._dedupe import Verdict
from burdocklug.peers._errors import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.peers._incarnation import address_of, short_form
from burdocklug.peers._sockets import PullListener

__all__ = ["Handler", "Receiver"]

log = structlog.get_logger(__name__)

REFUSAL_REASONS = {
    Verdict.IN_PROGRESS: RefusalReason.IN_PROGRESS,
    Verdict.REPLY_LOST: RefusalReason.REPLY_LOST,
    Verdict.PASSED: RefusalReason.REPLY_LOST,
    Verdict.NOT_SEEN: RefusalReason.NOT_SEEN,
    Verdict.EXPIRED: RefusalReason.EXPIRED,
}
REPLACED = "replaced by another incarnation"
NOT_HANDLED_REASONS = frozenset({RefusalReason.EXPIRED, RefusalReason.NO_HANDLER})
# Limits on concurrent handlers. Requests beyond them are sent again, one-way messages are lost.
MAX_HANDLERS = 4096
MAX_HANDLED_BYTES = 64_000_000  # total size of the messages being handled


@dataclass(frozen=True, slots=True)
class Handler:
    """Handler of a message type; an inline one runs in the reading greenlet and must not block."""

    handle: object
    inline: bool = False


class Receiver:
    """Receives and dispatches the frames of all peers.

    Parameters
    ----------
    transport : Transport
        Sending half of the transport, which holds the channels.
    on_replaced : callable
        Called with an incarnation that was replaced at its address, and the one that replaced it.

    Attributes
    ----------
    on_misdirected_sender : callable or None
        Called with the sender of a frame that was addressed to another incarnation.
    """

    def __init__(self, transport, *, on_replaced):
        self._transport = transport
        own = transport.identity.incarnation
        self._own_targets = frozenset({"", own, short_form(own)})
        self._counters = transport.counters
        self.on_misdirected_sender = None
        self._on_replaced = on_replaced
        self._handlers = {}
        self._listener = None
        self._running = 0
        self._running_bytes = 0
        self._item_handlers = {
            codec.Notice: self._on_notice,
            codec.Request: self._on_request,
            codec.Reply: self._on_reply,
            codec.Refusal: self._on_refusal,
            codec.StatusQuery: self._on_status_query,
            codec.Misdirected: self._on_misdirected,
        }

    def listen(self, address):
        """Start receiving at `address`."""
        self._listener = PullListener(address, self.receive)

    def close(self):
        """Stop receiving."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def register(self, message_type, handler, *, inline):
        """Set the handler of a message type."""
        self._handlers[message_type] = Handler(handler, inline)

    def handler_of(self, message_type):
        """Return the handler of a message type, or None."""
        return self._handlers.get(message_type)

    def receive(self, frame):
        """Verify and open a frame, and handle its items.

        One-way messages of a duplicate frame are skipped. Its other items are handled: requests
        and replies are deduplicated by correlation id.
        """
        counters = self._counters
        counters["frames_received"] += 1
        counters["bytes_received"] += len(frame)
        try:
            envelope = self._transport.codec.open(frame)
        except codec.FrameError as exc:
            counters["frames_malformed" if exc.authentic else "frames_not_authentic"] += 1
            return
        channel = self._transport.sender_channel(envelope.sender)
        if channel is None:
            counters["frames_from_nobody"] += 1
            return
        if envelope.target not in self._own_targets:
            self._refuse_misdirected(channel, envelope)
            return
        channel.record_envelope(envelope, self._transport.now())
        is_new = not envelope.target or channel.frame_window.admit(envelope.sequence)
        if not is_new:
            counters["frames_repeated"] += 1
        for item in envelope.items:
            if not is_new and type(item) is codec.Notice:
                continue
            try:
                self._item_handlers[type(item)](channel, item)
            except Exception:
                log.exception("peer_item_failed", sender=envelope.sender)

    def _refuse_misdirected(self, channel, envelope):
        if self.on_misdirected_sender is not None:
            self.on_misdirected_sender(channel.incarnation)
        for item in envelope.items:
            self._counters["items_misdirected"] += 1
            if type(item) is codec.Request:
                answer = codec.Misdirected(envelope.target, item.correlation, item.copy)
            elif type(item) is codec.StatusQuery:
                # Copy 0 marks the outcome of the call as unknown: an earlier copy of the request
                # may have reached the target, so the call must not fail as undelivered.
                answer = codec.Misdirected(envelope.target, item.correlations[0], 0)
            else:
                continue
            self._transport.put(channel, answer)

    def _decode(self, body):
        try:
            return self._transport.types.decode(body)
        except msgspec.DecodeError:
            self._counters["bodies_malformed"] += 1
            return None

    def _on_notice(self, channel, item):
        message = self._decode(item.body)
        handler = self._handlers.get(type(message))
        if handler is None:
            self._counters["items_without_handler"] += 1
        elif handler.inline:
            handler.handle(channel.incarnation, message)
        elif self._has_capacity(item):
            self._spawn(item, self._run_notice, handler, channel.incarnation, message)

    def _run_notice(self, handler, sender, message):
        try:
            handler.handle(sender, message)
        except Exception:
            log.exception("peer_handler_failed", message_type=type(message).__name__)

    def _on_request(self, channel, item):
        message = handler = None
        if channel.request_window.lookup(item.correlation) is Verdict.NOT_SEEN:
            message = self._decode(item.body)
            handler = self._handlers.get(type(message))
            if handler is not None and not handler.inline and not self._has_capacity(item):
                return  # not recorded: the sender queries its status and sends another copy
        expired = channel.clock.earliest_sender_time(self._transport.now()) > item.expires_s
        verdict = channel.request_window.admit(item.correlation, expired=expired)
        if verdict is not Verdict.HANDLE:
            self._counters[f"requests_{verdict.value}"] += 1
            self._answer_from_window(channel, item.correlation, item.copy, verdict)
            return
        if handler is None:
            self._counters["items_without_handler"] += 1
            self._refuse(channel, item, RefusalReason.NO_HANDLER)
        elif handler.inline:
            self._run_request(handler, channel, item, message)
        else:
            self._spawn(item, self._run_request, handler, channel, item, message)

    def _has_capacity(self, item):
        """Return whether another handler may start; the only one may take a body of any size."""
        is_full = self._running >= MAX_HANDLERS
        over = self._running and self._running_bytes + _size(item) > MAX_HANDLED_BYTES
        if is_full or over:
            self._counters["handlers_refused"] += 1
            return False
        return True

    def _spawn(self, item, function, *args):
        """Run a handler in a new greenlet, counted against the limits until it ends."""
        size = _size(item)
        self._running += 1
        self._running_bytes += size

        def run():
            try:
                function(*args)
            finally:
                self._running -= 1
                self._running_bytes -= size

        eventlet.spawn_n(run)

    def _run_request(self, handler, channel, item, message):
        try:
            reply = handler.handle(channel.incarnation, message)
            body = b"" if reply is None else self._transport.types.encode(reply)
        except Exception as exc:
            log.exception("peer_handler_failed", message_type=type(message).__name__)
            self._refuse(channel, item, RefusalReason.HANDLER_FAILED, type(exc).__name__)
            return
        if len(body) > codec.MAX_MESSAGE_BYTES:
            self._counters["oversized_not_sent"] += 1
            self._refuse(channel, item, RefusalReason.HANDLER_FAILED, "reply is too large")
            return
        channel.request_window.finish(item.correlation, body)
        self._put_reply(channel, item.correlation, body)

    def _put_reply(self, channel, correlation, body):
        self._transport.put(channel, codec.Reply(correlation, body), len(body))

    def _refuse(self, channel, item, reason, detail=""):
        refusal = codec.Refusal(item.correlation, item.copy, reason, detail)
        self._transport.put(channel, refusal)

    def _answer_from_window(self, channel, correlation, copy, verdict):
        if verdict is Verdict.REPLIED:
            self._put_reply(channel, correlation, channel.request_window.reply(correlation))
        else:
            self._transport.put(channel, codec.Refusal(correlation, copy, REFUSAL_REASONS[verdict]))

    def _on_status_query(self, channel, item):
        for correlation in item.correlations:
            verdict = channel.request_window.lookup(correlation)
            self._answer_from_window(channel, correlation, 0, verdict)

    # Outcomes of calls made by this process

    def _pending_call(self, channel, correlation):
        call = None if channel is None else channel.calls.get(correlation)
        if call is None or call.event.ready():
            self._counters["replies_late_or_repeated"] += 1
            return None
        return call

    def _on_reply(self, channel, item):
        call = self._pending_call(channel, item.correlation)
        if call is not None:
            call.resolve(item.body)

    def _on_refusal(self, channel, item):
        call = self._pending_call(channel, item.correlation)
        if call is None or item.reason is RefusalReason.IN_PROGRESS:
            return
        reason = f"{item.reason.name.lower()} {item.detail}".strip()
        if item.reason is RefusalReason.NOT_SEEN:
            self._transport.repeat_request(channel, call)
        elif item.reason in NOT_HANDLED_REASONS:
            call.resolve(PeerUnreachable(channel.incarnation, reason))
        else:
            call.resolve(PeerOutcomeUnknown(channel.incarnation, reason))

    def _on_misdirected(self, channel, item):
        if address_of(item.target) != address_of(channel.incarnation):
            self._counters["frames_from_nobody"] += 1
            return
        self._on_replaced(item.target, channel.incarnation)
        old = self._transport.channels.get(item.target)
        call = self._pending_call(old, item.correlation)
        if call is not None:
            only_copy = call.copies_queued == item.copy == 1
            error = PeerUnreachable if only_copy else PeerOutcomeUnknown
            call.resolve(error(item.target, REPLACED))
        if old is not None and item.copy == 0:
            self._transport.fail_calls(old, REPLACED)


def _size(item):
    return memoryview(item.body).nbytes
