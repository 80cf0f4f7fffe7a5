"""The network of one process: messages to its peers and membership."""

import msgspec

from burdocklug.peers._incarnation import address_of, mint_incarnation
from burdocklug.peers._member import Member, MemberState
from burdocklug.peers._transport import Identity, Transport

__all__ = ["PeerNetwork"]

SILENCE_MARGIN_S = 0.25


class Heartbeat(msgspec.Struct, array_like=True, tag="heartbeat", frozen=True):
    """Sent to each peer once a heartbeat period."""

    sequence: int
    draining: bool
    parts: dict[str, msgspec.Raw]


class PeerNetwork:
    """Messages between this process and its peers, and the members of the fleet.

    Parameters
    ----------
    name, failure_domain : str
        Of this process.
    address : str
        IP number and port at which peers reach this process.
    settings : PeerSettings
        Key, seeds and periods.
    timers : TimerService
        Source of time; its `serve` must run for heartbeats to go out.
    listen_address : str, optional
        Where to listen, if it differs from `address`.
    """

    def __init__(self, name, failure_domain, address, settings, timers, *, listen_address=None):
        self.name = name
        self.failure_domain = failure_domain
        self.address = address
        self.settings = settings
        self.draining = False
        self.incarnation = mint_incarnation(address)
        self._listen_address = listen_address or address
        self._timers = timers
        self._sequence = 0
        self._parts = {}
        self._members = {}
        self._subscriptions = []
        self._transport = Transport(
            Identity(self.incarnation, name, failure_domain),
            shared_key=settings.shared_key,
            now=timers.now,
            after=timers.after,
            on_envelope=self._on_envelope,
            on_replaced=lambda old, _new: self._members.pop(old, None),
        )
        self._transport.register(Heartbeat, self._on_heartbeat, inline=True)

    def start(self):
        """Listen, and begin to send heartbeats."""
        self._transport.listen(self._listen_address)
        self._subscriptions.append(
            self._timers.every(self.settings.heartbeat_s, self._send_heartbeats)
        )
        self._send_heartbeats()

    def stop(self):
        """Close every socket and cancel every timer."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self._subscriptions.clear()
        self._transport.close()

    def register(self, message_type, handler=None, *, inline=False):
        """Handle messages of a type.

        Parameters
        ----------
        message_type : type
            A msgspec Struct with a tag.
        handler : callable, optional
            Takes the sender's incarnation and the message; returns the reply or None. Without
            one the type is only made known, as types of replies must be.
        inline : bool
            Run the handler in the reader, where it may not wait.
        """
        self._transport.register(message_type, handler, inline=inline)

    def call(self, incarnation, message, *, timeout_s):
        """Send a message and wait for its reply.

        Returns
        -------
        msgspec.Struct or None
            What the handler returned.

        Raises
        ------
        PeerNotReached
            If the message was certainly not delivered.
        PeerSilent
            If it may have been delivered.
        """
        return self._transport.call(incarnation, message, timeout_s=timeout_s)

    def send(self, incarnation, message):
        """Send a message one way; it may get lost."""
        self._transport.send(incarnation, message)

    def members(self):
        """Return a list of the known members, without this process."""
        return list(self._members.values())

    def member(self, incarnation):
        """Return a member, or None if it is not known."""
        return self._members.get(incarnation)

    def successor_of(self, incarnation):
        """Return the incarnation that took over from one that left, or None."""
        member = self._members.get(incarnation)
        return member.successor if member else None

    def add_heartbeat_part(self, name, produce, consume):
        """Add a value to every heartbeat.

        Parameters
        ----------
        name : str
            Key of the value.
        produce : callable
            Returns a value that msgspec encodes, or None for nothing.
        consume : callable
            Takes a member and the value from its heartbeat.
        """
        self._parts[name] = (produce, consume)

    def _on_envelope(self, envelope):
        if envelope.sender not in self._members:
            self._members[envelope.sender] = Member(
                envelope.sender,
                envelope.name,
                address_of(envelope.sender),
                envelope.failure_domain,
                MemberState.ALIVE,
            )

    def _send_heartbeats(self):
        self._sequence += 1
        parts = {}
        for name, (produce, _consume) in self._parts.items():
            value = produce()
            if value is not None:
                parts[name] = msgspec.Raw(msgspec.msgpack.encode(value))
        heartbeat = Heartbeat(self._sequence, self.draining, parts)
        for incarnation in self._members:
            self._transport.send(incarnation, heartbeat)
        known = {member.address for member in self._members.values()}
        for address in self.settings.seeds:
            if address not in known and address != self.address:
                self._transport.send_to_seed(address, heartbeat)

    def _on_heartbeat(self, sender, heartbeat):
        member = self._members.get(sender)
        for name, value in heartbeat.parts.items():
            if name in self._parts:
                self._parts[name][1](member, msgspec.msgpack.decode(value))

    def counts(self):
        """Return counters by name."""
        return dict(self._transport.counters)

    def dump(self):
        """Return the state as plain data."""
        return {
            "incarnation": self.incarnation,
            "members": [
                {"incarnation": m.incarnation, "state": str(m.state)} for m in self.members()
            ],
            "counters": self.counts(),
        }
