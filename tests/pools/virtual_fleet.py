"""Processes of a pool that exchange messages in virtual time, with cuts that tests set."""

import eventlet

from burdocklug.kernel import TimerService
from burdocklug.peers import PeerNotReached, PeerSilent
from burdocklug.pools._following import Following

__all__ = ["VirtualFleet"]

STEP_S = 0.05


class Node:
    """One process: its links, and the following under test."""

    def __init__(self, fleet, number, domain):
        self.fleet = fleet
        self.failure_domain = domain
        self.incarnation = f"10.0.0.{number}:7000~{number:016x}0123abcd"
        self.frozen = False
        self.ended = False
        self.refused = None
        self.refusals = 0
        self.changes = []
        self.power = 1.0
        self._handlers = {}
        self.following = Following(
            self,
            fleet.timers,
            members=self.members,
            cut_domains=self.cut_domains,
            on_change=self.changes.append,
            version=lambda: 1,
            power=lambda: self.power,
            late_s=lambda: 0.0,
        )
        self.following.ready = True
        self.following.start()

    def members(self):
        nodes = self.fleet.nodes.values()
        return {n.incarnation: n.failure_domain for n in nodes if n is not self}

    def cut_domains(self, domains):
        own = self.failure_domain
        return {d for d in domains if d != own and self.fleet.is_domain_cut(own, d)}

    # What `Following` needs of a network

    def register(self, message_type, handler=None, *, inline=False):
        self._handlers[message_type] = handler

    def on_refused(self, callback):
        self.refused = callback

    def send(self, incarnation, message):
        node = self.fleet.nodes[incarnation]
        if node.ended:
            self.refusals += 1
            if self.refusals > 1:
                self.refused(incarnation)
            return
        if self.fleet.is_linked(self, node):
            node._handlers[type(message)](self.incarnation, message)

    def call(self, incarnation, message, *, timeout_s):
        node = self.fleet.nodes[incarnation]
        if node.ended:
            raise PeerNotReached(incarnation, "connection refused")
        if not self.fleet.is_linked(self, node):
            raise PeerSilent(incarnation, "cut")
        return node._handlers[type(message)](self.incarnation, message)


class VirtualFleet:
    """Nodes by incarnation; `cuts` holds failure domains, `alone` nodes that are cut off."""

    def __init__(self, domains):
        self.now_s = 100.0
        self.timers = TimerService(now=lambda: self.now_s)
        self.cuts = set()
        self.alone = set()
        self.nodes = {}
        for number, domain in enumerate(domains, 1):
            node = Node(self, number, domain)
            self.nodes[node.incarnation] = node

    def __getitem__(self, number):
        return list(self.nodes.values())[number]

    def is_domain_cut(self, one, other):
        return one != other and (one in self.cuts or other in self.cuts)

    def is_linked(self, one, other):
        if one.ended or one.frozen or other.frozen or one in self.alone or other in self.alone:
            return False
        return not self.is_domain_cut(one.failure_domain, other.failure_domain)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self.timers.run_due()
            for _ in range(4):
                eventlet.sleep(0)

    def schedulers(self):
        """Return the numbers of the nodes that schedule."""
        return [n for n, node in enumerate(self.nodes.values()) if node.following.leads]

    def followed(self):
        """Return the number of the scheduler that each node follows, None for no one."""
        numbers = {incarnation: n for n, incarnation in enumerate(self.nodes)}
        claims = [node.following.claim for node in self.nodes.values()]
        return [None if claim is None else numbers[claim.scheduler] for claim in claims]
