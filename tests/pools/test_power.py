from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._power import HostCapacity

SAMPLE_S = 0.1


class HostCapacityTest(TestCase):
    def setUp(self):
        super().setUp()
        self.host = HostCapacity(2.0)
        self.now_s = 100.0

    def sample(self, seconds, *, lag_s):
        for _ in range(round(seconds / SAMPLE_S)):
            self.now_s += SAMPLE_S
            self.host.note_lag(lag_s, self.now_s)

    def usable_cores(self):
        return self.host.usable_cores(self.now_s)

    def test_all_cores_are_usable_while_the_loop_is_healthy(self):
        self.sample(60, lag_s=0.01)
        self.assertThat(self.usable_cores(), Equals(2.0))

    def test_one_second_of_lag_marks_the_host_as_overloaded_for_some_time(self):
        """Occurs at a scheduler whose host becomes five times slower."""
        self.sample(1.0, lag_s=0.15)
        self.assertThat(self.usable_cores(), Equals(0.0))
        self.sample(5.0, lag_s=0.0)
        self.assertThat(self.usable_cores(), Equals(0.0))
        self.sample(10.0, lag_s=0.0)
        self.assertThat(self.usable_cores(), Equals(2.0))

    def test_single_late_sample_is_no_overload(self):
        self.sample(0.1, lag_s=0.4)
        self.assertThat(self.usable_cores(), Equals(2.0))
