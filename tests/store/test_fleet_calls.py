"""Calls of a whole fleet to the platform, counted in virtual time."""

import functools
import random
from collections import Counter, defaultdict

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.kernel import PlatformSettings, TimerService
from burdocklug.store import BudgetedStore, HostList, Store, StoreUnavailable
from burdocklug.store._budget import process_share

CALLS_PER_S = 20.0  # call budget of each process; the default of the settings
FLEET_CALLS_PER_S = PlatformSettings(addresses=[]).fleet_calls_per_s
READS_PER_S = 2000  # platform's capacity for all calls of the fleet
WRITES_PER_S = 300  # platform's capacity for writes
OUTAGE_S = (60, 120)  # start and end, in virtual seconds
END_S = 180
RETRY_S = 0.05  # interval of clients that ignore `retry_after_s`
FAILURE_DOMAINS = 4


class CountingStore(Store):
    """Counts calls per virtual second; each call succeeds or fails at once."""

    def __init__(self, now):
        self.now = now
        self.calls = defaultdict(Counter)

    def _call(self, purpose):
        second = int(self.now())
        self.calls[second][purpose] += 1
        if OUTAGE_S[0] <= self.now() < OUTAGE_S[1]:
            raise StoreUnavailable("down")

    def get(self, key, *, purpose):
        self._call(purpose)

    def watch(self, key, *, after_version, timeout_s, purpose):
        self._call(purpose)

    def hosts(self, *, purpose):
        self._call(purpose)
        return HostList(1)

    def put(self, key, value, *, expected_version, lease_id=None, purpose):
        self._call(purpose)

    def delete(self, key, *, expected_version, purpose):
        self._call(purpose)

    def grant_lease(self, ttl_s, *, purpose):
        self._call(purpose)

    def keep_lease(self, lease_id, *, purpose):
        self._call(purpose)


class Fleet:
    """Clients that poll, watch and write claims, and soon retry each rejected call."""

    def __init__(self, size, *, claims_per_s, calls_per_s=CALLS_PER_S):
        self.now_s = 0.0
        self.rng = random.Random(7)
        self.timers = TimerService(now=lambda: self.now_s)
        self.platform = CountingStore(lambda: self.now_s)
        self.success_times = defaultdict(list)
        self.clients = [self._add(number, claims_per_s, calls_per_s) for number in range(size)]

    def _add(self, number, claims_per_s, calls_per_s):
        store = BudgetedStore(
            self.platform, calls_per_s=CALLS_PER_S, now=lambda: self.now_s, rng=self.rng
        )
        store.set_calls_per_s(calls_per_s)
        self._loop(number, 1.0, lambda: store.hosts(purpose="hosts"))
        self._loop(number, 5.0, lambda: store.get("tickets", purpose="ticket_poll"))
        if number < FAILURE_DOMAINS:
            watch = {"after_version": 0, "timeout_s": 5.0, "purpose": "ticket_watch"}
            self._loop(number, 5.0, lambda: store.watch("tickets", **watch))
        if claims_per_s:
            put = {"expected_version": 0, "purpose": "claim"}
            self._loop(number, 1 / claims_per_s, lambda: store.put("c", b"", **put))
        return store

    def _loop(self, number, period_s, call):
        def run():
            try:
                call()
            except StoreUnavailable:
                self.timers.after(RETRY_S, run)
            else:
                self.success_times[number].append(self.now_s)
                self.timers.after(period_s, run)

        self.timers.after(self.rng.random() * period_s, run)

    def run(self):
        while (due_s := self.timers.next_due_s()) < END_S:
            self.now_s = due_s
            self.timers.run_due()
        return self

    def calls_per_s(self, start_s, end_s):
        return [self.platform.calls[second].total() for second in range(start_s, end_s)]

    def recovery_s(self):
        """Return the time from the end of the outage until each client has had a success."""
        firsts = [
            min(at_s for at_s in times if at_s >= OUTAGE_S[1])
            for times in self.success_times.values()
        ]
        return max(firsts) - OUTAGE_S[1]


@functools.cache
def run_fleet(size, claims_per_s):
    return Fleet(size, claims_per_s=claims_per_s).run()


