"""Periodic membership work of one process, and its own status in the fleet."""

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
    make_digest,
    make_entries,
)
from burdocklug.peers._incarnation import address_of
from burdocklug.peers._member import MemberState
from burdocklug.peers._membership import MemberTable, Status
from burdocklug.peers._seeds import due_seeds
from burdocklug.peers._watch import WatchList, choose_watched, mark_link_failed

__all__ = ["MembershipService"]

LINK_SILENCE_MARGIN_S = 0.25  # added to two heartbeat periods before a link counts as silent
DIGEST_PERIODS = 2  # heartbeat periods between two digests

log = structlog.get_logger(__name__)


class MembershipService:
    """The membership state and periodic work of one process.

    Parameters
    ----------
    transport : Transport
        Sends the messages.
    settings : PeerSettings
        Seeds, heartbeat period and timeouts.
    address : str
        Address of this process; it is skipped among the seeds.

    Attributes
    ----------
    parts : dict
        Pairs of functions that produce and consume a value carried on heartbeats, by its name.
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
        self._last_tick_s = None
        self._changed = {}
        self.watch = WatchList()

    def tick(self):
        """Run the work of one heartbeat period: detect failures, choose links, send heartbeats."""
        now = self._transport.now()
        paused_s = self._measure_pause(now)
        liveness.shift_times(self.table, paused_s)
        silence_s = 2 * self._settings.heartbeat_s + LINK_SILENCE_MARGIN_S
        self._transport.maintain(silence_s=silence_s, paused_s=paused_s)
        if paused_s > self._settings.forget_after_s:
            self.mark_self_dead("own pause")
        if self.has_left:
            return
        self._ticks += 1
        self._update_unreachable()
        if self.declared_dead_by is None:
            self._check_silent_members(now)
        if membership.forget(self.table, now, self._settings):
            self.watch.is_stale = True
        watched = choose_watched(self.watch, self.table, now, self._settings)
        liveness.set_watched(self.table, watched, now)
        self._contact_seeds(now)
        self._send_heartbeats(now)

    def _measure_pause(self, now):
        last_s, self._last_tick_s = self._last_tick_s, now
        if last_s is None:
            return 0.0
        delay_s = now - last_s - self._settings.heartbeat_s
        return delay_s if delay_s > self._settings.heartbeat_s else 0.0

    def _update_unreachable(self):
        for record in self._watched_records():
            channel = self._transport.channels.get(record.incarnation)
            record.unreachable_since_s = channel.link.unreachable_since_s if channel else None

    def _watched_records(self):
        return [r for r in self.table.records.values() if r.watched_s is not None]

    def _reachable_records(self, now):
        table, settings = self.table, self._settings
        return [
            r
            for r in self._watched_records()
            if liveness.state_of(table, r, now, settings) is MemberState.ALIVE
        ]

    def _check_silent_members(self, now):
        settings = self._settings
        for record in self._watched_records():
            if not liveness.is_silent(record, now, after_s=settings.dead_after_s):
                continue
            if record.failure_domain != self.table.failure_domain:
                mark_link_failed(self.watch, record.incarnation, now)
            elif liveness.is_voted_dead(self.table, record, now, settings):
                membership.mark_dead(self.table, record, now)
                self._counters["members_declared_dead"] += 1
                self.queue_change(record)
            elif (
                record.vote_requested_s is None
                or now - record.vote_requested_s > 2 * settings.heartbeat_s
            ):
                self._request_votes(record, now)

    def _request_votes(self, record, now):
        record.vote_requested_s = now
        record.confirming_voters.clear()
        record.denying_voters.clear()
        for other in self._reachable_records(now):
            self._transport.send(other.incarnation, SilenceQuestion(record.incarnation))

    def _contact_seeds(self, now):
        known = {
            address_of(r.incarnation)
            for r in self.table.records.values()
            if r.status is Status.ALIVE
        }
        addresses = dict.fromkeys((*self._settings.seeds, *self.table.expired_addresses))
        unknown = [a for a in addresses if a not in known and a != self._address]
        due = due_seeds(
            self._seed_retries,
            unknown,
            now,
            first_delay_s=self._settings.heartbeat_s,
            jitter=self._random.random,
        )
        for address in due:
            self._transport.send_to_seed(
                address, Hello(self.heartbeat(requests_link=False, parts={}))
            )
        for address in set(self._transport.seed_links).difference(unknown):
            self._transport.close_seed_link(address)

    def _send_heartbeats(self, now):
        watched = self._watched_records()
        self._sequence += 1
        parts = self._build_parts()
        encode = self._transport.types.encode
        linked_body = encode(self.heartbeat(requests_link=True, parts=parts))
        unlinked_body = encode(self.heartbeat(requests_link=False, parts=parts))
        changed, self._changed = list(self._changed.values()), {}
        entries_body = encode(make_entries(changed, now)) if changed else None
        for record in watched:
            is_link = record.incarnation in self.watch.links
            body = linked_body if is_link else unlinked_body
            self._transport.send_heartbeat(record.incarnation, body)
            if entries_body is not None:
                self._transport.send_body(record.incarnation, entries_body)
        if self._ticks % DIGEST_PERIODS == 0:
            self._send_digest(now)

    def _send_digest(self, now):
        reachable = self._reachable_records(now)
        if reachable:
            record = reachable[self._ticks // DIGEST_PERIODS % len(reachable)]
            digest = make_digest(self.table, now, self._settings)
            self._transport.send(record.incarnation, digest)

    def heartbeat(self, *, requests_link, parts):
        """Return a heartbeat with the current sequence number."""
        return Heartbeat(self._sequence, requests_link, self.draining, parts)

    def _build_parts(self):
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

    def queue_change(self, record):
        """Queue a changed record to be sent to the watched members at the next heartbeat."""
        self._changed[record.incarnation] = record
        self.watch.is_stale = True

    def mark_self_dead(self, sender):
        """Record that `sender` reports this process as dead, and call `on_declared_dead`."""
        if self.declared_dead_by is not None or self.has_left:
            return
        self.declared_dead_by = sender
        log.warning("own_incarnation_declared_dead", by=sender)
        if self.on_declared_dead is not None:
            self.on_declared_dead(sender)

    def mark_replaced(self, old, new):
        """Mark `old` as dead after `new` has answered at its address."""
        record = self.table.records.get(old)
        now = self._transport.now()
        if record is not None and membership.mark_dead(self.table, record, now, replaced=True):
            self.queue_change(record)
            log.info("member_replaced", old=old, new=new)

    def announce_leave(self, successor):
        """Announce to all reachable members that this process leaves; return their incarnations."""
        self.has_left = True
        own = self._transport.identity
        entry = Entry(own.incarnation, own.name, own.failure_domain, Status.LEFT, successor, 0.0)
        now = self._transport.now()
        recipients = [
            r.incarnation
            for r in self.table.records.values()
            if liveness.state_of(self.table, r, now, self._settings) is MemberState.ALIVE
        ]
        for incarnation in recipients:
            self._transport.send(incarnation, Entries([entry]))
        return recipients
