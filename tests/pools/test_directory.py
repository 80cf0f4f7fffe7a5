from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._directory import Directory
from burdocklug.pools._models import PoolConfiguration
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
