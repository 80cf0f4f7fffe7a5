"""Lookups in a configuration."""

from testtools import TestCase
from testtools.matchers import Equals, Is

from burdocklug.pools._configuration import PoolConfiguration, QueueRule


def queue(name, host, prefix, **changes):
    return QueueRule(name, host, prefix, "press", **changes)


class FindQueueTest(TestCase):
    def setUp(self):
        super().setUp()
        self.queues = (
            queue("all", "a.example", "/"),
            queue("one", "a.example", "/one/"),
            queue("twin", "a.example", "/one/"),
            queue("deep", "a.example", "/one/deep/"),
            queue("other", "b.example", "/one/"),
        )
        self.configuration = PoolConfiguration(1, self.queues)

    def found(self, host, path):
        return self.configuration.find_queue(host, path).name

    def test_the_longest_prefix_wins(self):
        self.assertThat(self.found("a.example", "/one/deep/x"), Equals("deep"))
        self.assertThat(self.found("a.example", "/two"), Equals("all"))

    def test_of_equal_prefixes_the_first_one_wins(self):
        self.assertThat(self.found("a.example", "/one/x"), Equals("one"))

    def test_queues_of_other_hosts_are_not_found(self):
        self.assertThat(self.found("b.example", "/one/x"), Equals("other"))
        self.assertThat(self.configuration.find_queue("b.example", "/two"), Is(None))
        self.assertThat(self.configuration.find_queue("c.example", "/one/x"), Is(None))

    def test_lookups_do_not_count_when_configurations_are_compared(self):
        self.found("a.example", "/one/x")
        self.assertThat(self.configuration, Equals(PoolConfiguration(1, self.queues)))
