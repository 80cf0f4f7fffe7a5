from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._messages import Claim, FollowerHeartbeat
from burdocklug.pools.election._followers import Followers

CLAIM = Claim(True, 1, "leader")


class AcknowledgedRepliesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.followers = Followers(timeout_s=0.8)

    def hear(self, now_s, sequence, reply_sequence):
        heartbeat = FollowerHeartbeat(sequence, CLAIM, reply_sequence=reply_sequence)
        self.followers.note_heartbeat("f", heartbeat, now_s)
        return self.followers.acknowledged_s["f"]

    def test_a_heartbeat_acknowledges_the_reply_that_it_names(self):
        self.hear(10.0, 1, 0)
        self.assertThat(self.hear(10.2, 2, 1), Equals(10.0))
        self.assertThat(self.hear(10.4, 3, 2), Equals(10.2))

    def test_a_follower_that_gets_no_replies_acknowledges_none(self):
        self.hear(10.0, 1, 0)
        self.hear(10.2, 2, 1)
        self.assertThat(self.hear(10.4, 3, 1), Equals(10.0))
        self.assertThat(self.hear(11.2, 4, 1), Equals(10.0))

    def test_one_that_never_got_a_reply_counts_from_its_first_heartbeat(self):
        self.hear(10.0, 1, 0)
        self.assertThat(self.hear(10.6, 4, 0), Equals(10.0))

    def test_one_that_follows_again_counts_from_then(self):
        self.hear(10.0, 1, 0)
        self.hear(10.2, 2, 1)
        self.assertThat(self.hear(13.0, 3, 0), Equals(13.0))
