"""Peer network of a process: messages to its peers, and fleet membership."""

import time

import eventlet

from burdocklug.peers import _liveness as liveness
from burdocklug.peers import _membership as membership
from burdocklug.peers._dump import dump_network
from burdocklug.peers._errors import PeerUnreachable
from burdocklug.peers._incarnation import mint_incarnation
from burdocklug.peers._membership_handlers import MembershipHandlers
from burdocklug.peers._membership_service import MembershipService
from burdocklug.peers._receiver import Receiver
from burdocklug.peers._transport import Identity, Transport

__all__ = ["PeerNetwork"]

LEAVE_POLL_S = 0.02
# Counts of link traffic reported as `<name>_sent`; the others are reported as `links_<name>`.
SENT_COUNTS = frozenset({"frames", "items", "bytes"})


def delay_to_tick(wall_s, period_s):
    """Return the seconds until the next heartbeat.

    Heartbeats are sent when the wall clock is at a multiple of the period. With synchronized
    clocks, those of all peers arrive together, and one wake-up of the process handles them all.

    Examples
    --------
    >>> delay_to_tick(100.1, 0.5), delay_to_tick(100.45, 0.5)
    (0.4, 0.55)
    """
    remaining_s = period_s - wall_s % period_s
    if remaining_s < period_s / 4:
        remaining_s += period_s
    return round(remaining_s, 6)


