from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import PeerSettings
from burdocklug.peers import _membership as membership
from burdocklug.peers._gossip import Heartbeat
from burdocklug.peers._membership import MemberTable
from burdocklug.peers._watch import WatchList, choose_watched, mark_link_failed

SETTINGS = PeerSettings(shared_key="0123456789abcdef", remote_links=1)
OWN = f"127.0.0.1:1~{1:016x}00000000"
LOCAL = f"127.0.0.1:2~{2:016x}00000000"
REMOTE = [f"127.0.0.1:{port}~{port:016x}00000000" for port in range(10, 14)]


def heartbeat_from(table, incarnation, now_s, *, domain="rohrbach", requests_link=False):
    record = table.records.get(incarnation)
    heartbeat = Heartbeat(record.sequence + 1 if record else 1, requests_link, False, {})
    membership.apply_heartbeat(
        table, incarnation, heartbeat, now_s, name="p", failure_domain=domain
    )


class WatchTest(TestCase):
    def setUp(self):
        super().setUp()
        self.table, self.watch = MemberTable(OWN, "perg"), WatchList()
        heartbeat_from(self.table, LOCAL, 0.0, domain="perg")
        for incarnation in REMOTE:
            heartbeat_from(self.table, incarnation, 0.0)

    def watched_at(self, now_s):
        return choose_watched(self.watch, self.table, now_s, SETTINGS)

    def unlinked_member(self):
        watched = self.watched_at(0.0)
        return next(incarnation for incarnation in REMOTE if incarnation not in watched)

    def test_mates_and_one_link_are_watched(self):
        watched = self.watched_at(0.0)
        self.assertIn(LOCAL, watched)
        self.assertThat(len(watched), Equals(2))

    def test_member_that_chose_this_process_is_watched_until_it_gives_the_link_up(self):
        for means in ("heartbeat", "unwatched"):
            other = self.unlinked_member()
            heartbeat_from(self.table, other, 1.0, requests_link=True)
            self.assertIn(other, self.watched_at(1.1))
            if means == "heartbeat":
                heartbeat_from(self.table, other, 1.2)
            else:
                membership.clear_link_request(self.table, other)
            self.assertNotIn(other, self.watched_at(1.3))

    def test_member_that_chose_this_process_and_fell_silent_is_watched_as_a_witness(self):
        other = self.unlinked_member()
        heartbeat_from(self.table, other, 1.0, requests_link=True)
        self.assertIn(other, self.watched_at(15.9))
        self.assertNotIn(other, self.watched_at(16.1))

    def test_failed_link_gets_a_replacement_and_is_watched_a_while(self):
        (link,) = self.watched_at(0.0) - {LOCAL}
        mark_link_failed(self.watch, link, 6.0)
        watched = self.watched_at(6.1)
        self.assertThat(len(watched), Equals(3))
        self.assertIn(link, watched)
        self.assertNotIn(link, self.watched_at(21.1))
        self.assertThat(self.watched_at(36.1), Equals({LOCAL, link}))
