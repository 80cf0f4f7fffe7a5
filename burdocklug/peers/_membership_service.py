"""Keeps the member table: the work of each heartbeat period, and what the process itself is."""

import random

import msgspec
import structlog

from burdocklug.peers import _liveness as liveness
from burdocklug.peers import _membership as membership
from burdocklug.peers._gossip import (
    Entries,
    Entry,
    Heartbeat,
    Hello,
    SilenceQuestion,
    entries_of,
    make_digest,
)
from burdocklug.peers._incarnation import address_of
from burdocklug.peers._member import MemberState
from burdocklug.peers._membership import MemberTable, Status
from burdocklug.peers._seeds import due_seeds
from burdocklug.peers._watch import WatchList, choose_watched, note_failed

__all__ = ["MembershipService"]

SILENCE_MARGIN_S = 0.25
DIGEST_PERIODS = 2  # heartbeat periods from one digest to the next

log = structlog.get_logger(__name__)


class MembershipService:
    """Membership of one process.

    Parameters
    ----------
    transport : Transport
        The sending half.
    settings : PeerSettings
        Seeds and periods.
    address : str
        Own address, which is not taken for a seed.
    """

    def __init__(self, transport, *, settings, address):
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
        self.watch = WatchList()

    # Periodic work

    def tick(self):
        """Do the work of one heartbeat period."""
        now = self._transport.now()
        paused_s = self._pause_before(now)
        liveness.shift_times(self.table, paused_s)
        silence_s = 2 * self._settings.heartbeat_s + SILENCE_MARGIN_S
        self._transport.maintain(silence_s=silence_s, paused_s=paused_s)
        if paused_s > self._settings.forget_after_s:
            self.learn_own_death("own pause")
        if self.has_left:
            return
        self._ticks += 1
        self._note_unreached()
        if self.declared_dead_by is None:
            self._judge(now)
        if membership.forget(self.table, now, self._settings):
            self.watch.is_stale = True
        watched = choose_watched(self.watch, self.table, now, self._settings)
        liveness.watch_only(self.table, watched, now)
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
            if liveness.state_of(table, r, now, settings) is MemberState.ALIVE
        ]

    def _judge(self, now):
        settings = self._settings
        for record in self._watched():
            if not liveness.is_silent(record, now, after_s=settings.dead_after_s):
                continue
            if record.failure_domain != self.table.failure_domain:
                note_failed(self.watch, record.incarnation, now)
            elif liveness.vote_is_dead(self.table, record, now, settings):
                membership.mark_dead(self.table, record, now)
                self._counters["members_declared_dead"] += 1
                self.note_change(record)
            elif record.asked_s is None or now - record.asked_s > 2 * settings.heartbeat_s:
                self._ask_others(record, now)

    def _ask_others(self, record, now):
        record.asked_s = now
        record.confirmed_by.clear()
        record.denied_by.clear()
        for other in self._reached(now):
            self._transport.send(other.incarnation, SilenceQuestion(record.incarnation))

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
            self._transport.send_to_seed(address, Hello(self.heartbeat(chosen=False, parts={})))
        for address in set(self._transport.seed_links).difference(unknown):
            self._transport.close_seed_link(address)

    def _tell_watched(self, now):
        watched = self._watched()
        self._sequence += 1
        parts = self._produce_parts()
        encode = self._transport.types.encode
        link_body = encode(self.heartbeat(chosen=True, parts=parts))
        plain_body = encode(self.heartbeat(chosen=False, parts=parts))
        changed, self._changed = list(self._changed.values()), {}
        change_body = encode(entries_of(changed, now)) if changed else None
        for record in watched:
            is_link = record.incarnation in self.watch.links
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

    def heartbeat(self, *, chosen, parts):
        """Return the present heartbeat."""
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

    def note_change(self, record):
        """Tell the watched members of a changed record with the next heartbeat."""
        self._changed[record.incarnation] = record
        self.watch.is_stale = True

    def learn_own_death(self, sender):
        """Note that `sender` has this process as dead."""
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
            self.note_change(record)
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
            if liveness.state_of(self.table, r, now, self._settings) is MemberState.ALIVE
        ]
        for incarnation in told:
            self._transport.send(incarnation, Entries([entry]))
        return told
