from testtools import TestCase
from testtools.matchers import Equals

from standins.counts import endpoint_messages, peer_messages


class EndpointMessagesTest(TestCase):
    def test_a_start_that_ran_nothing_and_an_ask_count_as_two_each(self):
        record = {"messages": {"start": 5, "fence": 1}, "starts": [("t1",), ("t2",)]}
        found = endpoint_messages({"127.0.0.1:1": record, "127.0.0.1:2": record})
        self.assertThat(dict(found), Equals({"start": 8, "not_run": 12, "fence": 4}))


class PeerMessagesTest(TestCase):
    def test_what_goes_by_time_is_left_out(self):
        counters = {"messages_slot_grant": 3, "messages_submit_job": 1, "messages_hb": 90}
        counters |= {"messages_slot_renewal": 8, "frames_sent": 70}
        found = peer_messages([{"peers": {"counters": counters}}] * 2)
        self.assertThat(dict(found), Equals({"slot_grant": 6, "submit_job": 2}))
