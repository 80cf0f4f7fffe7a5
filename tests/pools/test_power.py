from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._power import HostPower

LOOK_S = 0.1


class HostPowerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.host = HostPower(2.0)
        self.now_s = 100.0

    def look(self, seconds, *, late_s):
        for _ in range(round(seconds / LOOK_S)):
            self.now_s += LOOK_S
            self.host.note_late(late_s, self.now_s)

    def power(self):
        return self.host.power(self.now_s)

    def test_a_healthy_loop_leaves_the_whole_power(self):
        self.look(60, late_s=0.01)
        self.assertThat(self.power(), Equals(2.0))

    def test_a_loop_late_for_a_second_chokes_the_host_for_some_time(self):
        """Load: a scheduler whose host turns five times slower."""
        self.look(1.0, late_s=0.15)
        self.assertThat(self.power(), Equals(0.0))
        self.look(5.0, late_s=0.0)
        self.assertThat(self.power(), Equals(0.0))
        self.look(10.0, late_s=0.0)
        self.assertThat(self.power(), Equals(2.0))

    def test_one_look_that_is_late_is_no_choke(self):
        self.look(0.1, late_s=0.4)
        self.assertThat(self.power(), Equals(2.0))
