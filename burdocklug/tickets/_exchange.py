"""Anti-entropy of the configuration between peers: digests on heartbeats, fetches and pushes."""

from dataclasses import dataclass

import msgspec
import structlog

from burdocklug.kernel import BurdocklugError
from burdocklug.tickets._codec import value_digest
from burdocklug.tickets._decisions import push_targets
from burdocklug.tickets._delta import (
    apply_delta,
    changes_since,
    decode_delta,
    encode_delta,
    known_versions,
    newer_than,
)
from burdocklug.tickets._messages import (
    HeartbeatPart,
    TicketDelta,
    TicketFetch,
    TicketProbe,
    TicketProbeReply,
    TicketPush,
)

__all__ = ["ExchangeCounters", "PeerExchange", "answer_probe"]

FETCH_TIMEOUT_S = 1.5
MAX_MERGED_DIGESTS = 256  # digests of already merged values, which need no fetch

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class ExchangeCounters:
    """Pushes and fetches since the process started."""

    pushes_sent: int = 0
    pushes_adopted: int = 0
    fetches: int = 0
    fetches_failed: int = 0


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Contents of a peer's last heartbeat; times in seconds of this process's clock."""

    part: HeartbeatPart
    received_s: float

    @property
    def contact_s(self):
        """Time of the peer's last answer from the store, or None."""
        age_s = self.part.contact_age_s
        return None if age_s is None else self.received_s - age_s


class PeerExchange:
    """Merges the configuration of every reachable peer into that of this process.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force in this process.
    network : PeerNetwork
        Sends calls and heartbeats to peers.
    timers : TimerService
        Source of time.
    failure_domain : str
        Failure domain of this process.
    loop : Loop
        Runs the fetches concurrently.
    own_contact_s : callable
        Returns the time of this process's last answer from the store, or None.

    Notes
    -----
    A pushed change is merged only if the merged value has the digest that the sender reports.
    Otherwise other changes are missing here, and merging one object of an older ticket without
    its other objects would put half of that ticket in force; a fetch then transfers everything
    that is missing at once.
    """

    def __init__(self, configuration, network, timers, *, failure_domain, loop, own_contact_s):
        self.counters = ExchangeCounters()
        self.reports = {}
        self._cfg = configuration
        self._network = network
        self._timers = timers
        self._failure_domain = failure_domain
        self._loop = loop
        self._own_contact_s = own_contact_s
        self._merged_digests = {configuration.digest: True}
        self._fetching = set()

    def start(self):
        """Register the message handlers and the heartbeat part with the network."""
        self._network.register(TicketDelta)
        self._network.register(TicketProbeReply)
        self._network.register(TicketPush, self._on_push)
        self._network.register(TicketFetch, self._on_fetch)
        self._network.register(TicketProbe, self._on_probe)
        self._network.add_heartbeat_part(
            "tickets", self._make_heartbeat_part, self._on_heartbeat_part
        )

    def adopt(self, value):
        """Join a value into the configuration and return the value that was in force before."""
        before = self._cfg.value
        self._cfg.merge(value)
        self._add_merged_digest(self._cfg.digest)
        return before

    def push(self, before, *, cross_domain):
        """Push the changes since `before` to peers; send nothing if there are none.

        Parameters
        ----------
        before : ConfigValue
            The value in force before the change.
        cross_domain : bool
            Whether to push to other failure domains too.
        """
        value = self._cfg.value
        if value.objects == before.objects and value.floor == before.floor:
            return
        message = TicketPush(self._cfg.digest, encode_delta(changes_since(value, before)))
        targets = push_targets(
            self._failure_domain, self._network.members(), cross_domain=cross_domain
        )
        for incarnation in targets:
            self.counters.pushes_sent += 1
            self._network.send(incarnation, message)

    def contacts_s(self, members):
        """Yield the time of the last store answer, or None, of each member that has reported it."""
        for member in members:
            report = self.reports.get(member.incarnation)
            if report is not None:
                yield report.contact_s

    def _add_merged_digest(self, digest):
        self._merged_digests.pop(digest, None)
        self._merged_digests[digest] = True
        while len(self._merged_digests) > MAX_MERGED_DIGESTS:
            del self._merged_digests[next(iter(self._merged_digests))]

    def _make_heartbeat_part(self):
        contact_s = self._own_contact_s()
        age_s = None if contact_s is None else round(self._timers.now() - contact_s, 1)
        return HeartbeatPart(self._cfg.digest, self._cfg.value.highest_number(), age_s)

    def _on_heartbeat_part(self, member, value):
        try:
            part = msgspec.convert(value, HeartbeatPart)
        except msgspec.ValidationError as exc:
            log.warning("heartbeat_part_invalid", peer=member.incarnation, fault=str(exc))
            return
        if member.incarnation not in self.reports:
            self._drop_unknown_reports()
        self.reports[member.incarnation] = PeerReport(part, self._timers.now())
        self._fetch_if_unknown(member.incarnation, part.digest)

    def _drop_unknown_reports(self):
        known = {member.incarnation for member in self._network.members()}
        for incarnation in self.reports.keys() - known:
            del self.reports[incarnation]

    def _fetch_if_unknown(self, incarnation, digest):
        if digest not in self._merged_digests and digest not in self._fetching:
            self._fetching.add(digest)
            self._loop.spawn(self._fetch, incarnation, digest)

    def _fetch(self, incarnation, digest):
        self.counters.fetches += 1
        before = self._cfg.value
        message = TicketFetch(known_versions(before))
        try:
            reply = self._network.call(incarnation, message, timeout_s=FETCH_TIMEOUT_S)
            unchanged = self._cfg.value is before
            self.adopt(apply_delta(self._cfg.value, decode_delta(reply.delta)))
            if unchanged:
                self._add_merged_digest(reply.digest)
        except BurdocklugError as exc:
            self.counters.fetches_failed += 1
            log.info("ticket_fetch_failed", peer=incarnation, fault=exc.message)
        finally:
            self._fetching.discard(digest)

    def _on_fetch(self, _sender, message):
        delta = newer_than(self._cfg.value, message.known)
        return TicketDelta(self._cfg.digest, encode_delta(delta))

    def _on_push(self, sender, message):
        if message.digest in self._merged_digests:
            return
        joined = apply_delta(self._cfg.value, decode_delta(message.delta))
        if value_digest(joined) != message.digest:
            self._fetch_if_unknown(sender, message.digest)
            return
        self.counters.pushes_adopted += 1
        before = self.adopt(joined)
        if sender not in self._domain_incarnations():
            self.push(before, cross_domain=False)

    def _domain_incarnations(self):
        members = self._network.members()
        return {m.incarnation for m in members if m.failure_domain == self._failure_domain}

    def _on_probe(self, _sender, message):
        return answer_probe(self._cfg, message)


def answer_probe(configuration, message):
    """Return the reply to a `TicketProbe` from the configuration of this process.

    Notes
    -----
    If the probe names no object, `in_force` is false and the requester compares digests instead.
    """
    value = configuration.value
    numbers = message.numbers.items()
    in_force = bool(numbers) and all(value.number_of(name) >= n for name, n in numbers)
    return TicketProbeReply(in_force, configuration.digest, value.highest_number())
