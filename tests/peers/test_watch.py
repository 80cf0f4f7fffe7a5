from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import PeerSettings
from burdocklug.peers import _membership as membership
from burdocklug.peers._gossip import Heartbeat
from burdocklug.peers._membership import MemberTable
from burdocklug.peers._watch import WatchList, choose_watched, note_failed

SETTINGS = PeerSettings(shared_key="0123456789abcdef", remote_links=1)
OWN = f"127.0.0.1:1~{1:016x}00000000"
MATE = f"127.0.0.1:2~{2:016x}00000000"
FAR = [f"127.0.0.1:{port}~{port:016x}00000000" for port in range(10, 14)]


def beat(table, incarnation, now_s, *, domain="rohrbach", chosen=False):
    record = table.records.get(incarnation)
    heartbeat = Heartbeat(record.sequence + 1 if record else 1, chosen, False, {})
    membership.note_heartbeat(table, incarnation, heartbeat, now_s, name="p", failure_domain=domain)


class WatchTest(TestCase):
    def setUp(self):
        super().setUp()
        self.table, self.watch = MemberTable(OWN, "perg"), WatchList()
        beat(self.table, MATE, 0.0, domain="perg")
        for incarnation in FAR:
            beat(self.table, incarnation, 0.0)

    def watched_at(self, now_s):
        return choose_watched(self.watch, self.table, now_s, SETTINGS)

    def unchosen(self):
        watched = self.watched_at(0.0)
        return next(incarnation for incarnation in FAR if incarnation not in watched)

    def test_mates_and_one_link_are_watched(self):
        watched = self.watched_at(0.0)
        self.assertIn(MATE, watched)
        self.assertThat(len(watched), Equals(2))

    def test_member_that_chose_this_process_is_watched_until_it_gives_the_link_up(self):
        for give_up in ("heartbeat", "unwatched"):
            other = self.unchosen()
            beat(self.table, other, 1.0, chosen=True)
            self.assertIn(other, self.watched_at(1.1))
            if give_up == "heartbeat":
                beat(self.table, other, 1.2)
            else:
                membership.note_unchosen(self.table, other)
            self.assertNotIn(other, self.watched_at(1.3))

    def test_member_that_chose_this_process_and_fell_silent_is_watched_as_a_witness(self):
        other = self.unchosen()
        beat(self.table, other, 1.0, chosen=True)
        self.assertIn(other, self.watched_at(15.9))
        self.assertNotIn(other, self.watched_at(16.1))

    def test_failed_link_gets_a_replacement_and_is_watched_a_while(self):
        (link,) = self.watched_at(0.0) - {MATE}
        note_failed(self.watch, link, 6.0)
        watched = self.watched_at(6.1)
        self.assertThat(len(watched), Equals(3))
        self.assertIn(link, watched)
        self.assertNotIn(link, self.watched_at(21.1))
        self.assertThat(self.watched_at(36.1), Equals({MATE, link}))
