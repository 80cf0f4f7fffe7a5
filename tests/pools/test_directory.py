from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.pools._configuration import PoolConfiguration, QueueRule, ServiceRule
from burdocklug.pools._directory import Directory
from tests.pools.builders import entry


class DirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.notified_versions = []
        self.directory.subscribe(
            lambda: self.notified_versions.append(self.directory.configuration.version)
        )

    def test_lower_or_equal_configuration_version_is_ignored(self):
        for version in (5, 3, 5, 9, 8):
            self.directory.take_configuration(PoolConfiguration(version), source="test")
        self.assertThat(self.notified_versions, Equals([5, 9]))

    def test_unchanged_entry_notifies_no_subscriber(self):
        self.directory.put(entry(1))
        self.directory.put(entry(1))
        self.directory.put(entry(1, draining=True))
        self.assertThat(len(self.notified_versions), Equals(2))

    def test_keep_only_removes_entries_not_named(self):
        for number in (1, 2, 3):
            self.directory.put(entry(number))
        self.directory.keep_only({"e2"}, reason="test")
        self.assertThat(list(self.directory.entries), Equals(["e2"]))


class ColdTimeTest(TestCase):
    """Entries are written at each heartbeat, and then read again several times."""

    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.notifications = 0
        self.directory.subscribe(self.count)

    def count(self):
        self.notifications += 1

    def put(self, now_s, cold_s, **changes):
        self.directory.put(entry(1, cold_s=cold_s, **changes), now_s=now_s)
        return self.directory.cold_until_s.get("e1")

    def test_heartbeats_of_a_cold_endpoint_notify_no_subscriber(self):
        ends_s = [self.put(100.0 + 1.5 * n, max(0.0, 9.0 - 1.5 * n)) for n in range(12)]
        self.assertThat(set(ends_s), Equals({109.0}))
        self.assertThat(self.notifications, Equals(1))

    def test_an_entry_that_is_read_again_does_not_extend_the_cold_time(self):
        ends_s = [self.put(100.0 + 0.6 * n, 9.0) for n in range(5)]
        self.assertThat(set(ends_s), Equals({109.0}))
        self.assertThat(self.notifications, Equals(1))

    def test_an_endpoint_that_is_cold_anew_notifies_subscribers(self):
        self.put(100.0, 0.0)
        self.assertThat(self.put(120.0, 9.0), Equals(129.0))
        self.assertThat(self.notifications, Equals(2))

    def test_a_new_incarnation_with_the_same_cold_time_is_cold_again(self):
        self.put(100.0, 9.0, started_ms=7)
        self.assertThat(self.put(130.0, 9.0, started_ms=8), Equals(139.0))

    def test_an_endpoint_that_was_unlisted_is_cold_again(self):
        self.put(100.0, 9.0)
        self.directory.remove("e1", reason="test")
        self.assertThat(self.put(130.0, 9.0), Equals(139.0))

    def test_a_new_incarnation_whose_entry_tells_nothing_is_cold_as_configured(self):
        services = (ServiceRule("press", cold_start_s=4.0),)
        self.directory.take_configuration(PoolConfiguration(1, (), services), source="test")
        self.assertThat(self.put(100.0, None, started_ms=7), Equals(None))
        self.assertThat(self.put(130.0, None, started_ms=8), Equals(134.0))
        self.assertThat(self.put(150.0, 0.0, started_ms=9), Equals(134.0))

    def test_an_entry_that_tells_nothing_changes_nothing(self):
        for now_s in (100.0, 101.0):
            self.assertThat(self.put(now_s, None), Equals(None))
        self.assertThat(self.notifications, Equals(1))


class ResolveQueueTest(TestCase):
    """A request on a route that the configuration in force has, or lacks."""

    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.queue = QueueRule("checks", "press.example", "/press/", "press-control")
        self.take(10, (self.queue,))

    def take(self, version, queues):
        self.directory.take_configuration(PoolConfiguration(version, queues), source="test")

    def refusal(self, path):
        """Return the kind of error with which a request is refused."""
        exc = self.assertRaises(
            BurdocklugError, self.directory.resolve_queue, "press.example", path
        )
        return exc.kind

    def test_a_route_that_is_there(self):
        found = self.directory.resolve_queue("press.example", "/press/1")
        self.assertThat(found, Equals(self.queue))

    def test_a_route_that_the_newest_known_version_lacks_is_not_found(self):
        self.directory.note_version(10, source="peer", now_s=5.0)
        self.assertThat(self.refusal("/late/1"), Equals(ErrorKind.NOT_FOUND))

    def test_a_missing_route_is_not_final_while_a_newer_version_is_known_to_exist(self):
        """Guards against a 404 for a route that was acknowledged seconds before (CONFIG)."""
        self.directory.note_version(12, source="peer", now_s=5.0)
        self.assertThat(self.refusal("/late/1"), Equals(ErrorKind.NO_CONFIGURATION))
        self.take(11, (self.queue,))
        self.assertThat(self.refusal("/late/1"), Equals(ErrorKind.NO_CONFIGURATION))
        self.take(12, (self.queue,))
        self.assertThat(self.refusal("/late/1"), Equals(ErrorKind.NOT_FOUND))

    def test_without_a_configuration_nothing_is_said_of_routes(self):
        self.directory = Directory()
        self.assertThat(self.refusal("/press/1"), Equals(ErrorKind.NO_CONFIGURATION))