class PeerNetwork:
    """Exchanges messages with peers and keeps track of the members of the fleet.

    Parameters
    ----------
    name, failure_domain : str
        Name and failure domain of this process.
    address : str
        IP number and port at which peers reach this process.
    settings : PeerSettings
        Shared key, seed addresses and periods.
    timers : TimerService
        Clock and timers; heartbeats are sent only while its `serve` runs.
    listen_address : str, optional
        IP number and port to listen on, if different from `address`.
    wall_now : callable, optional
        Returns seconds since the epoch; used only to align heartbeats.

    Attributes
    ----------
    incarnation : str
        Incarnation id of this run of the process.
    """

    def __init__(
        self,
        name,
        failure_domain,
        address,
        settings,
        timers,
        *,
        listen_address=None,
        wall_now=time.time,
    ):
        self.name = name
        self.failure_domain = failure_domain
        self.address = address
        self.settings = settings
        self.incarnation = mint_incarnation(address)
        self._listen_address = listen_address or address
        self._timers = timers
        self._wall_now = wall_now
        self._subscription = None
        self._transport = Transport(
            Identity(self.incarnation, name, failure_domain),
            shared_key=settings.shared_key,
            now=timers.now,
            after=timers.after,
        )
        self._membership = MembershipService(self._transport, settings=settings, address=address)
        self._receiver = Receiver(self._transport, on_replaced=self._membership.mark_replaced)
        handlers = MembershipHandlers(
            self._membership,
            self._transport,
            settings=settings,
            register=lambda kind, handler: self.register(kind, handler, inline=True),
        )
        self._receiver.on_misdirected_sender = handlers.on_misdirected_sender

    def start(self):
        """Start to listen and to send heartbeats."""
        self._receiver.listen(self._listen_address)
        self._tick()

    def _tick(self):
        delay_s = delay_to_tick(self._wall_now(), self.settings.heartbeat_s)
        self._subscription = self._timers.after(delay_s, self._tick)
        self._membership.tick()

    def stop(self):
        """Cancel the heartbeat timer, close every socket and fail the pending calls."""
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None
        self._receiver.close()
        self._transport.close()

    def register(self, message_type, handler=None, *, inline=False):
        """Register a message type, and a handler of its messages if there is one.

        Parameters
        ----------
        message_type : type
            A msgspec Struct with a tag.
        handler : callable, optional
            Takes the sender's incarnation and the message; returns the reply or None. Types that
            are only used as replies need no handler.
        inline : bool
            Whether to run the handler in the reading greenlet, where it must not block.
        """
        self._transport.types.add(message_type)
        if handler is not None:
            self._receiver.register(message_type, handler, inline=inline)

    def call(self, incarnation, message, *, timeout_s):
        """Send a message and wait for its reply.

        Parameters
        ----------
        incarnation : str
            The incarnation to call; it may be marked dead in the member table.
        message : msgspec.Struct
            Message of a registered type.
        timeout_s : float
            Seconds to wait for the reply.

        Returns
        -------
        msgspec.Struct or None
            Reply that the handler returned.

        Raises
        ------
        PeerUnreachable
            If the message was certainly not delivered to that incarnation.
        PeerOutcomeUnknown
            If it may have been delivered, but its outcome is unknown.
        """
        if incarnation == self.incarnation:
            return self._handle_locally(message)
        record = self._membership.table.records.get(incarnation)
        if record is not None and record.replaced:
            raise PeerUnreachable(incarnation, "replaced by another incarnation")
        return self._transport.call(incarnation, message, timeout_s=timeout_s)

    def _handle_locally(self, message):
        handler = self._receiver.handler_of(type(message))
        if handler is None:
            raise PeerUnreachable(self.incarnation, f"no handler for {type(message).__name__}")
        return handler.handle(self.incarnation, message)

    def send(self, incarnation, message):
        """Send a one-way message without a guarantee of delivery.

        Messages sent to a peer in the same iteration of the event loop share a frame.
        """
        if incarnation == self.incarnation:
            eventlet.spawn_n(self._handle_locally, message)
        else:
            self._transport.send(incarnation, message)

    def members(self):
        """Return a list of the known members other than this process."""
        table, now = self._membership.table, self._timers.now()
        domains = liveness.reached_domains(table, now, self.settings)
        return [
            liveness.make_member(table, record, now, self.settings, domains=domains)
            for record in table.records.values()
        ]

    def member(self, incarnation):
        """Return the member with an incarnation id, or None if it is unknown."""
        table = self._membership.table
        record = table.records.get(incarnation)
        if record is None:
            return None
        return liveness.make_member(table, record, self._timers.now(), self.settings)

    def successor_of(self, incarnation):
        """Return the incarnation that took over the state of one that left, or None.

        The chain of successors is followed to its end.
        """
        return membership.successor_of(self._membership.table, incarnation)

    def add_heartbeat_part(self, name, produce, consume):
        """Add a named value to every heartbeat of this process.

        Parameters
        ----------
        name : str
            Key of the value in the heartbeat.
        produce : callable
            Returns a value that msgspec can encode, or None to leave it out.
        consume : callable
            Takes a `Member` and the value from its heartbeat, as plain data. Must not block.
        """
        self._membership.parts[name] = (produce, consume)

    @property
    def draining(self):
        """Whether heartbeats announce that this process takes no new work."""
        return self._membership.draining

    @draining.setter
    def draining(self, draining):
        self._membership.draining = draining

    @property
    def declared_dead_by(self):
        """The peer that reported this process as declared dead, or None."""
        return self._membership.declared_dead_by

    def on_declared_dead(self, callback):
        """Set the function to call when a peer reports this process as declared dead.

        It takes the peer's incarnation and must not block. Peers never take this incarnation for
        alive again; the process should drain, hand over its state and restart. Calls from and to
        it work until it stops.
        """
        self._membership.on_declared_dead = callback

    def on_connection_refused(self, callback):
        """Set the function to call when a peer refuses connections.

        It takes the peer's incarnation and must not block. It is called from the second refused
        connection in a row on, when nothing seems to listen at the peer's address.
        """
        self._transport.on_connection_refused = callback

    def leave(self, successor=None, *, timeout_s=2.0):
        """Announce to the alive members that this process leaves the fleet.

        Parameters
        ----------
        successor : str, optional
            The incarnation that took over the state of this process.
        timeout_s : float
            Seconds to wait for acknowledgements.

        Returns
        -------
        list of str
            Incarnations of the members that did not acknowledge in time.
        """
        notified = self._membership.announce_leave(successor)
        until_s = self._timers.now() + timeout_s
        while True:
            channels = (self._transport.channels[incarnation] for incarnation in notified)
            unacknowledged = [c.incarnation for c in channels if not c.link.is_acknowledged]
            if not unacknowledged or self._timers.now() >= until_s:
                return unacknowledged
            eventlet.sleep(LEAVE_POLL_S)

    def counts(self):
        """Return the counters of messages, frames and links by name."""
        counts = dict(self._transport.counters)
        for tag, count in self._transport.types.encoded.items():
            counts[f"messages_{tag}"] = count
        links = [channel.link for channel in self._transport.channels.values()]
        links.extend(self._transport.seed_links.values())
        for name in ("frames", "items", "bytes", "dials", "refused", "dropped"):
            counts[f"{name}_sent" if name in SENT_COUNTS else f"links_{name}"] = sum(
                getattr(link.traffic, name) for link in links
            )
        return counts

    def dump(self):
        """Return members, links and counters as plain data."""
        return dump_network(self, self._transport, self._membership)
