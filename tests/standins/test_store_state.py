from testtools import TestCase
from testtools.matchers import Equals, Is

from standins.store_record import CallRecord, Faults, change_faults
from standins.store_state import LeaseGone, Mismatch, StoreState


class StoreStateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.state = StoreState()

    def test_stale_views_by_age_and_by_versions(self):
        for version, now_s in enumerate((0.0, 10.0, 20.0)):
            self.state.put("k", b"%d" % version, expected_version=version, now_s=now_s)
        for options, data in (
            ({}, b"2"),
            ({"stale_versions": 1}, b"1"),
            ({"stale_versions": 2}, b"0"),
            ({"stale_s": 5.0}, b"1"),
            ({"stale_s": 15.0}, b"0"),
        ):
            self.assertThat(self.state.get("k", now_s=20.0, **options).data, Equals(data))
        self.assertThat(self.state.get("k", now_s=20.0, stale_s=30.0), Is(None))

    def test_lease_expires_exactly_at_its_time(self):
        lease = self.state.grant_lease(5.0, now_s=0.0)
        self.state.put("k", b"1", expected_version=0, lease_id=lease, now_s=0.0)
        self.state.keep_lease(lease, now_s=4.0)
        self.assertThat(self.state.get("k", now_s=8.9).data, Equals(b"1"))
        self.assertThat(self.state.get("k", now_s=9.0), Is(None))
        self.assertRaises(LeaseGone, self.state.keep_lease, lease, now_s=9.0)

    def test_absent_key_can_only_be_deleted_at_version_zero(self):
        self.state.delete("k", expected_version=0, now_s=0.0)
        self.assertRaises(Mismatch, self.state.delete, "k", expected_version=1, now_s=0.0)

    def test_host_lists_lag_and_take_any_version(self):
        self.state.set_hosts(["a"], [], now_s=0.0, lag_s=5.0)
        self.assertThat(self.state.hosts(now_s=4.0).version, Equals(0))
        self.assertThat(self.state.hosts(now_s=5.0).live, Equals(("a",)))
        self.state.set_hosts(["b"], [], now_s=6.0, version=1)
        self.assertThat(self.state.hosts(now_s=6.0).live, Equals(("b",)))

    def test_faults_and_record(self):
        faults = change_faults(Faults(), {"lose_answers": 1})
        self.assertThat([faults.loses_answer() for _ in range(2)], Equals([True, False]))
        self.assertRaises(TypeError, change_faults, faults, {"unknown": 1})
        record = CallRecord()
        for now_s in (0.1, 0.9, 1.5):
            record.count("t", "get", now_s=now_s)
        totals = [second["total"] for second in record.dump()["per_second"]]
        self.assertThat(totals, Equals([2, 1]))
