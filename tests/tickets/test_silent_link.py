"""StoreFollower over the HTTP client, with a link whose open connections stop carrying data.

Guards against a watch that waits forever on a connection that was never closed.
"""

import eventlet

eventlet.monkey_patch()

import random  # noqa: E402
from unittest import mock  # noqa: E402

from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals  # noqa: E402

from burdocklug.kernel import TimerService  # noqa: E402
from burdocklug.store import BudgetedStore, HttpStore  # noqa: E402
from burdocklug.tickets import CONFIGURATION_KEY  # noqa: E402
from burdocklug.tickets import _decisions as decisions  # noqa: E402
from burdocklug.tickets import _follow as follow  # noqa: E402
from burdocklug.tickets._decisions import Role  # noqa: E402
from burdocklug.tickets._loop import eventlet_loop  # noqa: E402
from standins.launch import launch  # noqa: E402
from standins.link import Link  # noqa: E402
from standins.ports import free_address  # noqa: E402

WAIT_S = 20


class SilentLinkTest(TestCase):
    def setUp(self):
        super().setUp()
        self.address = free_address()
        url = f"http://{self.address}/health"
        self.addCleanup(launch("standins.store", "--listen", self.address, health=url).stop)
        self.link = Link(free_address(), self.address)
        self.addCleanup(self.link.set_mode, "cut")
        self.direct = HttpStore([self.address])
        self.seen = []

    def follower(self):
        timers = TimerService()
        follower = follow.StoreFollower(
            BudgetedStore(HttpStore([self.link.listen]), calls_per_s=20.0),
            timers,
            loop=eventlet_loop(),
            rng=random.Random(1),
            on_entry=lambda entry: self.seen.append(entry.value),
            role=lambda: Role(watcher=True, fresh=True),
        )
        server = eventlet.spawn(timers.serve, lambda: False)
        self.addCleanup(server.kill)
        self.addCleanup(follower.stop)
        follower.start()
        return follower

    def write(self, value, expected_version):
        return self.direct.put(
            CONFIGURATION_KEY, value, expected_version=expected_version, purpose="test"
        )

    def wait_for(self, condition):
        with eventlet.Timeout(WAIT_S):
            while not condition():
                eventlet.sleep(0.02)

    def test_news_arrive_although_every_open_connection_went_silent(self):
        with (
            mock.patch.object(follow, "WATCH_TIMEOUT_S", 1.0),
            mock.patch.object(decisions, "CALL_MARGIN_S", 0.4),
            mock.patch.object(decisions, "CHANGE_PAUSE_S", 0.0),
        ):
            version = self.write(b"1", 0).version
            follower = self.follower()
            self.wait_for(lambda: self.seen == [b"1"] and follower.counters.watches)
            eventlet.sleep(0.1)
            self.link.set_mode("silent", scope="existing")
            self.write(b"2", version)
            self.wait_for(lambda: self.seen == [b"1", b"2"])
        self.assertThat(follower.counters.silent, Equals(1))
        self.assertThat(self.link.dump()["accepted"], Equals(2))
