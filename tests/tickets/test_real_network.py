"""Replication over real peer networks on loopback, with an in-memory store."""

from testtools.matchers import Equals

from burdocklug.store import MemoryStore
from burdocklug.tickets import Configuration, OutcomeKind, TicketReplicator, TicketService
from tests.peers.support import NetworkCase
from tests.tickets.builders import endpoint_set, make_ticket

LAYOUT = {"perg": ["perg-1", "perg-2"], "linz": ["linz-1", "linz-2"]}


class RealNetworkTest(NetworkCase):
    def setUp(self):
        super().setUp()
        self.store = MemoryStore()
        self.services = {
            name: self.service(name, network) for name, network in self.fleet(LAYOUT).items()
        }

    def service(self, name, network, store=None):
        store, timers = store or self.store, network._timers
        spread = TicketReplicator(
            Configuration(), store, network, timers, failure_domain=network.failure_domain
        )
        spread.start()
        self.addCleanup(spread.stop)
        service = TicketService(store, spread, network, timers, name=name)
        service.cfg = spread.configuration
        return service

    def wait_in_force(self, number):
        found = [service.cfg for service in self.services.values()]
        self.wait_for(lambda: all(cfg.value.digest_of(number) for cfg in found))
        self.assertThat(len({cfg.digest for cfg in found}), Equals(1))

    def test_a_ticket_reaches_every_process_and_wait_says_so(self):
        objects = {"endpoints/s": endpoint_set(24, service=1)}
        answer = self.services["linz-1"].apply(make_ticket(1, objects))
        self.assertThat(answer.outcome, Equals(OutcomeKind.ACCEPTED))
        self.wait_in_force(1)
        state = self.services["perg-2"].reach(1)
        self.assertThat([p.in_force for p in state.processes], Equals([True] * 4))
        self.assertThat(state.domains_not_reached, Equals(("freistadt", "rohrbach")))

    def test_a_new_process_without_the_store_learns_from_its_peers(self):
        self.services["linz-1"].apply(make_ticket(1))
        self.wait_in_force(1)
        seed = self.services["linz-1"]._network.address
        network = self.network("perg-3", domain="perg", seeds=[seed])
        down = MemoryStore()
        down.down = True
        self.services["perg-3"] = self.service("perg-3", network, down)
        self.wait_in_force(1)
        self.assertThat(self.services["perg-3"].cfg.team("vat").max_running, Equals(1))
