import eventlet

eventlet.monkey_patch()

import random  # noqa: E402

from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals, GreaterThan, Is, LessThan  # noqa: E402

from burdocklug.store import (  # noqa: E402
    BreakerState,
    BudgetedStore,
    MemoryStore,
    StoreUnavailable,
    StoreUncertain,
    VersionMismatch,
)


class SlowMemoryStore(MemoryStore):
    """Yields to the event loop in each `get`, after it has read the entry."""

    def get(self, key, *, purpose):
        entry = super().get(key, purpose=purpose)
        eventlet.sleep(0.05)
        return entry


class BudgetedStoreTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.memory = SlowMemoryStore(now=lambda: self.now_s)
        self.store = self.make_store(calls_per_s=10.0, writes_per_s=10.0)

    def make_store(self, **options):
        rng = random.Random(1)
        return BudgetedStore(self.memory, now=lambda: self.now_s, rng=rng, **options)

    def outcomes(self, purpose):
        return self.store.counts()["calls"].get(purpose, {})

    def fail_until_open(self):
        self.memory.down = True
        for _ in range(3):
            self.assertRaises(StoreUnavailable, self.store.hosts, purpose="h")

    def test_call_over_budget_is_rejected_with_a_retry_time(self):
        for _ in range(10):
            self.store.hosts(purpose="h")
        exc = self.assertRaises(StoreUnavailable, self.store.hosts, purpose="h")
        self.assertThat(sum(self.memory.calls.values()), Equals(10))
        self.assertThat(exc.retry_after_s, GreaterThan(0.0))
        self.now_s = exc.retry_after_s + 1e-6
        self.store.hosts(purpose="h")
        self.assertThat(self.outcomes("h"), Equals({"ok": 11, "over_budget": 1}))

    def test_urgent_ticket_call_is_admitted_when_host_list_calls_are_rejected(self):
        for _ in range(20):
            try:
                self.store.hosts(purpose="hosts")
            except StoreUnavailable:
                pass
        self.assertThat(self.outcomes("hosts")["ok"], Equals(5))
        self.store.put("t", b"1", expected_version=0, purpose="ticket_apply")

    def test_identical_reads_share_one_call(self):
        threads = [eventlet.spawn(self.store.get, "k", purpose="g") for _ in range(20)]
        other = eventlet.spawn(self.store.get, "other", purpose="g")
        for thread in [*threads, other]:
            self.assertThat(thread.wait(), Is(None))
        self.assertThat(self.memory.calls["g", "get"], Equals(2))
        self.assertThat(self.outcomes("g"), Equals({"ok": 2, "coalesced": 19}))

    def test_shared_failure_reaches_all(self):
        self.memory.down = True
        threads = [eventlet.spawn(self.store.get, "k", purpose="g") for _ in range(3)]
        for thread in threads:
            self.assertRaises(StoreUnavailable, thread.wait)

    def test_killing_a_shared_call_fails_the_waiting_callers(self):
        first = eventlet.spawn(self.store.get, "k", purpose="g")
        waiting = eventlet.spawn(self.store.get, "k", purpose="g")
        eventlet.sleep(0)
        first.kill()
        self.assertRaises(StoreUnavailable, waiting.wait)
        self.assertThat(self.store.get("k", purpose="g"), Is(None))

    def test_read_after_a_write_does_not_join_an_earlier_read(self):
        for lost_answers in (0, 1):
            key = f"k{lost_answers}"
            early = eventlet.spawn(self.store.get, key, purpose="g")
            eventlet.sleep(0)
            self.memory.lose_next_responses = lost_answers
            put = dict(expected_version=0, purpose="p")
            if lost_answers:
                self.assertRaises(StoreUncertain, self.store.put, key, b"1", **put)
            else:
                self.store.put(key, b"1", **put)
            self.assertThat(self.store.get(key, purpose="g").value, Equals(b"1"))
            self.assertThat(early.wait(), Is(None))

    def test_refusals_do_not_open_the_breaker(self):
        for _ in range(5):
            call = dict(expected_version=7, purpose="p")
            self.assertRaises(VersionMismatch, self.store.put, "k", b"1", **call)
        self.assertThat(self.store.counts()["breaker"], Equals(BreakerState.CLOSED))
        self.assertThat(self.outcomes("p"), Equals({"refused": 5}))

    def test_outage_costs_few_calls_and_ends_with_an_empty_budget(self):
        self.fail_until_open()
        for _ in range(600):  # a minute of a caller that calls every 100 ms
            self.now_s += 0.1
            self.assertRaises(StoreUnavailable, self.store.hosts, purpose="h")
        # Three to open, four doublings of the backoff, then at least 2 s from probe to probe.
        self.assertThat(self.memory.calls["h", "hosts"], LessThan(3 + 4 + 30 + 1))
        self.memory.down = False
        self.now_s += 6.0
        self.store.hosts(purpose="h")
        self.assertThat(self.store.counts()["breaker"], Equals(BreakerState.CLOSED))
        self.assertRaises(StoreUnavailable, self.store.hosts, purpose="h")
        self.store.put("t", b"1", expected_version=0, purpose="ticket_apply")

    def test_trial_watch_returns_at_once(self):
        self.fail_until_open()
        self.memory.down = False
        self.now_s += 6.0
        watch = dict(after_version=0, timeout_s=1e6, purpose="w")
        self.assertThat(self.store.watch("k", **watch), Is(None))
        self.assertThat(self.store.counts()["breaker"], Equals(BreakerState.CLOSED))

    def test_killed_trial_lets_a_later_one_through(self):
        self.fail_until_open()
        self.memory.down = False
        self.now_s += 6.0
        probe = eventlet.spawn(self.store.get, "k", purpose="g")
        eventlet.sleep(0)
        exc = self.assertRaises(StoreUnavailable, self.store.hosts, purpose="h")
        self.assertThat(exc.retry_after_s, GreaterThan(0.0))
        probe.kill()
        self.now_s += 6.0
        self.assertThat(self.store.get("k", purpose="g"), Is(None))

    def test_writes_have_a_smaller_budget_of_their_own(self):
        self.store = self.make_store(calls_per_s=20.0)
        for version in (0, 1, 2):
            self.store.put("k", b"1", expected_version=version, purpose="claim")
        call = dict(expected_version=3, purpose="claim")
        exc = self.assertRaises(StoreUnavailable, self.store.put, "k", b"1", **call)
        self.assertThat(exc.retry_after_s, GreaterThan(0.1))
        self.store.put("k", b"1", expected_version=3, purpose="ticket_apply")
        for _ in range(10):
            self.store.hosts(purpose="h")
