from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, Is

from standins import endpoint_state
from standins.endpoint_state import EndpointState, Fate, Faults


class EndpointStateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.state = EndpointState(slots=2, max_connections=3)

    def finish(self, record):
        self.state.finish(record, ok=True, value=1, run_s=0.1)

    def test_slots_are_its_own_guard(self):
        records = [self.state.begin(f"a{n}", f"t{n}", now_s=n) for n in range(3)]
        self.assertThat(records[2], Equals("full"))
        self.finish(records[0])
        self.assertThat(self.state.begin("a3", "t3", now_s=4.0).fate, Is(Fate.RUNNING))
        self.assertThat(self.state.max_running, Equals(2))
        self.assertThat([s[0] for s in self.state.starts], Equals(["t0", "t1", "t3"]))

    def test_second_start_of_an_attempt_is_not_a_start(self):
        first = self.state.begin("a", "t", now_s=0.0)
        self.assertThat(self.state.begin("a", "t", now_s=1.0), Is(first))
        self.assertThat((len(self.state.starts), self.state.duplicates), Equals((1, 1)))

    def test_fence_and_cancel_before_arrival(self):
        self.state.fence("a", now_s=0.0)
        self.assertThat(self.state.cancel(["b"], now_s=0.0), Equals(0))
        self.assertThat(self.state.begin("a", "t", now_s=1.0), Equals("fenced"))
        self.assertThat(self.state.begin("b", "t", now_s=1.0), Equals("fenced"))
        self.assertThat(dict(self.state.refusals), Equals({"fenced": 2}))

    def test_fence_of_a_running_attempt_does_not_stop_it(self):
        record = self.state.begin("a", "t", now_s=0.0)
        self.assertThat(self.state.fence("a", now_s=1.0).fate, Is(Fate.RUNNING))
        self.finish(record)
        self.assertThat(self.state.fence("a", now_s=2.0).answer["task_id"], Equals("t"))

    def test_memory_is_as_short_as_what_was_forgotten(self):
        self.assertThat(self.state.memory_s(now_s=10.0), Equals(10.0))
        with mock.patch.object(endpoint_state, "MAX_ATTEMPTS", 2):
            for number in range(4):
                self.finish(self.state.begin(f"a{number}", "t", now_s=number))
        self.assertThat(self.state.memory_s(now_s=10.0), Equals(9.0))

    def test_leaving_and_lying(self):
        self.state.faults = Faults(leaving=True, lies_about_free_slots=True)
        self.assertThat(self.state.begin("a", "t", now_s=0.0), Equals("leaving"))
        self.assertThat(self.state.status()["free_slots"], Equals(2))

    def test_connections_are_guarded(self):
        taken = [self.state.connect() for _ in range(4)]
        self.assertThat(taken, Equals([True, True, True, False]))
        self.assertThat(self.state.max_connections_seen, Equals(3))
