from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.hosts import HostWatch
from burdocklug.store import HostList, MemoryStore
from tests.fakes import FakeClock, FakeHub, FakePeers


class HostWatchTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.store = MemoryStore(now=self.clock)
        peers = FakePeers(FakeHub(), "one")
        self.watch = HostWatch(self.store, peers, self.clock.timers)

    def poll(self, version, leaving):
        self.store.host_list = HostList(version, leaving=frozenset(leaving))
        self.watch._poll()

    def test_an_older_list_is_counted_and_brings_no_host_back(self):
        self.poll(7, {"10.0.0.1"})
        self.poll(3, set())
        self.assertThat(self.watch.is_leaving("10.0.0.1"), Equals(True))
        self.assertThat(self.watch.counts()["older"], Equals(1))

    def test_lists_count_again_once_their_version_has_passed_the_one_in_force(self):
        self.poll(7, {"10.0.0.1"})
        self.poll(1, {"10.0.0.2"})
        self.poll(8, {"10.0.0.2"})
        self.assertThat(self.watch.is_leaving("10.0.0.1"), Equals(False))
        self.assertThat(self.watch.is_leaving("10.0.0.2"), Equals(True))
