from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import PeerSettings
from burdocklug.limits import QuotaHandover
from burdocklug.limits._registration import NameRecord, NameRegistration, judge_name
from burdocklug.peers import Member, MemberState, mint_incarnation
from burdocklug.store import MemoryStore, StoreUnavailable, VersionMismatch
from tests.scenarios import with_scenarios

ADDRESS, ELSEWHERE = "127.0.0.1:7000", "127.0.0.1:7001"
OWN = mint_incarnation(ADDRESS, start_ns=1000)
HERE_BEFORE = mint_incarnation(ADDRESS, start_ns=500)
OLDER = mint_incarnation(ELSEWHERE, start_ns=600)
NEWER = mint_incarnation(ELSEWHERE, start_ns=2000)
ALIVE, SUSPECT, DEAD, LEFT = MemberState


def member(incarnation, state, name="north-1"):
    return Member(incarnation, name, ELSEWHERE, "north", state)


@with_scenarios
class JudgeNameTest(TestCase):
    """What the record and the members say: who holds the name, and whether base shares rest."""

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
        ("killed at the own address", {"record": (HERE_BEFORE, False),
                                       "members": {HERE_BEFORE: SUSPECT},
                                       "expected": (None, True)}),
        ("held, nobody knows it", {"record": (OLDER, False), "members": {},
                                   "unknown_is_gone": False, "expected": (OLDER, True)}),
        ("alive without a record", {"record": None, "members": {OLDER: ALIVE},
                                    "expected": (OLDER, True)}),
        ("died without a record", {"record": None, "members": {OLDER: DEAD},
                                   "expected": (None, True)}),
        ("left without a record", {"record": (HERE_BEFORE, True), "members": {OLDER: LEFT},
                                   "expected": (None, True)}),
        ("before the record", {"record": (OLDER, True), "members": {HERE_BEFORE: DEAD},
                               "expected": (None, False)}),
        ("a newer one without a record waits", {"record": None, "members": {NEWER: ALIVE},
                                                "expected": (None, False)}),
    ]  # fmt: skip
    unknown_is_gone = True

    def test_verdict(self):
        record = self.record and NameRecord(self.record[0], self.record[1])
        members = [member(incarnation, state) for incarnation, state in self.members.items()]
        members.append(member(OLDER[:-1] + "0", ALIVE, name="another"))
        verdict = judge_name(
            record, members, name="north-1", own=OWN, unknown_is_gone=self.unknown_is_gone
        )
        self.assertThat(verdict, Equals(self.expected))


class FakeMembers:
    settings = PeerSettings(shared_key="x" * 16)

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.known = [member(NEWER, ALIVE, name="south-1")]

    def members(self):
        return self.known


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
        names.is_settled()
        self.now_s += 1.0
        self.assertTrue(names.is_settled())
        return names

    def test_one_of_two_takes_it_until_it_leaves(self):
        first, second = self.registration(OLDER), self.registration(OWN)
        second._peers.known.append(member(OLDER, ALIVE))
        self.assertThat(first.take().handover, Equals(QuotaHandover()))
        for _ in range(3600):
            self.now_s += 1.0
            self.assertThat(second.take(), Equals(None))
        self.assertThat(second.held_by, Equals(OLDER))
        first.release(QuotaHandover(2.0))
        self.assertThat(second.take().handover, Equals(QuotaHandover(2.0)))
        self.assertThat(second.held_by, Equals(None))

    def test_one_that_was_declared_dead_leaves_shares_that_rest(self):
        first, second = self.registration(OLDER), self.registration(OWN)
        first.take()
        second._peers.known.append(member(OLDER, DEAD))
        self.assertThat(second.take().handover, Equals(None))
        self.assertRaises(VersionMismatch, first.release, QuotaHandover())
        self.assertTrue(second.is_taken)

    def test_without_the_platform_the_members_decide(self):
        self.store.down = True
        names = self.registration(OWN)
        names._peers.known.append(member(OLDER, SUSPECT))
        self.assertRaises(StoreUnavailable, names.take)
        self.assertThat((names.held_by, names.is_taken), Equals((OLDER, False)))

    def test_the_record_is_written_at_once_and_shares_wait_for_the_members(self):
        late = NameRegistration(
            self.store,
            FakeMembers(OWN),
            name="north-1",
            fleet=["north-1", "south-1"],
            now=lambda: self.now_s,
            wall_clock=lambda: self.now_s,
        )
        late._peers.known = []
        self.assertThat((late.take(), late.is_taken), Equals((None, True)))
        self.store.down = True
        self.now_s += late._peers.settings.dead_after_s
        self.assertThat(late.take().handover, Equals(QuotaHandover()))

    def test_a_process_that_lived_without_the_platform_is_learned_after_the_record(self):
        names = self.registration(OWN)
        names._reached_s = self.now_s
        self.assertThat((names.take(), names.is_taken), Equals((None, True)))
        names._peers.known.append(member(OLDER, ALIVE))
        self.now_s += 1.0
        self.assertThat((names.take(), names.held_by), Equals((None, OLDER)))
        names._peers.known[-1] = member(OLDER, DEAD)
        self.assertThat(names.take().handover, Equals(None))
