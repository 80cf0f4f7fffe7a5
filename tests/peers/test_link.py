import time

import eventlet

eventlet.monkey_patch()

from eventlet import hubs  # noqa: E402
from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals, HasLength  # noqa: E402

from burdocklug.peers import _link  # noqa: E402
from burdocklug.peers._link import Link, Outgoing  # noqa: E402


class RedialTest(TestCase):
    """The peer's address accepts connections, but no handshake ever completes."""

    def setUp(self):
        super().setUp()
        silent_listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(silent_listener.close)
        self.waiting_before = set(hubs.get_hub().get_readers())
        self.link = Link(
            f"127.0.0.1:{silent_listener.getsockname()[1]}",
            seal=lambda sequence, items: b"frame",
            on_connection_refused=lambda: None,
            now=time.monotonic,
        )
        self.addCleanup(self.link.close)

    def put(self):
        self.link.put(Outgoing("item", 10))

    def waiting(self):
        return set(hubs.get_hub().get_readers()) - self.waiting_before

    def test_an_item_put_while_the_writer_ends_does_not_get_a_second_writer(self):
        self.put()
        eventlet.sleep(0.01)
        for dials in (2, 3, 4):
            before = self.waiting()
            eventlet.spawn(self.put)  # runs when redial yields to the event loop
            self.link.redial()
            eventlet.sleep(0.01)
            self.assertThat(self.waiting() & before, Equals(set()))
            self.assertThat(self.waiting(), HasLength(1))
            self.assertThat((self.link.queued, self.link.traffic.dials), Equals((dials, dials)))

    def test_a_link_closed_by_its_own_writer_keeps_nothing(self):
        dropped = []
        self.link.put(Outgoing("item", 10, on_dropped=dropped.append))
        self.link.now = lambda: self.link.close("closed by its writer") or time.monotonic()
        eventlet.sleep(0.01)
        self.link.now = time.monotonic
        self.assertThat((dropped, self.link.is_open), Equals((["closed by its writer"], False)))
        self.assertThat(self.waiting(), HasLength(0))


class RefusedTest(TestCase):
    """Nothing listens at the peer's address."""

    def test_each_refusal_is_reported_as_soon_as_the_first(self):
        """Guards against a probe wait that doubles with each refusal."""
        closed = eventlet.listen(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"
        closed.close()
        refused = []
        link = Link(
            address,
            seal=lambda sequence, items: b"frame",
            on_connection_refused=lambda: refused.append(time.monotonic()),
            now=time.monotonic,
        )
        self.addCleanup(link.close)
        waits = []
        link_waits = _link.PushDialer.wait_writable
        self.patch(
            _link.PushDialer,
            "wait_writable",
            lambda dialer, timeout_s: (waits.append(timeout_s), link_waits(dialer, timeout_s))[1],
        )
        for count in (1, 2, 3, 4):
            link.put(Outgoing("item", 10))
            with eventlet.Timeout(2.0):
                while len(refused) < count:
                    eventlet.sleep(0.005)
        self.assertThat(waits, Equals([_link.FIRST_WRITE_WAIT_S] * 4))
