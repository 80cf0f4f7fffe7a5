import msgspec
from eventlet.event import Event
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools.election._fleet import MEMBERS_PREFIX, MemberRecord, MemberRegistry
from burdocklug.store import DeletedRecord, LeaseEnded, Record


class FakeStore:
    """Store with leases that a test ends; records the keys put."""

    def __init__(self):
        self.leases = []
        self.puts = []
        self.live = set()

    def grant_lease(self, ttl_s):
        self.leases.append(ttl_s)
        self.live.add(len(self.leases))
        return len(self.leases), ttl_s

    def put(self, key, value, *, lease=0):
        self.puts.append((key, lease))

    def keep_lease(self, lease):
        if lease not in self.live:
            raise LeaseEnded(lease)

    def end_lease(self, lease):
        self.live.discard(lease)

    def read(self, prefix):
        return [], 1

    def follow(self, prefix, after, *, wait_s):
        Event().wait()  # no record ever changes


class MemberRegistryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.registry = MemberRegistry(self.store, "north-1", MemberRecord("own", "north"))

    def member(self, name, incarnation, domain):
        value = msgspec.json.encode(MemberRecord(incarnation, domain))
        return Record(MEMBERS_PREFIX + name, value, 1)

    def test_process_registers_once_and_then_renews_its_lease(self):
        self.registry._register_or_renew()
        self.registry._register_or_renew()
        self.assertThat(self.store.puts, Equals([(MEMBERS_PREFIX + "north-1", 1)]))

    def test_lapsed_lease_raises_and_the_next_registration_takes_a_new_one(self):
        self.registry._register_or_renew()
        self.store.live.clear()
        self.assertRaises(LeaseEnded, self.registry._register_or_renew)
        self.registry._lease = 0
        self.registry._register_or_renew()
        self.assertThat([lease for _key, lease in self.store.puts], Equals([1, 2]))

    def test_record_of_a_restarted_process_replaces_the_old_one(self):
        self.registry._apply(self.member("south-1", "first", "south"))
        self.registry._apply(self.member("south-1", "second", "south"))
        self.registry._apply(self.member("north-1", "own", "north"))
        self.assertThat(self.registry.others, Equals({"second": "south"}))

    def test_removed_record_is_dropped(self):
        self.registry._apply(self.member("south-1", "first", "south"))
        self.registry._apply(DeletedRecord(MEMBERS_PREFIX + "south-1", 2))
        self.assertThat(self.registry.others, Equals({}))

    def test_malformed_record_is_ignored(self):
        self.registry._apply(self.member("south-1", "first", "south"))
        self.registry._apply(Record(MEMBERS_PREFIX + "south-2", b"{", 2))
        self.assertThat(self.registry.others, Equals({"first": "south"}))
