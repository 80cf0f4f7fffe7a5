"""Bounds on the cost of change tickets in the simulated fleet, at the target size."""

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from tests.tickets.costs import (
    BUSY_TICKETS,
    DOMAINS,
    busy_minute,
    configured_fleet,
    max_propagation_s,
    measure,
)

CONTROL_BYTES_PER_S = 9000
QUIET_BYTES_PER_S = 1000
MAX_PROPAGATION_S = 0.1
MAX_OUTAGE_CALLS_PER_S_EACH = 0.5
# Number of processes: store calls per second when quiet, at the busiest, right after an outage.
MAX_CALLS_PER_S = {7: (1.5, 4, 15), 25: (2, 4.5, 30), 50: (4, 6.5, 50)}


class CostTest(TestCase):
    def test_quiet_and_outage(self):
        for size, (quiet_limit, _busy, after_limit) in MAX_CALLS_PER_S.items():
            fleet = configured_fleet(size)
            quiet = measure(fleet, 30)
            self.assertThat(quiet.calls_per_s, LessThan(quiet_limit))
            self.assertThat(quiet.mean_bytes_per_s, LessThan(QUIET_BYTES_PER_S))
            self.assertThat(set(quiet.calls), Equals({"ticket_watch", "ticket_poll"}))
            self.assertThat(set(quiet.messages), Equals({"HeartbeatPart"}))
            fleet.store.down = True
            down = measure(fleet, 30)
            self.assertThat(down.calls_per_s, LessThan(MAX_OUTAGE_CALLS_PER_S_EACH * size))
            fleet.store.down = False
            for _second in range(5):
                self.assertThat(measure(fleet, 1).calls_per_s, LessThan(after_limit))

    def test_busiest_minute(self):
        for size, (_quiet, busy_limit, _after) in MAX_CALLS_PER_S.items():
            fleet = configured_fleet(size)
            busy = busy_minute(fleet)
            fleet.sim.run(9)
            self.assertThat(busy.calls_per_s, LessThan(busy_limit))
            self.assertThat(busy.calls["ticket_apply"], Equals(2 * BUSY_TICKETS))
            self.assertThat(busy.mean_bytes_per_s, LessThan(CONTROL_BYTES_PER_S))
            self.assertThat(busy.messages["TicketPush"], Equals(BUSY_TICKETS * (size - 1)))
            self.assertThat(busy.messages.get("TicketFetch", 0), LessThan(BUSY_TICKETS))
            self.assertThat(max_propagation_s(fleet), LessThan(MAX_PROPAGATION_S))
            self.assertThat(fleet.sim.failures, Equals([]))

    def test_sizes_of_the_table(self):
        self.assertThat(set(MAX_CALLS_PER_S), Equals(set(DOMAINS)))