@functools.cache
def run_saturated_fleet(size):
    """Run a fleet whose clients make far more calls than their share of the budget."""
    share = process_share(FLEET_CALLS_PER_S, configured_count=0, live_count=size)
    return Fleet(size, claims_per_s=1000.0, calls_per_s=share).run()


class FleetCallsTest(TestCase):
    # number of clients, claims per second of each, bounds of the fleet's calls per second:
    # mean before the outage, maximum over the run
    CASES = [
        (7, 0.0, 15, 70),
        (50, 0.0, 90, READS_PER_S // 2),
        (50, 4.0, 90 + 200, READS_PER_S // 2),
        (50, 1000.0, READS_PER_S // 2, READS_PER_S // 2),
    ]

    def test_calls_stay_within_the_platforms_rates(self):
        for size, claims_per_s, mean_bound, max_bound in self.CASES:
            case = f"{size} clients, {claims_per_s} claims a second each"
            fleet = run_fleet(size, claims_per_s)
            idle = fleet.calls_per_s(30, OUTAGE_S[0])
            self.assertThat(sum(idle) / len(idle), LessThan(mean_bound), case)
            self.assertThat(max(fleet.calls_per_s(0, END_S)), LessThan(max_bound), case)

    def test_outage_costs_less_than_normal_work(self):
        for size, claims_per_s, *_ in self.CASES:
            fleet = run_fleet(size, claims_per_s)
            first, last = OUTAGE_S
            self.assertThat(sum(fleet.calls_per_s(first, last)), LessThan(size * 40))
            before = max(fleet.calls_per_s(30, first))
            # No thundering herd after the outage: at most the budget, without a burst.
            after = max(fleet.calls_per_s(last, last + 10))
            self.assertThat(after, LessThan(max(before * 2, size * CALLS_PER_S) + 1))

    def test_every_client_is_back_within_nine_seconds(self):
        for size, claims_per_s, *_ in self.CASES:
            fleet = run_fleet(size, claims_per_s)
            self.assertThat(len(fleet.success_times), Equals(size))
            self.assertThat(fleet.recovery_s(), LessThan(9.0))
            self.assertThat(fleet.recovery_s(), GreaterThan(0.0))

    def test_writes_stay_within_the_platforms_rate_and_leave_room_for_host_lists(self):
        for claims_per_s in (4.0, 1000.0):
            fleet = run_fleet(50, claims_per_s)
            calls = [fleet.platform.calls[second] for second in range(END_S)]
            writes = [second["claim"] for second in calls]
            self.assertThat(sum(writes) / END_S, LessThan(WRITES_PER_S + 1))
            # A single second may also have a burst, worth half a second of writes.
            self.assertThat(max(writes), LessThan(WRITES_PER_S * 1.5 + 1))
            idle = [second["hosts"] for second in calls[30 : OUTAGE_S[0]]]
            self.assertThat(sum(idle) / len(idle), GreaterThan(45.0))


class SharedBudgetTest(TestCase):
    """The fleet's call budget is independent of the number of processes that share it."""

    SIZES = (7, 50)

    def test_calls_and_writes_stay_within_the_platforms_rates(self):
        for size in self.SIZES:
            fleet = run_saturated_fleet(size)
            calls = fleet.calls_per_s(0, END_S)
            self.assertThat(max(calls), LessThan(READS_PER_S))
            self.assertThat(sum(calls) / END_S, LessThan(READS_PER_S // 2 + 1))
            writes = sum(fleet.platform.calls[second]["claim"] for second in range(END_S))
            self.assertThat(writes / END_S, LessThan(WRITES_PER_S + 1))

    def test_a_small_fleet_gets_as_many_writes_as_a_large_one(self):
        for size in self.SIZES:
            calls = run_saturated_fleet(size).platform.calls
            writes = [calls[second]["claim"] for second in range(30, OUTAGE_S[0])]
            self.assertThat(sum(writes) / len(writes), GreaterThan(WRITES_PER_S * 0.9))

    def test_no_herd_follows_an_outage(self):
        for size in self.SIZES:
            fleet = run_saturated_fleet(size)
            after = fleet.calls_per_s(OUTAGE_S[1], OUTAGE_S[1] + 10)
            self.assertThat(max(after), LessThan(FLEET_CALLS_PER_S + 1))
            self.assertThat(fleet.recovery_s(), LessThan(9.0))
