"""Spread of accepted tickets: from the store into every process, and from peer to peer.

Each failure domain has one process that watches the store, the lowest live incarnation in the
view of each process. The others rely on its heartbeats; when no process of the failure domain
had an answer from the store for a while, they poll with jitter. Peers compare digests on every
heartbeat and fetch what is newer, so a failure domain without the store learns through others.

Whatever is read is joined, never copied: a stale answer of the store, or a store that lost
accepted writes, lowers nothing here. A process that knows more than the store writes nothing by
itself. A store that lost writes is healed by the next ticket of an operator, see
`burdocklug.tickets.TicketService`.
"""

import random

import structlog

from burdocklug.peers import choose_reader
from burdocklug.tickets._codec import ValueUnreadable, decode_value
from burdocklug.tickets._decisions import Role, is_fresh, live_members
from burdocklug.tickets._exchange import PeerExchange
from burdocklug.tickets._follow import StoreFollower
from burdocklug.tickets._loop import eventlet_loop

__all__ = ["TicketSpread"]

log = structlog.get_logger(__name__)


class TicketSpread:
    """Keeps the configuration of this process up with the store and the peers.

    Parameters
    ----------
    configuration : Configuration
        What is in force here.
    store : Store
        The platform's store.
    network : PeerNetwork
        Calls and heartbeats between peers.
    timers : TimerService
        Source of time.
    failure_domain : str
        That of this process.
    loop : Loop, optional
        The eventlet loop by default.
    rng : random.Random, optional
        Source of jitter.
    """

    def __init__(
        self, configuration, store, network, timers, *, failure_domain, loop=None, rng=None
    ):
        loop = loop or eventlet_loop()
        self.configuration = configuration
        self.failure_domain = failure_domain
        self._network = network
        self._timers = timers
        self.exchange = PeerExchange(
            configuration,
            network,
            timers,
            failure_domain=failure_domain,
            loop=loop,
            own_contact_s=self._own_contact_s,
        )
        self.follower = StoreFollower(
            store,
            timers,
            loop=loop,
            rng=rng or random.Random(),
            on_entry=self._on_entry,
            role=self.role,
        )

    def start(self):
        """Register with the network and begin to follow the store."""
        self.exchange.start()
        self.follower.start()

    def stop(self):
        """Make no further call."""
        self.follower.stop()

    def role(self):
        """Return what this process has to do now for its failure domain."""
        own = self._network.incarnation
        members = live_members(self._network.members(), self.failure_domain)
        contacts_s = [self._own_contact_s(), *self.exchange.contacts_s(members)]
        return Role(
            watcher=choose_reader(own, self.failure_domain, members) == own,
            fresh=is_fresh(self._timers.now(), contacts_s),
        )

    def publish(self, value):
        """Put an accepted value in force here at once and push it to peers everywhere."""
        before = self.exchange.adopt(value)
        self.exchange.push(before, across=True)

    def _on_entry(self, entry):
        try:
            value = decode_value(entry.value, known=self.configuration.value)
        except ValueUnreadable as exc:
            log.error("configuration_unreadable", version=entry.version, fault=exc.message)
            return
        before = self.exchange.adopt(value)
        self.exchange.push(before, across=False)

    def _own_contact_s(self):
        state = self.follower.state
        return None if state.failures else state.contact_s

    def dump(self):
        """Return the state as plain data for the state dump."""
        state, counters = self.follower.state, self.follower.counters
        exchange = self.exchange.counters
        return {
            "digest": self.configuration.digest.hex(),
            "highest": self.configuration.value.highest_number(),
            "watcher": self.role().watcher,
            "store_version": state.version,
            "store_failures": state.failures,
            "store_contact_s": state.contact_s,
            "watches": counters.watches,
            "polls": counters.polls,
            "calls_silent": counters.silent,
            "pushes_sent": exchange.pushes_sent,
            "pushes_adopted": exchange.pushes_adopted,
            "fetches": exchange.fetches,
            "fetches_failed": exchange.fetches_failed,
            "peers": {
                incarnation: {"digest": r.part.digest.hex(), "highest": r.part.highest}
                for incarnation, r in self.exchange.reports.items()
            },
        }
