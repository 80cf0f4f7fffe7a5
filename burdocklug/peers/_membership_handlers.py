"""Handlers of the membership messages that a process receives from its peers."""

import msgspec
import structlog

from burdocklug.peers import _liveness as liveness
from burdocklug.peers import _membership as membership
from burdocklug.peers._gossip import (
    DeclaredDead,
    Entries,
    Heartbeat,
    Hello,
    SilenceAnswer,
    SilenceQuestion,
    TableDigest,
    Unwatched,
    make_digest,
    make_entries,
    merge_digest,
    recent_records,
)
from burdocklug.peers._membership import Status

__all__ = ["MembershipHandlers"]

log = structlog.get_logger(__name__)


class MembershipHandlers:
    """Handlers of heartbeats, table digests, death votes and death notices.

    Parameters
    ----------
    service : MembershipService
        Owns the member table that the handlers update.
    transport : Transport
        Sends the answers.
    settings : PeerSettings
        Timeouts.
    register : callable
        Registers an inline handler for a message type.
    """

    def __init__(self, service, transport, *, settings, register):
        self._service = service
        self._table = service.table
        self._transport = transport
        self._settings = settings
        register(Heartbeat, self._on_heartbeat)
        register(Hello, self._on_hello)
        register(Unwatched, self._on_unwatched)
        register(Entries, self._on_entries)
        register(TableDigest, self._on_digest)
        register(SilenceQuestion, self._on_silence_question)
        register(SilenceAnswer, self._on_silence_answer)
        register(DeclaredDead, self._on_declared_dead)

    def _on_heartbeat(self, sender, heartbeat):
        channel = self._transport.channels[sender]
        now = self._transport.now()
        record, is_new = membership.apply_heartbeat(
            self._table,
            sender,
            heartbeat,
            now,
            name=channel.name,
            failure_domain=channel.failure_domain,
        )
        if record is None or record.status is Status.DEAD:
            self._transport.counters["heartbeats_from_the_dead"] += 1
            self._transport.send(sender, DeclaredDead(sender))
            return None
        if is_new:
            self._service.queue_change(record)
            for older in membership.mark_older_dead(self._table, record, now):
                self._service.queue_change(older)
        if record.status is Status.ALIVE:
            if record.watched_s is None and not heartbeat.requests_link:
                self._transport.send(sender, Unwatched())
            if heartbeat.parts:
                self._consume_parts(record, heartbeat.parts, now)
        return record

    def _on_unwatched(self, sender, _message):
        membership.clear_link_request(self._table, sender)
        membership.mark_heard(self._table, sender, self._transport.now())

    def _consume_parts(self, record, parts, now):
        member = liveness.make_member(self._table, record, now, self._settings)
        for name in parts.keys() & self._service.parts.keys():
            try:
                self._service.parts[name][1](member, msgspec.msgpack.decode(parts[name]))
            except Exception:
                log.exception("heartbeat_part_failed", part=name, sender=record.incarnation)

    def _on_hello(self, sender, hello):
        record = self._on_heartbeat(sender, hello.heartbeat)
        if record is None or self._service.has_left:
            return
        now = self._transport.now()
        self._transport.send(sender, self._service.heartbeat(requests_link=False, parts={}))
        records = list(recent_records(self._table, now, self._settings))
        self._transport.send(sender, make_entries(records, now))

    def _on_entries(self, sender, message):
        now = self._transport.now()
        for entry in message.entries:
            if entry.incarnation == self._table.own_incarnation:
                if entry.status is Status.DEAD:
                    self._service.mark_self_dead(sender)
                continue
            record = membership.merge_entry(self._table, entry, now)
            if record is not None:
                self._service.queue_change(record)

    def _on_digest(self, sender, digest):
        now = self._transport.now()
        missing, is_behind = merge_digest(self._table, digest, now, self._settings)
        if missing:
            self._transport.send(sender, make_entries(missing, now))
        if is_behind and not digest.is_reply:
            answer = make_digest(self._table, now, self._settings, is_reply=True)
            self._transport.send(sender, answer)

    def _on_silence_question(self, sender, question):
        record = self._table.records.get(question.incarnation)
        if record is None or record.watched_s is None:
            return
        now = self._transport.now()
        after_s = self._settings.suspect_after_s
        silent = liveness.is_silent(record, now, after_s=after_s)
        if silent or record.heard_s is not None:
            self._transport.send(sender, SilenceAnswer(question.incarnation, silent))

    def _on_silence_answer(self, sender, answer):
        liveness.add_vote(self._table, answer.incarnation, sender, silent=answer.silent)

    def _on_declared_dead(self, sender, message):
        if message.incarnation == self._table.own_incarnation:
            # A peer sends no heartbeats to a member that it considers dead. This message answers
            # one of ours and so shows that the peer is alive.
            membership.mark_heard(self._table, sender, self._transport.now())
            self._service.mark_self_dead(sender)

    def on_misdirected_sender(self, sender):
        """Send `Hello` to an unknown process that addressed another incarnation of this process."""
        if sender not in self._table.records and not self._service.has_left:
            hello = Hello(self._service.heartbeat(requests_link=False, parts={}))
            self._transport.send(sender, hello)
