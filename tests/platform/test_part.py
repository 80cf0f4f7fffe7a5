from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import PlatformSettings, TimerService
from burdocklug.platform import StoreUnavailable
from burdocklug.platform._part import build_platform


class PlatformPartTest(TestCase):
    def test_store_of_a_process_keeps_its_call_budget(self):
        settings = PlatformSettings(addresses=["127.0.0.1:1"], calls_per_s=1.0)
        timers = TimerService(now=lambda: 0.0)
        process = SimpleNamespace(settings=SimpleNamespace(platform=settings), timers=timers)
        store = build_platform(process)
        for _ in range(2):
            self.assertRaises(StoreUnavailable, store.get, "k", purpose="test")
        outcomes = {"test": {"over_budget": 1, "unavailable": 1}}
        self.assertThat(store.counts()["calls"], Equals(outcomes))
        self.assertThat(store.dump()["calls_left"], Equals(0.0))
