"""Replication of accepted tickets: from the store to every process, and between peers.

In each failure domain one process watches the store. Each process elects it from its own member
table as the lowest live incarnation. The others rely on its heartbeats; if no process of the
failure domain had an answer from the store for `MAX_ANSWER_AGE_S` seconds, they poll with jitter.
Peers compare digests on every heartbeat and fetch newer objects, so a failure domain that can't
reach the store gets changes from other domains.

A value that is read is merged by `join` and never replaces the one in force: neither a stale read
nor a store that lost accepted writes reverts anything here. A process whose configuration is newer
than the store's doesn't write it back on its own. The next ticket that an operator applies restores
writes that the store lost, see `burdocklug.tickets.TicketService`.
"""

import random

import structlog

from burdocklug.peers import choose_platform_reader
from burdocklug.tickets._codec import ConfigDecodeError, decode_value
from burdocklug.tickets._decisions import Role, is_fresh, live_members
from burdocklug.tickets._exchange import PeerExchange
from burdocklug.tickets._follow import StoreFollower
from burdocklug.tickets._loop import eventlet_loop

__all__ = ["TicketReplicator"]

log = structlog.get_logger(__name__)


class TicketReplicator:
    """Keeps the configuration of this process up to date with the store and the peers.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force in this process.
    store : Store
        The platform's store.
    network : PeerNetwork
        Sends calls and heartbeats to peers.
    timers : TimerService
        Source of time.
    failure_domain : str
        Failure domain of this process.
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
        """Register the message handlers with the network and start to follow the store."""
        self.exchange.start()
        self.follower.start()

    def stop(self):
        """Start no further call to the store."""
        self.follower.stop()

    def role(self):
        """Return the current `Role` of this process in its failure domain."""
        own = self._network.incarnation
        members = live_members(self._network.members(), self.failure_domain)
        answer_times_s = [self._own_contact_s(), *self.exchange.contacts_s(members)]
        return Role(
            watcher=choose_platform_reader(own, self.failure_domain, members) == own,
            fresh=is_fresh(self._timers.now(), answer_times_s),
        )

    def publish(self, value):
        """Put an accepted value in force here and push it to peers of all failure domains."""
        before = self.exchange.adopt(value)
        self.exchange.push(before, cross_domain=True)

    def _on_entry(self, entry):
        try:
            value = decode_value(entry.value, known=self.configuration.value)
        except ConfigDecodeError as exc:
            log.error("configuration_unreadable", version=entry.version, fault=exc.message)
            return
        before = self.exchange.adopt(value)
        self.exchange.push(before, cross_domain=False)

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
