"""Keeps the member table: sends and takes in heartbeats, digests, votes and verdicts."""

import random

import msgspec
import structlog

from burdocklug.peers import _membership as membership
from burdocklug.peers._gossip import (
    DeclaredDead,
    Entries,
    Entry,
    Heartbeat,
    Hello,
    SilenceAnswer,
    SilenceQuestion,
    TableDigest,
    entries_of,
    make_digest,
    missing_in_digest,
    told_records,
)
from burdocklug.peers._incarnation import address_of
from burdocklug.peers._member import MemberState
from burdocklug.peers._membership import MemberTable, Status
from burdocklug.peers._seeds import due_seeds
from burdocklug.peers._topology import choose_links

__all__ = ["MembershipService", "SILENCE_MARGIN_S"]

SILENCE_MARGIN_S = 0.25
DIGEST_PERIODS = 2  # heartbeat periods from one digest to the next
LINK_RETRY_S = 30.0  # before a link that failed is chosen again

log = structlog.get_logger(__name__)


class MembershipService:
    """Membership of one process.

    Parameters
    ----------
    transport : Transport
        The sending half.
    register : callable
        Registers an inline handler for a message type.
    settings : PeerSettings
        Seeds and periods.
    address : str
        Own address, which is not taken for a seed.
    """

    def __init__(self, transport, *, register, settings, address):
        identity = transport.identity
        self.table = MemberTable(identity.incarnation, identity.failure_domain)
        self.draining = False
        self.has_left = False
        self.declared_dead_by = None
        self.on_declared_dead = None
        self.parts = {}
        self._transport = transport
        self._counters = transport.counters
        self._settings = settings
        self._address = address
        self._random = random.Random(identity.incarnation)
        self._seed_retries = {}
        self._sequence = 0
        self._ticks = 0
        self._ticked_s = None
        self._changed = {}
        self._links = set()
        self._links_stale = True
        self._failed_links = {}
        register(Heartbeat, self._on_heartbeat)
        register(Hello, self._on_hello)
        register(Entries, self._on_entries)
        register(TableDigest, self._on_digest)
        register(SilenceQuestion, self._on_question)
        register(SilenceAnswer, self._on_answer)
        register(DeclaredDead, self._on_declared_dead)

    # Periodic work

    def tick(self):
        """Do the work of one heartbeat period."""
        now = self._transport.now()
        paused_s = self._pause_before(now)
        membership.shift_times(self.table, paused_s)
        silence_s = 2 * self._settings.heartbeat_s + SILENCE_MARGIN_S
        self._transport.maintain(silence_s=silence_s, paused_s=paused_s)
        if paused_s > self._settings.forget_after_s:
            self._learn_own_death("own pause")
        if self.has_left or self.declared_dead_by is not None:
            return
        self._ticks += 1
        self._note_unreached()
        self._judge(now)
        if membership.forget(self.table, now, self._settings):
            self._links_stale = True
        self._watch(now)
        self._greet_seeds(now)
        self._tell_watched(now)

    def _pause_before(self, now):
        last_s, self._ticked_s = self._ticked_s, now
        if last_s is None:
            return 0.0
        late_s = now - last_s - self._settings.heartbeat_s
        return late_s if late_s > self._settings.heartbeat_s else 0.0

    def _note_unreached(self):
        for record in self._watched():
            channel = self._transport.channels.get(record.incarnation)
            record.unreached_s = channel.link.unreached_since_s if channel else None

    def _watched(self):
        return [r for r in self.table.records.values() if r.watched_s is not None]

    def _reached(self, now):
        table, settings = self.table, self._settings
        return [
            r
            for r in self._watched()
            if membership.state_of(table, r, now, settings) is MemberState.ALIVE
        ]

    def _judge(self, now):
        settings = self._settings
        for record in self._watched():
            if not membership.is_silent(record, now, after_s=settings.dead_after_s):
                continue
            if record.failure_domain != self.table.failure_domain:
                self._failed_links[record.incarnation] = now + LINK_RETRY_S
                self._links_stale = True
            elif membership.vote_is_dead(self.table, record, now, settings):
                membership.mark_dead(self.table, record, now)
                self._counters["members_declared_dead"] += 1
                self._note_change(record)
            elif record.asked_s is None or now - record.asked_s > 2 * settings.heartbeat_s:
                self._ask_others(record, now)

    def _ask_others(self, record, now):
        record.asked_s = now
        record.confirmed_by.clear()
        record.denied_by.clear()
        for other in self._reached(now):
            self._transport.send(other.incarnation, SilenceQuestion(record.incarnation))

    def _watch(self, now):
        failed = self._failed_links
        for incarnation in [i for i, until_s in failed.items() if until_s <= now]:
            del failed[incarnation]
            self._links_stale = True
        living = {
            r.incarnation: r.failure_domain
            for r in self.table.records.values()
            if r.status is Status.ALIVE
        }
        if self._links_stale:
            self._links_stale = False
            self._links = self._choose_links(living)
        recent_s = now - self._settings.dead_after_s
        watched = {i for i, domain in living.items() if domain == self.table.failure_domain}
        watched.update(self._links.intersection(living))
        for record in self.table.records.values():
            if record.chose_s is not None and record.chose_s > recent_s:
                if record.status is Status.ALIVE:
                    watched.add(record.incarnation)
        membership.watch_only(self.table, watched, now)

    def _choose_links(self, living):
        candidates = {i: d for i, d in living.items() if i not in self._failed_links}
        reachable = set(candidates.values())
        candidates.update((i, d) for i, d in living.items() if d not in reachable)
        return choose_links(
            self.table.own,
            self.table.failure_domain,
            candidates,
            count=self._settings.remote_links,
        )

    def _greet_seeds(self, now):
        known = {
            address_of(r.incarnation)
            for r in self.table.records.values()
            if r.status is Status.ALIVE
        }
        addresses = dict.fromkeys((*self._settings.seeds, *self.table.old_addresses))
        unknown = [a for a in addresses if a not in known and a != self._address]
        due = due_seeds(
            self._seed_retries,
            unknown,
            now,
            first_delay_s=self._settings.heartbeat_s,
            jitter=self._random.random,
        )
        for address in due:
            self._transport.send_to_seed(address, Hello(self._heartbeat(chosen=True, parts={})))
        for address in set(self._transport.seed_links).difference(unknown):
            self._transport.close_seed_link(address)

    def _tell_watched(self, now):
        watched = self._watched()
        self._sequence += 1
        parts = self._produce_parts()
        encode = self._transport.types.encode
        link_body = encode(self._heartbeat(chosen=True, parts=parts))
        plain_body = encode(self._heartbeat(chosen=False, parts=parts))
        changed, self._changed = list(self._changed.values()), {}
        change_body = encode(entries_of(changed, now)) if changed else None
        for record in watched:
            is_link = record.incarnation in self._links
            body = link_body if is_link else plain_body
            self._transport.send_heartbeat(record.incarnation, body)
            if change_body is not None:
                self._transport.send_body(record.incarnation, change_body)
        if self._ticks % DIGEST_PERIODS == 0:
            self._send_digest(now)

    def _send_digest(self, now):
        reached = self._reached(now)
        if reached:
            record = reached[self._ticks // DIGEST_PERIODS % len(reached)]
            digest = make_digest(self.table, now, self._settings)
            self._transport.send(record.incarnation, digest)

    def _heartbeat(self, *, chosen, parts):
        return Heartbeat(self._sequence, chosen, self.draining, parts)

    def _produce_parts(self):
        parts = {}
        for name, (produce, _consume) in self.parts.items():
            try:
                value = produce()
            except Exception:
                log.exception("heartbeat_part_failed", part=name)
                continue
            if value is not None:
                parts[name] = msgspec.Raw(msgspec.msgpack.encode(value))
        return parts

    def _note_change(self, record):
        self._changed[record.incarnation] = record
        self._links_stale = True

    # Messages

    def _on_heartbeat(self, sender, heartbeat):
        channel = self._transport.channels[sender]
        now = self._transport.now()
        record, is_new = membership.note_heartbeat(
            self.table,
            sender,
            heartbeat,
            now,
            name=channel.name,
            failure_domain=channel.failure_domain,
        )
        if record is None or record.status is Status.DEAD:
            self._counters["heartbeats_from_the_dead"] += 1
            self._transport.send(sender, DeclaredDead(sender))
            return None
        if is_new:
            self._note_change(record)
            for older in membership.replace_older(self.table, record, now):
                self._note_change(older)
        if record.status is Status.ALIVE and heartbeat.parts:
            self._consume_parts(record, heartbeat.parts, now)
        return record

    def _consume_parts(self, record, parts, now):
        member = membership.make_member(self.table, record, now, self._settings)
        for name in parts.keys() & self.parts.keys():
            try:
                self.parts[name][1](member, msgspec.msgpack.decode(parts[name]))
            except Exception:
                log.exception("heartbeat_part_failed", part=name, sender=record.incarnation)

    def _on_hello(self, sender, hello):
        record = self._on_heartbeat(sender, hello.heartbeat)
        if record is None or self.has_left or self.declared_dead_by is not None:
            return
        now = self._transport.now()
        self._transport.send(sender, self._heartbeat(chosen=False, parts={}))
        records = list(told_records(self.table, now, self._settings))
        self._transport.send(sender, entries_of(records, now))

    def _on_entries(self, sender, message):
        now = self._transport.now()
        for entry in message.entries:
            if entry.incarnation == self.table.own:
                if entry.status is Status.DEAD:
                    self._learn_own_death(sender)
                continue
            record = membership.join_entry(self.table, entry, now)
            if record is not None:
                self._note_change(record)

    def _on_digest(self, sender, digest):
        now = self._transport.now()
        missing, lacking = missing_in_digest(self.table, digest, now, self._settings)
        if missing:
            self._transport.send(sender, entries_of(missing, now))
        if lacking and not digest.answers:
            answer = make_digest(self.table, now, self._settings, answers=True)
            self._transport.send(sender, answer)

    def _on_question(self, sender, question):
        record = self.table.records.get(question.incarnation)
        if record is None or record.watched_s is None:
            return
        now = self._transport.now()
        after_s = self._settings.suspect_after_s
        silent = membership.is_silent(record, now, after_s=after_s)
        if silent or record.heard_s is not None:
            self._transport.send(sender, SilenceAnswer(question.incarnation, silent))

    def _on_answer(self, sender, answer):
        membership.add_vote(self.table, answer.incarnation, sender, silent=answer.silent)

    def _on_declared_dead(self, sender, message):
        if message.incarnation == self.table.own:
            self._learn_own_death(sender)

    def _learn_own_death(self, sender):
        if self.declared_dead_by is not None or self.has_left:
            return
        self.declared_dead_by = sender
        log.warning("declared_dead", by=sender)
        if self.on_declared_dead is not None:
            self.on_declared_dead(sender)

    def replaced(self, old, new):
        """Note that `new` answers at the address of `old`."""
        record = self.table.records.get(old)
        now = self._transport.now()
        if record is not None and membership.mark_dead(self.table, record, now, replaced=True):
            self._note_change(record)
            log.info("member_replaced", old=old, new=new)

    # Leaving

    def tell_left(self, successor):
        """Tell every living member that this process leaves; return their incarnations."""
        self.has_left = True
        who = self._transport.identity
        entry = Entry(who.incarnation, who.name, who.failure_domain, Status.LEFT, successor, 0.0)
        now = self._transport.now()
        told = [
            r.incarnation
            for r in self.table.records.values()
            if membership.state_of(self.table, r, now, self._settings) is MemberState.ALIVE
        ]
        for incarnation in told:
            self._transport.send(incarnation, Entries([entry]))
        return told
