from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._directory import Directory
from burdocklug.pools._models import PoolConfiguration
from tests.pools.builders import entry


class DirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.told = []
        self.directory.subscribe(lambda: self.told.append(self.directory.configuration.version))

    def test_a_lower_or_equal_version_is_never_taken(self):
        for version in (5, 3, 5, 9, 8):
            self.directory.take_configuration(PoolConfiguration(version), source="test")
        self.assertThat(self.told, Equals([5, 9]))

    def test_an_entry_that_is_the_same_tells_nobody(self):
        self.directory.put(entry(1))
        self.directory.put(entry(1))
        self.directory.put(entry(1, draining=True))
        self.assertThat(len(self.told), Equals(2))

    def test_what_is_not_named_any_more_is_forgotten(self):
        for number in (1, 2, 3):
            self.directory.put(entry(number))
        self.directory.keep_only({"e2"}, reason="test")
        self.assertThat(list(self.directory.entries), Equals(["e2"]))
