"""What the operator's keys put into the directory, read by read."""

from structlog.testing import capture_logs
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.platform._operator import OperatorFollower
from burdocklug.pools._directory import Directory
from burdocklug.store import DeletedRecord, PollIntervals, Record
from tests.store.test_follower import ScriptedStore


class OperatorFollowerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()

    def follow(self, reads, follows):
        """Carry out the reads and the changes, one after the other."""
        self.operator = OperatorFollower(
            ScriptedStore(reads, follows),
            self.directory,
            pace=lambda: PollIntervals(0.0),
            now=lambda: 50.0,
        )
        follower = self.operator._follower
        for _ in range(len(reads) + len(follows)):
            is_current = follower._step()
            follower._report(50.0, is_current)

    @staticmethod
    def request(domain, revision, value=b"{}"):
        return Record(f"op/evacuate/{domain}", value, revision)

    def test_requests_of_the_first_read_and_of_changes(self):
        removal = DeletedRecord("op/evacuate/north", 7)
        self.follow([([self.request("north", 3)], 5)], [([self.request("south", 6), removal], 8)])
        self.assertThat(self.directory.evacuations, Equals({"south": 6}))
        self.assertThat(self.directory.evacuation_view.revision, Equals(8))

    def test_a_read_in_pages_has_what_was_written_meanwhile(self):
        self.follow([([self.request("north", 9)], 5)], [])
        self.assertThat(self.directory.evacuations, Equals({"north": 9}))

    def test_requested_and_removed_in_one_answer(self):
        changes = [self.request("north", 6), DeletedRecord("op/evacuate/north", 7)]
        self.follow([([], 5)], [(changes, 8)])
        self.assertThat(self.directory.evacuations, Equals({}))

    def test_an_answer_that_is_stale_vouches_for_nothing(self):
        self.follow([([], 5)], [([self.request("north", 3)], 4)])
        self.assertThat(self.directory.evacuations, Equals({}))
        self.assertThat(self.directory.configuration_age.failures, Equals(1))

    def test_a_malformed_value_is_logged_once_and_in_force(self):
        odd = self.request("north", 6, b"[1]")
        with capture_logs() as logs:
            self.follow([([odd], 6)], [([odd], 7), ([self.request("", 8)], 8)])
        malformed = [
            (line["key"], line["in_force"])
            for line in logs
            if line["event"] == "evacuation_malformed"
        ]
        self.assertThat(malformed, Equals([("op/evacuate/north", True), ("op/evacuate/", False)]))
        self.assertThat(self.directory.evacuations, Equals({"north": 6}))

    def test_keys_of_other_kinds_are_left_alone(self):
        with capture_logs() as logs:
            self.follow([([Record("op/wave/1", b"{}", 4)], 5)], [])
        self.assertThat(self.directory.evacuations, Equals({}))
        self.assertThat([line for line in logs if line["log_level"] == "warning"], Equals([]))
