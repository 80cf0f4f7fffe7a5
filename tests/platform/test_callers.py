from testtools import TestCase
from testtools.matchers import Contains, Equals, Not

from burdocklug.platform._callers import MAX_WAIT_S, ClientsApp, _wait_s
from burdocklug.pools import PoolConfiguration, QueueRule
from burdocklug.pools._directory import Directory
from burdocklug.web import Request

CLOSE = ("Connection", "close")


class FakePool:
    """Pool that reports 3 pending jobs; `on_count` is called before each report."""

    def __init__(self):
        self.draining = False
        self.is_refusing = False
        self.on_count = lambda: None
        queue = QueueRule(name="q", host="a.example", prefix="/a/", service="s")
        self.directory = Directory()
        self.directory.take_configuration(PoolConfiguration(1, (queue,)), source="test")
        self.cells = self

    def pending(self, _queue):
        self.on_count()
        return 3


class DrainTest(TestCase):
    """A draining process closes kept connections, so that clients connect to another process."""

    def setUp(self):
        super().setUp()
        self.pool = FakePool()
        self.app = ClientsApp(self.pool, body_timeout_s=1.0, max_tasks=100)

    def ask(self):
        environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/a/", "HTTP_HOST": "a.example"}
        got = []
        self.app(environ, lambda status, headers: got.extend((status[:3], headers)))
        return got

    def test_connections_are_kept_while_it_serves(self):
        self.assertThat(self.ask()[1], Not(Contains(CLOSE)))

    def test_an_answer_during_a_drain_closes_its_connection(self):
        self.pool.draining = True
        status, headers = self.ask()
        self.assertThat(status, Equals("200"))
        self.assertThat(headers, Contains(CLOSE))

    def test_a_drain_that_begins_during_a_request_closes_its_connection(self):
        self.pool.on_count = lambda: setattr(self.pool, "draining", True)
        self.assertThat(self.ask()[1], Contains(CLOSE))


class WaitTest(TestCase):
    """The time for which a caller waits for its job."""

    def wait_s(self, text):
        req = Request({"HTTP_X_DEADLINE_MS": text}, {}, 10, 1.0)
        return _wait_s(req, QueueRule(name="q", host="a", prefix="/a/", service="s"))

    def test_it_is_given_in_milliseconds_and_bounded(self):
        texts = ["1500", "0001500", "3600001", "9" * 400, "9" * 5000]
        waits = [self.wait_s(text) for text in texts]
        self.assertThat(waits, Equals([1.5, 1.5, MAX_WAIT_S, MAX_WAIT_S, MAX_WAIT_S]))
