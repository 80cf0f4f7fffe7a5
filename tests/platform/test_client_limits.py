"""The operator's limits on connections are those of the clients' listener."""

import resource
from unittest import mock

import eventlet
import msgspec
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import Process, Settings
from burdocklug.platform._part import ClientsPart
from burdocklug.pools import PoolConfiguration
from burdocklug.web import ClientBudget, max_caller_connections
from standins.ports import free_address
from tests.platform.test_callers import FakePool
from tests.web.crowds import head
from tests.web.test_odd_requests import ListenerTestCase

READ_TIMEOUT_S = 5.0  # shorter than the limits of other sources
SECRET = "only-for-tests-of-limits"


class ClientLimitsTest(ListenerTestCase):
    def setUp(self):
        TestCase.setUp(self)
        self.pool = FakePool()
        self.pool.is_ready = True
        self.pool.remaining_grace_s = lambda: 0.0
        self.address = free_address()
        listen = {"callers": self.address, "operators": free_address(), "peers": free_address()}
        settings = {
            "profile": "pool",
            "process": {"name": "a", "failure_domain": "a"},
            "listen": listen,
            "peers": {"shared_key": SECRET},
            "platform": {"addresses": [free_address()]},
            "operator_token": SECRET,
            "pool": {
                "readiness": free_address(),
                "records": "platform",
                "orders": "platform",
                "max_lease_ms": 1000,
            },
        }
        process = self.process = Process(msgspec.convert(settings, Settings))
        process.parts = {"pool": self.pool, "web": ClientBudget()}
        part = ClientsPart(process)
        part.start()
        self.addCleanup(part.stop)
        self.sock = self.connect()
        self.sock.settimeout(READ_TIMEOUT_S)

    def configure(self, **limits):
        queues = self.pool.directory.configuration.queues
        configuration = PoolConfiguration(2, queues, **limits)
        self.pool.directory.take_configuration(configuration, source="test")

    def test_callers_leave_half_of_the_descriptors(self):
        system_limits = {50: 25, 4000: 1000, resource.RLIM_INFINITY: 1000}
        settings = self.process.settings
        for limit, expected in system_limits.items():
            with mock.patch("resource.getrlimit", return_value=(limit, limit)):
                self.assertThat(max_caller_connections(settings), Equals(expected))

    def test_the_size_of_headers(self):
        self.configure(max_header_bytes=1000)
        self.sock.sendall(head("/a/", "X: " + "a" * 1000, method="GET"))
        self.assertThat(self.read_response()[0], Equals(431))

    def test_the_time_of_headers(self):
        self.configure(header_timeout_s=0.3)
        self.sock.sendall(b"GET /a/")
        self.assertThat(self.sock.recv(1), Equals(b""))

    def test_the_time_between_requests(self):
        self.configure(idle_timeout_s=0.3)
        self.sock.sendall(head("/a/", "Host: a.example", method="GET"))
        self.read_response()
        eventlet.sleep(0.6)
        self.assertThat(self.sock.recv(1), Equals(b""))
