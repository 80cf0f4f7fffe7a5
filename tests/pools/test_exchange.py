"""Changes of the configuration that pass between two processes part by part."""

import zlib
from types import SimpleNamespace

import eventlet
import msgspec
from structlog.testing import capture_logs
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from burdocklug.kernel import TimerService
from burdocklug.peers import PeerOutcomeUnknown
from burdocklug.pools import _exchange
from burdocklug.pools._configuration_messages import ConfigurationRequest
from burdocklug.pools._directory import Directory
from burdocklug.pools._exchange import ConfigurationExchange
from burdocklug.pools.cells import CellPlan
from tests.pools.test_differences import configuration, queue

PART_BYTES = 1000


class FakePeerNetwork:
    """Passes calls to one peer; `lost` has the numbers of the calls without a reply."""

    def __init__(self):
        self.handlers = {}
        self.peer = None
        self.lost = set()
        self.requests = []
        self.before_reply = lambda: None
        self.alter = lambda reply: reply

    def register(self, message_type, handler=None, *, inline=False):
        self.handlers[message_type] = handler

    def call(self, incarnation, message, *, timeout_s):
        self.requests.append(message)
        if len(self.requests) in self.lost:
            raise PeerOutcomeUnknown(incarnation, "timeout")
        self.before_reply()
        return self.alter(self.peer.handlers[type(message)]("own", message))


class ConfigurationExchangeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(setattr, _exchange, "PART_BYTES", _exchange.PART_BYTES)
        _exchange.PART_BYTES = PART_BYTES
        self.directory, self.network, self.exchange = self.make_process()
        self.peer_directory, self.network.peer, _ = self.make_process()
        self.rules = [
            queue(f"route-{number:04d}-{zlib.crc32(str(number).encode())}") for number in range(400)
        ]

    @staticmethod
    def make_process():
        directory, network = Directory(), FakePeerNetwork()
        registry = SimpleNamespace(plan=CellPlan(), take_plan=lambda _plan: None)
        timers = TimerService(now=lambda: 50.0)
        return directory, network, ConfigurationExchange(network, timers, directory, registry)

    def put(self, version, rules):
        """Put a version in force at the peer."""
        self.peer_directory.take_configuration(configuration(version, rules), source="store")

    def fetch(self):
        self.directory.note_version(
            self.peer_directory.configuration.version, source="peer", now_s=50.0
        )
        self.exchange.fetch("peer")
        eventlet.sleep(0)

    def is_same(self):
        return self.directory.configuration == self.peer_directory.configuration

    def test_a_large_configuration_arrives_in_parts(self):
        self.put(2, self.rules)
        self.fetch()
        self.assertTrue(self.is_same())
        self.assertThat(len(self.network.requests), GreaterThan(3))

    def test_a_change_of_one_route_takes_one_part(self):
        self.put(2, self.rules)
        self.fetch()
        self.network.requests.clear()
        self.put(5, self.rules[1:])
        self.fetch()
        self.assertTrue(self.is_same())
        self.assertThat(self.network.requests, Equals([ConfigurationRequest(2)]))

    def test_what_has_arrived_is_kept_when_a_call_fails(self):
        self.put(2, self.rules)
        self.network.lost = {4}
        self.fetch()
        self.assertThat(self.directory.configuration.version, Equals(0))
        self.network.requests.clear()
        self.network.lost = set()
        self.fetch()
        self.assertTrue(self.is_same())
        self.assertThat(
            self.network.requests[0], Equals(ConfigurationRequest(0, 2, 3 * PART_BYTES))
        )

    def test_changes_in_quick_succession_do_not_restart_a_transfer(self):
        self.put(2, self.rules)
        versions = iter(range(3, 100))
        self.network.before_reply = lambda: self.put(next(versions), self.rules)
        self.fetch()
        self.assertThat(self.directory.configuration.queues, Equals(tuple(self.rules)))
        offsets = [request.offset for request in self.network.requests]
        self.assertThat(offsets, Equals([n * PART_BYTES for n in range(len(offsets))]))

    def test_a_version_that_the_peer_has_forgotten_is_replaced_whole(self):
        self.put(2, self.rules)
        self.fetch()
        for version in range(3, 30):
            self.put(version, self.rules[version:])
        self.fetch()
        self.assertTrue(self.is_same())

    def test_a_version_that_the_store_gave_meanwhile_is_not_put_back(self):
        self.put(2, self.rules)

        def overtake():
            self.directory.take_configuration(configuration(9, []), source="store")

        self.network.before_reply = overtake
        self.fetch()
        self.assertThat(self.directory.configuration.version, Equals(9))

    def test_parts_that_are_not_valid_are_not_taken_and_the_next_fetch_begins_anew(self):
        self.put(2, self.rules)
        self.network.alter = lambda reply: msgspec.structs.replace(reply, data=b"x" * PART_BYTES)
        with capture_logs() as logs:
            self.fetch()
        self.assertThat(self.directory.configuration.version, Equals(0))
        self.assertIn("configuration_not_fetched", [line["event"] for line in logs])
        self.network.alter = lambda reply: reply
        self.network.requests.clear()
        self.fetch()
        self.assertTrue(self.is_same())
        self.assertThat(self.network.requests[0], Equals(ConfigurationRequest(0)))

    def test_an_empty_part_ends_the_fetch(self):
        self.put(2, self.rules)
        self.network.alter = lambda reply: msgspec.structs.replace(reply, data=b"")
        self.fetch()
        self.assertThat(len(self.network.requests), Equals(1))

    def test_a_peer_without_a_newer_version_sends_no_part(self):
        self.directory.take_configuration(configuration(9, self.rules), source="store")
        self.put(2, self.rules)
        self.exchange.fetch("peer")
        eventlet.sleep(0)
        self.assertThat(self.directory.configuration.version, Equals(9))
        self.assertThat(len(self.network.requests), Equals(1))

    def test_the_operators_revision_is_taken_over_with_the_complete_view_only(self):
        self.put(2, self.rules)
        self.peer_directory.operators_revision = 70
        self.network.lost = {3}
        self.fetch()
        self.assertThat(self.directory.operators_revision, Equals(0))
        self.fetch()
        self.assertThat(self.directory.operators_revision, Equals(70))
