"""What a process does with the membership messages of its peers."""

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
    entries_of,
    make_digest,
    missing_in_digest,
    told_records,
)
from burdocklug.peers._membership import Status

__all__ = ["MembershipHandlers"]

log = structlog.get_logger(__name__)


class MembershipHandlers:
    """Handlers of heartbeats, digests, votes and verdicts.

    Parameters
    ----------
    service : MembershipService
        Whose table is kept.
    transport : Transport
        The sending half.
    settings : PeerSettings
        Periods.
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
        register(SilenceQuestion, self._on_question)
        register(SilenceAnswer, self._on_answer)
        register(DeclaredDead, self._on_declared_dead)

    def _on_heartbeat(self, sender, heartbeat):
        channel = self._transport.channels[sender]
        now = self._transport.now()
        record, is_new = membership.note_heartbeat(
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
            self._service.note_change(record)
            for older in membership.replace_older(self._table, record, now):
                self._service.note_change(older)
        if record.status is Status.ALIVE:
            if record.watched_s is None and not heartbeat.chosen:
                self._transport.send(sender, Unwatched())
            if heartbeat.parts:
                self._consume_parts(record, heartbeat.parts, now)
        return record

    def _on_unwatched(self, sender, _message):
        membership.note_unchosen(self._table, sender)
        membership.note_answer(self._table, sender, self._transport.now())

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
        self._transport.send(sender, self._service.heartbeat(chosen=False, parts={}))
        records = list(told_records(self._table, now, self._settings))
        self._transport.send(sender, entries_of(records, now))

    def _on_entries(self, sender, message):
        now = self._transport.now()
        for entry in message.entries:
            if entry.incarnation == self._table.own:
                if entry.status is Status.DEAD:
                    self._service.learn_own_death(sender)
                continue
            record = membership.join_entry(self._table, entry, now)
            if record is not None:
                self._service.note_change(record)

    def _on_digest(self, sender, digest):
        now = self._transport.now()
        missing, lacking = missing_in_digest(self._table, digest, now, self._settings)
        if missing:
            self._transport.send(sender, entries_of(missing, now))
        if lacking and not digest.answers:
            answer = make_digest(self._table, now, self._settings, answers=True)
            self._transport.send(sender, answer)

    def _on_question(self, sender, question):
        record = self._table.records.get(question.incarnation)
        if record is None or record.watched_s is None:
            return
        now = self._transport.now()
        after_s = self._settings.suspect_after_s
        silent = liveness.is_silent(record, now, after_s=after_s)
        if silent or record.heard_s is not None:
            self._transport.send(sender, SilenceAnswer(question.incarnation, silent))

    def _on_answer(self, sender, answer):
        liveness.add_vote(self._table, answer.incarnation, sender, silent=answer.silent)

    def _on_declared_dead(self, sender, message):
        if message.incarnation == self._table.own:
            # Peers send no heartbeats to the dead; this answer to one shows that they are there.
            membership.note_answer(self._table, sender, self._transport.now())
            self._service.learn_own_death(sender)

    def greet_stranger(self, sender):
        """Say hello to a process that takes this one for another incarnation."""
        if sender not in self._table.records and not self._service.has_left:
            hello = Hello(self._service.heartbeat(chosen=False, parts={}))
            self._transport.send(sender, hello)
