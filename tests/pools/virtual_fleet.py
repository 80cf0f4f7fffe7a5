"""Processes of a pool in virtual time, with network partitions that tests set."""

import eventlet

from burdocklug.kernel import TimerService
from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools.agents import HolderState
from burdocklug.pools.election._following import SchedulerElection

__all__ = ["VirtualFleet"]

STEP_S = 0.05


class Node:
    """One process: a fake network, and the election under test."""

    def __init__(self, fleet, number, domain):
        self.fleet = fleet
        self.failure_domain = domain
        self.incarnation = f"10.0.0.{number}:7000~{number:016x}0123abcd"
        self.frozen = False
        self.ended = False
        self.refused = None
        self.refusals = 0
        self.changes = []
        self.usable_cores = 1.0
        self.overloaded_until_s = 0.0
        self._handlers = {}
        self.election = SchedulerElection(
            self,
            fleet.timers,
            members=self.members,
            unreachable_domains=self.unreachable_domains,
            endpoint_domains=lambda: {n.failure_domain for n in fleet.nodes.values()},
            sample_holders=self.sample_holders,
            on_change=self.changes.append,
            version=lambda: 1,
            is_version_current=lambda: True,
            usable_cores=lambda: self.usable_cores,
            loop_lag_s=lambda: 0.0,
        )
        self.election.ready = True
        self.election.start()

    def members(self):
        nodes = self.fleet.nodes.values()
        known = {n.incarnation: n.failure_domain for n in nodes if n is not self}
        return {**self.fleet.malformed_members, **known}

    def unreachable_domains(self, domains):
        own = self.failure_domain
        return {d for d in domains if d != own and self.fleet.is_domain_cut(own, d)}

    def sample_holders(self, is_wanted, _on_free):
        """Return which failure domains have a live scheduler, as its endpoints would show."""
        domains = {n.failure_domain for n in self.fleet.nodes.values()}
        own = self.failure_domain
        return {
            domain: (
                HolderState.UNREACHED
                if self.fleet.is_domain_cut(own, domain)
                else HolderState.HELD if self._is_held(domain) else HolderState.FREE
            )
            for domain in domains
            if is_wanted(domain)
        }

    def _is_held(self, domain):
        return any(
            node.election.is_scheduler
            and node.election.claim.serves(domain)
            and not self.fleet.is_domain_cut(node.failure_domain, domain)
            for node in self.fleet.nodes.values()
            if node is not self and not node.ended and not node.frozen
        )

    # Network interface that `SchedulerElection` uses

    def register(self, message_type, handler=None, *, inline=False):
        self._handlers[message_type] = handler

    def on_connection_refused(self, callback):
        self.refused = callback

    def send(self, incarnation, message):
        self._check(incarnation)
        node = self.fleet.nodes[incarnation]
        if node.ended:
            self.refusals += 1
            if self.refusals > 1:
                self.refused(incarnation)
            return
        if self.fleet.is_linked(self, node):
            node._handlers[type(message)](self.incarnation, message)

    def _check(self, incarnation):
        if incarnation in self.fleet.malformed_members:
            raise PeerUnreachable(incarnation, "malformed incarnation id")

    def call(self, incarnation, message, *, timeout_s):
        self._check(incarnation)
        node = self.fleet.nodes[incarnation]
        if node.ended:
            raise PeerUnreachable(incarnation, "connection refused")
        if not self.fleet.is_linked(self, node):
            raise PeerOutcomeUnknown(incarnation, "cut")
        return node._handlers[type(message)](self.incarnation, message)


class VirtualFleet:
    """Nodes by incarnation, and the partitions between them.

    `cut_off_domains` holds failure domains cut off from all others, `isolated` holds single nodes,
    `cut_pairs` holds sets of two nodes that do not reach each other.
    """

    def __init__(self, domains):
        self.now_s = 100.0
        self.timers = TimerService(now=lambda: self.now_s)
        self.cut_off_domains = set()
        self.isolated = set()
        self.cut_pairs = []
        self.malformed_members = {}
        self.nodes = {}
        for number, domain in enumerate(domains, 1):
            node = Node(self, number, domain)
            self.nodes[node.incarnation] = node

    def __getitem__(self, number):
        return list(self.nodes.values())[number]

    def is_domain_cut(self, one, other):
        return one != other and (one in self.cut_off_domains or other in self.cut_off_domains)

    def is_linked(self, one, other):
        if (
            one.ended
            or one.frozen
            or other.frozen
            or one in self.isolated
            or other in self.isolated
            or {one, other} in self.cut_pairs
        ):
            return False
        return not self.is_domain_cut(one.failure_domain, other.failure_domain)

    def run(self, seconds):
        """Advance the time in steps and run the timers that become due."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self.timers.run_due()
            for _ in range(4):
                eventlet.sleep(0)

    def schedulers(self):
        """Return the numbers of the nodes that are schedulers."""
        return [n for n, node in enumerate(self.nodes.values()) if node.election.is_scheduler]

    def followed(self):
        """Return the number of the scheduler that each node follows, or None."""
        numbers = {incarnation: n for n, incarnation in enumerate(self.nodes)}
        claims = [node.election.claim for node in self.nodes.values()]
        return [None if claim is None else numbers[claim.scheduler] for claim in claims]
