from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import PeerSettings
from burdocklug.limits import QuotaHandover
from burdocklug.limits._registration import NameRecord, NameRegistration, resolve_holder
from burdocklug.peers import Member, MemberState, mint_incarnation
from burdocklug.store import MemoryStore, StoreUnavailable, VersionMismatch
from tests.scenarios import with_scenarios

ADDRESS, OTHER_ADDRESS = "127.0.0.1:7000", "127.0.0.1:7001"
OWN = mint_incarnation(ADDRESS, start_ns=1000)
OLDER_LOCAL = mint_incarnation(ADDRESS, start_ns=500)
OLDER = mint_incarnation(OTHER_ADDRESS, start_ns=600)
NEWER = mint_incarnation(OTHER_ADDRESS, start_ns=2000)
ALIVE, SUSPECT, DEAD, LEFT = MemberState


def member(incarnation, state, name="north-1"):
    return Member(incarnation, name, OTHER_ADDRESS, "north", state)


@with_scenarios
class ResolveHolderTest(TestCase):
    """`resolve_holder` finds the name's holder, and whether base shares have to be withheld.

    The scenarios are combinations of record and member table.
    """

    scenarios = [
        ("never used", {"record": None, "members": {}, "expected": (None, False)}),
        ("left", {"record": (OLDER, True), "members": {}, "expected": (None, False)}),
        ("left, not forgotten", {"record": (OLDER, True), "members": {OLDER: LEFT},
                                 "expected": (None, False)}),
        ("held", {"record": (OLDER, False), "members": {OLDER: ALIVE},
                  "expected": (OLDER, True)}),
        ("held, cut off", {"record": (OLDER, False), "members": {OLDER: SUSPECT},
                           "expected": (OLDER, True)}),
        ("held by a newer one", {"record": (NEWER, False), "members": {NEWER: ALIVE},
                                 "expected": (NEWER, True)}),
        ("held, declared dead", {"record": (OLDER, False), "members": {OLDER: DEAD},
                                 "expected": (None, True)}),
        ("killed at the own address", {"record": (OLDER_LOCAL, False),
                                       "members": {OLDER_LOCAL: SUSPECT},
                                       "expected": (None, True)}),
        ("held, nobody knows it", {"record": (OLDER, False), "members": {},
                                   "unknown_is_gone": False, "expected": (OLDER, True)}),
        ("alive without a record", {"record": None, "members": {OLDER: ALIVE},
                                    "expected": (OLDER, True)}),
        ("died without a record", {"record": None, "members": {OLDER: DEAD},
                                   "expected": (None, True)}),
        ("left without a record", {"record": (OLDER_LOCAL, True), "members": {OLDER: LEFT},
                                   "expected": (None, True)}),
        ("before the record", {"record": (OLDER, True), "members": {OLDER_LOCAL: DEAD},
                               "expected": (None, False)}),
        ("a newer one without a record waits", {"record": None, "members": {NEWER: ALIVE},
                                                "expected": (None, False)}),
    ]  # fmt: skip
    unknown_is_gone = True

    def test_holder_and_withholding(self):
        record = self.record and NameRecord(self.record[0], self.record[1])
        members = [member(incarnation, state) for incarnation, state in self.members.items()]
        members.append(member(OLDER[:-1] + "0", ALIVE, name="another"))
        result = resolve_holder(
            record, members, name="north-1", own=OWN, unknown_is_gone=self.unknown_is_gone
        )
        self.assertThat(result, Equals(self.expected))


class FakeMembers:
    settings = PeerSettings(shared_key="x" * 16)

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.table = [member(NEWER, ALIVE, name="south-1")]

    def members(self):
        return self.table


class NameRegistrationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.store = MemoryStore(now=lambda: self.now_s)

    def registration(self, incarnation):
        names = NameRegistration(
            self.store,
            FakeMembers(incarnation),
            name="north-1",
            fleet=["north-1", "south-1"],
            now=lambda: self.now_s,
            wall_clock=lambda: self.now_s,
        )
        names.is_membership_converged()
        self.now_s += 1.0
        self.assertTrue(names.is_membership_converged())
        return names

    def test_only_one_of_two_incarnations_registers_until_it_releases(self):
        first, second = self.registration(OLDER), self.registration(OWN)
        second._peers.table.append(member(OLDER, ALIVE))
        self.assertThat(first.register().handover, Equals(QuotaHandover()))
        for _ in range(3600):
            self.now_s += 1.0
            self.assertThat(second.register(), Equals(None))
        self.assertThat(second.held_by, Equals(OLDER))
        first.release(QuotaHandover(2.0))
        self.assertThat(second.register().handover, Equals(QuotaHandover(2.0)))
        self.assertThat(second.held_by, Equals(None))

    def test_base_shares_are_withheld_after_a_holder_declared_dead(self):
        first, second = self.registration(OLDER), self.registration(OWN)
        first.register()
        second._peers.table.append(member(OLDER, DEAD))
        self.assertThat(second.register().handover, Equals(None))
        self.assertRaises(VersionMismatch, first.release, QuotaHandover())
        self.assertTrue(second.is_registered)

    def test_without_the_platform_the_member_table_decides(self):
        self.store.down = True
        names = self.registration(OWN)
        names._peers.table.append(member(OLDER, SUSPECT))
        self.assertRaises(StoreUnavailable, names.register)
        self.assertThat((names.held_by, names.is_registered), Equals((OLDER, False)))

    def test_record_is_written_before_the_member_table_converges(self):
        registration = NameRegistration(
            self.store,
            FakeMembers(OWN),
            name="north-1",
            fleet=["north-1", "south-1"],
            now=lambda: self.now_s,
            wall_clock=lambda: self.now_s,
        )
        registration._peers.table = []
        self.assertThat((registration.register(), registration.is_registered), Equals((None, True)))
        self.store.down = True
        self.now_s += registration._peers.settings.dead_after_s
        self.assertThat(registration.register().handover, Equals(QuotaHandover()))

    def test_an_unrecorded_incarnation_seen_after_the_record_holds_the_name(self):
        names = self.registration(OWN)
        names._first_contact_s = self.now_s
        self.assertThat((names.register(), names.is_registered), Equals((None, True)))
        names._peers.table.append(member(OLDER, ALIVE))
        self.now_s += 1.0
        self.assertThat((names.register(), names.held_by), Equals((None, OLDER)))
        names._peers.table[-1] = member(OLDER, DEAD)
        self.assertThat(names.register().handover, Equals(None))
