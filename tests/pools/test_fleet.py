import msgspec
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._fleet import MEMBERS_PREFIX, FleetRegister, MemberRecord
from burdocklug.store import LeaseEnded, Record, Removal


class FakeStore:
    """Leases that a test ends, and what was put."""

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


class RegisterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.register = FleetRegister(self.store, "north-1", MemberRecord("own", "north"))

    def member(self, name, incarnation, domain):
        value = msgspec.json.encode(MemberRecord(incarnation, domain))
        return Record(MEMBERS_PREFIX + name, value, 1)

    def test_a_process_registers_once_and_renews(self):
        self.register._keep()
        self.register._keep()
        self.assertThat(self.store.puts, Equals([(MEMBERS_PREFIX + "north-1", 1)]))

    def test_a_lapsed_registration_is_an_error_that_makes_a_new_one(self):
        self.register._keep()
        self.store.live.clear()
        self.assertRaises(LeaseEnded, self.register._keep)
        self.register._lease = 0
        self.register._keep()
        self.assertThat([lease for _key, lease in self.store.puts], Equals([1, 2]))

    def test_a_restarted_process_takes_the_place_of_the_one_before(self):
        self.register._apply(self.member("south-1", "first", "south"))
        self.register._apply(self.member("south-1", "second", "south"))
        self.register._apply(self.member("north-1", "own", "north"))
        self.assertThat(self.register.others, Equals({"second": "south"}))

    def test_one_that_is_gone_is_not_counted(self):
        self.register._apply(self.member("south-1", "first", "south"))
        self.register._apply(Removal(MEMBERS_PREFIX + "south-1", 2))
        self.assertThat(self.register.others, Equals({}))

    def test_an_unreadable_record_changes_nothing(self):
        self.register._apply(self.member("south-1", "first", "south"))
        self.register._apply(Record(MEMBERS_PREFIX + "south-2", b"{", 2))
        self.assertThat(self.register.others, Equals({"first": "south"}))
