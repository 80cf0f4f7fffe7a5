"""Tests that every implementation of the store interface must pass."""

import eventlet
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from burdocklug.store import (
    MAX_VALUE_BYTES,
    LeaseExpired,
    StoreUnavailable,
    StoreUncertain,
    ValueTooLarge,
    VersionMismatch,
)

PURPOSE = {"purpose": "test"}

# case name, expected error, call; each call is refused and writes nothing
REFUSALS = [
    ("put absent expected, present", VersionMismatch, dict(put=b"x", expected_version=0)),
    ("put at another version", VersionMismatch, dict(put=b"x", expected_version=99)),
    ("delete at another version", VersionMismatch, dict(put=None, expected_version=99)),
    ("put too large", ValueTooLarge, dict(put=b"x" * (MAX_VALUE_BYTES + 1), expected_version=1)),
    ("put under an unknown lease", LeaseExpired, dict(put=b"x", expected_version=1, lease_id="?")),
]


class StoreContract:
    """Mixin of the contract tests; a TestCase that uses it implements the methods that raise."""

    def setUp(self):
        super().setUp()
        self.store = self.make_store()

    def make_store(self):
        """Return an empty store."""
        raise NotImplementedError

    def set_faults(self, **faults):
        """Set faults of the service by name: down, lose_answers, drop_calls, stale."""
        raise NotImplementedError

    def count_calls(self):
        """Return the service's counts of calls with purpose `test`, by operation."""
        raise NotImplementedError

    def set_hosts(self, live, leaving):
        """Set the platform's host list."""
        raise NotImplementedError

    def write(self, *, key="k", put, expected_version, **options):
        if put is None:
            return self.store.delete(key, expected_version=expected_version, **PURPOSE)
        return self.store.put(key, put, expected_version=expected_version, **options, **PURPOSE)

    def test_get_follows_put_and_delete_and_versions_increase(self):
        self.assertThat(self.store.get("k", **PURPOSE), Is(None))
        first = self.store.put("k", b"\x00\xff1", expected_version=0, **PURPOSE)
        self.assertThat(self.store.get("k", **PURPOSE), Equals(first))
        self.assertThat(first.value, Equals(b"\x00\xff1"))
        second = self.store.put("k", b"", expected_version=first.version, **PURPOSE)
        self.assertThat(second.version, GreaterThan(first.version))
        self.store.delete("k", expected_version=second.version, **PURPOSE)
        self.assertThat(self.store.get("k", **PURPOSE), Is(None))
        third = self.store.put("k", b"3", expected_version=0, **PURPOSE)
        self.assertThat(third.version, GreaterThan(second.version))

    def test_refusals_write_nothing(self):
        present = self.store.put("k", b"1", expected_version=0, **PURPOSE)
        for name, error, call in REFUSALS:
            call = dict(call)
            if error is not VersionMismatch:
                call["expected_version"] = present.version
            exc = self.assertRaises(error, self.write, **call)
            self.assertThat(self.store.get("k", **PURPOSE), Equals(present), name)
            if error is VersionMismatch:
                self.assertThat(exc.current, Equals(present), name)

    def test_mismatch_on_an_absent_key_has_no_current_entry(self):
        for value in (b"1", None):
            exc = self.assertRaises(VersionMismatch, self.write, put=value, expected_version=5)
            self.assertThat(exc.current, Is(None))

    def test_largest_value_is_taken_and_read_back(self):
        value = b"\xff" * MAX_VALUE_BYTES
        self.store.put("k", value, expected_version=0, **PURPOSE)
        self.assertThat(self.store.get("k", **PURPOSE).value == value, Is(True))

    def test_lease_expiry_removes_its_keys_only(self):
        lease = self.store.grant_lease(0.3, **PURPOSE)
        self.write(key="leased", put=b"1", expected_version=0, lease_id=lease)
        freed = self.write(key="freed", put=b"1", expected_version=0, lease_id=lease)
        self.write(key="freed", put=b"2", expected_version=freed.version)
        self.write(key="other", put=b"1", expected_version=0)
        eventlet.sleep(0.6)
        self.assertThat(self.store.get("leased", **PURPOSE), Is(None))
        self.assertThat(self.store.get("freed", **PURPOSE).value, Equals(b"2"))
        self.assertThat(self.store.get("other", **PURPOSE).value, Equals(b"1"))
        self.assertRaises(LeaseExpired, self.store.keep_lease, lease, **PURPOSE)
        self.assertRaises(
            LeaseExpired, self.write, key="late", put=b"1", expected_version=0, lease_id=lease
        )

    def test_kept_lease_lasts(self):
        lease = self.store.grant_lease(1.0, **PURPOSE)
        self.write(put=b"1", expected_version=0, lease_id=lease)
        for _ in range(4):
            eventlet.sleep(0.4)
            self.store.keep_lease(lease, **PURPOSE)
        self.assertThat(self.store.get("k", **PURPOSE).value, Equals(b"1"))

    def test_watch_returns_the_newest_entry_at_once(self):
        self.write(put=b"1", expected_version=0)
        newest = self.write(put=b"2", expected_version=self.store.get("k", **PURPOSE).version)
        seen = self.store.watch("k", after_version=0, timeout_s=30, **PURPOSE)
        self.assertThat(seen, Equals(newest))

    def test_watch_wakes_on_creation_and_on_change(self):
        version = 0
        for value in (b"1", b"2"):
            waiting = eventlet.spawn(
                self.store.watch, "k", after_version=version, timeout_s=30, **PURPOSE
            )
            eventlet.sleep(0.1)
            self.assertThat(waiting.dead, Is(False))
            written = self.write(put=value, expected_version=version)
            self.assertThat(waiting.wait(), Equals(written))
            version = written.version

    def test_watch_times_out_with_none(self):
        self.assertThat(self.store.watch("k", after_version=0, timeout_s=0.1, **PURPOSE), Is(None))

    def test_hosts_returns_the_updated_list_with_a_higher_version(self):
        before = self.store.hosts(**PURPOSE)
        self.set_hosts(["10.0.0.1"], ["10.0.0.2"])
        after = self.store.hosts(**PURPOSE)
        self.assertThat(after.version, GreaterThan(before.version))
        self.assertThat(after.live, Equals(frozenset({"10.0.0.1"})))
        self.assertThat(after.leaving, Equals(frozenset({"10.0.0.2"})))

    def test_each_call_counts_once(self):
        self.write(put=b"1", expected_version=0)
        self.store.get("k", **PURPOSE)
        self.store.watch("k", after_version=0, timeout_s=1, **PURPOSE)
        self.store.watch("absent", after_version=0, timeout_s=0.05, **PURPOSE)
        self.store.hosts(**PURPOSE)
        lease = self.store.grant_lease(5, **PURPOSE)
        self.store.keep_lease(lease, **PURPOSE)
        expected = {"put": 1, "get": 1, "watch": 2, "hosts": 1, "grant_lease": 1, "keep_lease": 1}
        self.assertThat(self.count_calls(), Equals(expected))

    def calls(self):
        return [
            ("get", lambda: self.store.get("k", **PURPOSE)),
            ("watch", lambda: self.store.watch("k", after_version=0, timeout_s=1, **PURPOSE)),
            ("hosts", lambda: self.store.hosts(**PURPOSE)),
            ("put", lambda: self.write(put=b"2", expected_version=self.present.version)),
            ("delete", lambda: self.write(put=None, expected_version=self.present.version)),
            ("grant_lease", lambda: self.store.grant_lease(5, **PURPOSE)),
            ("keep_lease", lambda: self.store.keep_lease(self.lease, **PURPOSE)),
        ]

    def test_outage_is_unavailable_and_writes_nothing(self):
        self.present = self.write(put=b"1", expected_version=0)
        self.lease = self.store.grant_lease(60, **PURPOSE)
        self.set_faults(down=True)
        for _, call in self.calls():
            self.assertRaises(StoreUnavailable, call)
        self.set_faults(down=False)
        self.assertThat(self.store.get("k", **PURPOSE), Equals(self.present))

    def test_lost_answer_is_uncertain_and_the_write_landed(self):
        for value in (b"1", b"2"):
            before = self.store.get("k", **PURPOSE)
            version = before.version if before else 0
            self.set_faults(lose_answers=1)
            self.assertRaises(StoreUncertain, self.write, put=value, expected_version=version)
            written = self.store.get("k", **PURPOSE)
            self.assertThat(written.value, Equals(value))
            self.assertThat(version, LessThan(written.version))
        self.set_faults(lose_answers=1)
        call = dict(put=None, expected_version=written.version)
        self.assertRaises(StoreUncertain, self.write, **call)
        self.assertThat(self.store.get("k", **PURPOSE), Is(None))

    def test_lost_call_is_uncertain_and_nothing_landed(self):
        self.set_faults(drop_calls=1)
        self.assertRaises(StoreUncertain, self.write, put=b"1", expected_version=0)
        self.set_faults(drop_calls=0)
        self.assertThat(self.store.get("k", **PURPOSE), Is(None))

    def test_stale_reads_show_the_past_and_writes_the_present(self):
        old = self.write(put=b"1", expected_version=0)
        self.set_faults(stale=True)
        new = self.write(put=b"2", expected_version=old.version)
        self.assertThat(self.store.get("k", **PURPOSE), Equals(old))
        exc = self.assertRaises(VersionMismatch, self.write, put=b"3", expected_version=old.version)
        self.assertThat(exc.current, Equals(new))
        self.set_faults(stale=False)
        self.assertThat(self.store.get("k", **PURPOSE), Equals(new))

    def test_stale_read_after_a_lost_answer_does_not_write_twice(self):
        old = self.write(put=b"1", expected_version=0)
        self.set_faults(stale=True, lose_answers=1)
        self.assertRaises(StoreUncertain, self.write, put=b"2", expected_version=old.version)
        again = self.store.get("k", **PURPOSE)
        self.assertThat(again, Equals(old))
        exc = self.assertRaises(
            VersionMismatch, self.write, put=b"2", expected_version=again.version
        )
        self.assertThat(exc.current.value, Equals(b"2"))
