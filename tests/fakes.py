"""Small fakes at the interfaces between packages."""

from burdocklug.kernel import TimerService
from burdocklug.peers import Member, MemberState, PeerOutcomeUnknown, PeerUnreachable

__all__ = ["FakeClock", "FakeHub", "FakePeers"]


class FakeClock:
    """Seconds that only `advance` moves, and a timer service on them."""

    def __init__(self):
        self.seconds = 0.0
        self.timers = TimerService(now=self)

    def __call__(self):
        return self.seconds

    def advance(self, seconds, *, step=0.01):
        """Move the time on in steps and run what is due at each."""
        until = self.seconds + seconds
        while self.seconds < until:
            self.seconds = min(until, self.seconds + step)
            self.timers.run_due()


class FakeHub:
    """Connects `FakePeers`; links can be cut or lose answers.

    ``cut`` holds pairs (from, to) that nothing passes, ``lose_replies`` pairs whose answers are
    lost after the handler has run, ``dead`` incarnations that refuse connections.
    """

    def __init__(self):
        self.nodes = {}
        self.cut = set()
        self.lose_replies = set()
        self.dead = set()
        self.messages = 0

    def deliver(self, sender, target, message):
        """Run the target's handler and return its reply."""
        if target in self.dead or target not in self.nodes:
            raise PeerUnreachable(target, "refuses connections")
        if (sender, target) in self.cut:
            raise PeerOutcomeUnknown(target, 0.0)
        self.messages += 1
        reply = self.nodes[target].handlers[type(message)](sender, message)
        if (sender, target) in self.lose_replies:
            raise PeerOutcomeUnknown(target, 0.0)
        self.messages += 1
        return reply


class FakePeers:
    """One node's `PeerNetwork` on a `FakeHub`."""

    def __init__(self, hub, incarnation, failure_domain="north"):
        self.hub = hub
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.draining = False
        self.handlers = {}
        self.successors = {}
        self.left = []
        hub.nodes[incarnation] = self

    def register(self, message_type, handler=None, *, inline=False):
        self.handlers[message_type] = handler

    def call(self, incarnation, message, *, timeout_s):
        return self.hub.deliver(self.incarnation, incarnation, message)

    def send(self, incarnation, message):
        try:
            self.hub.deliver(self.incarnation, incarnation, message)
        except (PeerUnreachable, PeerOutcomeUnknown):
            return

    def members(self):
        return [
            Member(
                node.incarnation,
                node.incarnation,
                node.incarnation,
                node.failure_domain,
                MemberState.DEAD if node.incarnation in self.hub.dead else MemberState.ALIVE,
                draining=node.draining,
            )
            for node in self.hub.nodes.values()
            if node is not self
        ]

    def successor_of(self, incarnation):
        found = self.successors.get(incarnation)
        while found in self.successors:
            found = self.successors[found]
        return found

    def leave(self, successor):
        self.left.append(successor)
        for node in self.hub.nodes.values():
            if successor is not None:
                node.successors[self.incarnation] = successor

    def add_heartbeat_part(self, name, produce, consume):
        return
