"""Membership of a whole fleet in virtual time, without sockets."""

import collections
from types import SimpleNamespace

from burdocklug.kernel import PeerSettings, TimerService
from burdocklug.peers import _liveness as liveness
from burdocklug.peers import mint_incarnation
from burdocklug.peers._incarnation import address_of
from burdocklug.peers._membership_handlers import MembershipHandlers
from burdocklug.peers._membership_service import MembershipService
from burdocklug.peers._transport import Identity

__all__ = ["VirtualFleet"]

DELIVERY_DELAY_S = 0.001


class VirtualTransport:
    """The methods of a transport that membership uses; `fleet` delivers the messages."""

    def __init__(self, fleet, identity):
        self.fleet = fleet
        self.identity = identity
        self.now = fleet.timers.now
        self.counters = collections.Counter()
        self.types = SimpleNamespace(encode=lambda message: message)
        self.seed_links = {}
        self.channels = {}

    def channel(self, incarnation):
        if incarnation not in self.channels:
            link = SimpleNamespace(unreachable_since_s=None)
            self.channels[incarnation] = SimpleNamespace(link=link)
        return self.channels[incarnation]

    def send(self, incarnation, message):
        link = self.channel(incarnation).link
        if self.fleet.transmit(self, incarnation, message):
            link.unreachable_since_s = None
        elif link.unreachable_since_s is None:
            link.unreachable_since_s = self.now()

    send_body = send_heartbeat = send

    def send_to_seed(self, address, message):
        self.fleet.hellos += 1
        self.seed_links[address] = True
        self.fleet.transmit(self, self.fleet.incarnation_at(address), message)

    def close_seed_link(self, address):
        del self.seed_links[address]

    def maintain(self, *, silence_s, paused_s):
        return


class VirtualFleet:
    """Simulated processes; `cut_pairs` holds pairs of failure domains that cannot communicate."""

    def __init__(self, layout, **options):
        self.now_s = 0.0
        self.timers = TimerService(now=lambda: self.now_s)
        self.cut_pairs = set()
        self.hellos = 0
        self.processes = {}
        names = [(domain, n) for domain, count in layout.items() for n in range(count)]
        addresses = [f"127.0.0.1:{7000 + i}" for i in range(len(names))]
        self.settings = PeerSettings(shared_key="0123456789abcdef", seeds=addresses, **options)
        for (domain, number), address in zip(names, addresses, strict=True):
            self._add(f"{domain}-{number}", domain, address)

    def _add(self, name, domain, address):
        incarnation = mint_incarnation(address, start_ns=len(self.processes))
        transport = VirtualTransport(self, Identity(incarnation, name, domain))
        service = MembershipService(transport, settings=self.settings, address=address)
        handlers = {}
        MembershipHandlers(
            service, transport, settings=self.settings, register=handlers.__setitem__
        )
        self.processes[incarnation] = SimpleNamespace(
            transport=transport, service=service, handlers=handlers, domain=domain
        )
        self.timers.every(self.settings.heartbeat_s, service.tick)

    def incarnation_at(self, address):
        return next(i for i in self.processes if address_of(i) == address)

    def transmit(self, transport, incarnation, message):
        """Deliver a message after a delay; return False if the failure domains are cut off."""
        sender, target = transport.identity, self.processes[incarnation]
        if frozenset((sender.failure_domain, target.domain)) in self.cut_pairs:
            return False

        def deliver():
            channel = target.transport.channel(sender.incarnation)
            channel.name, channel.failure_domain = sender.name, sender.failure_domain
            target.handlers[type(message)](sender.incarnation, message)

        self.timers.after(DELIVERY_DELAY_S, deliver)
        return True

    def run(self, seconds):
        end_s = self.now_s + seconds
        while (due_s := self.timers.next_due_s()) <= end_s:
            self.now_s = due_s
            self.timers.run_due()
        self.now_s = end_s

    def states(self):
        """Count member states as seen by each process, by pair of failure domains."""
        found = collections.defaultdict(collections.Counter)
        for process in self.processes.values():
            table = process.service.table
            for incarnation, other in self.processes.items():
                if other is process:
                    continue
                record = table.records.get(incarnation)
                state = "unknown"
                if record is not None:
                    state = str(liveness.state_of(table, record, self.now_s, self.settings))
                found[process.domain, other.domain][state] += 1
        return found
