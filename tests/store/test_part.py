from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import PlatformSettings, Process, TimerService
from burdocklug.store import StoreUnavailable
from burdocklug.store._part import build_platform
from tests.fakes import FakeClock, FakeHub, FakePeers


def make_process(settings, timers, peers, fleet=()):
    settings = SimpleNamespace(platform=settings, process=SimpleNamespace(fleet=fleet))
    process = Process(settings, timers=timers)
    process.parts["peers"] = peers
    return process


class PlatformPartTest(TestCase):
    def test_store_of_a_process_keeps_its_call_budget(self):
        settings = PlatformSettings(addresses=["127.0.0.1:1"], calls_per_s=1.0)
        timers = TimerService(now=lambda: 0.0)
        store = build_platform(make_process(settings, timers, FakePeers(FakeHub(), "one")))
        for _ in range(2):
            self.assertRaises(StoreUnavailable, store.get, "k", purpose="test")
        outcomes = {"test": {"over_budget": 1, "unavailable": 1}}
        self.assertThat(store.counts()["calls"], Equals(outcomes))
        self.assertThat(store.dump()["calls_left"], Equals(0.0))

    def test_the_budget_follows_the_living_processes(self):
        clock, hub = FakeClock(), FakeHub()
        peers = FakePeers(hub, "0")
        settings = PlatformSettings(addresses=["127.0.0.1:1"])
        store = build_platform(make_process(settings, clock.timers, peers))
        rates = [store.dump()["calls_per_s"]]
        for size in (7, 50, 500):
            for number in range(1, size):
                FakePeers(hub, str(number))
            clock.advance(1.0)
            rates.append(store.dump()["calls_per_s"])
        hub.dead.update(map(str, range(10, 500)))
        clock.advance(1.0)
        rates.append(store.dump()["calls_per_s"])
        self.assertThat(rates, Equals([20.0, 1000 / 7, 20.0, 5.0, 100.0]))

    def test_share_counts_configured_processes_during_a_partition(self):
        settings = PlatformSettings(addresses=["127.0.0.1:1"])
        peers = FakePeers(FakeHub(), "0")
        fleet = [f"p{number}" for number in range(50)]
        store = build_platform(make_process(settings, FakeClock().timers, peers, fleet))
        self.assertThat(store.dump()["calls_per_s"], Equals(20.0))
