from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is

from burdocklug.kernel import PeerSettings
from burdocklug.peers import _liveness as liveness
from burdocklug.peers import _membership as membership
from burdocklug.peers._gossip import Entry, Heartbeat, make_digest, merge_digest
from burdocklug.peers._membership import MemberTable, Status

SETTINGS = PeerSettings(shared_key="0123456789abcdef")  # suspect after 2 s, dead after 5 s
OWN, LOCAL, OTHER, REMOTE = (f"127.0.0.1:{port}~{port:016x}00000000" for port in (1, 2, 3, 4))


def heartbeat_from(table, incarnation, now_s, *, sequence, domain="perg", requests_link=False):
    heartbeat = Heartbeat(sequence, requests_link, False, {})
    return membership.apply_heartbeat(
        table, incarnation, heartbeat, now_s, name="p", failure_domain=domain
    )[0]


def table_with(*local_members):
    table = MemberTable(OWN, "perg")
    for incarnation in local_members:
        heartbeat_from(table, incarnation, 0.0, sequence=1)
    heartbeat_from(table, REMOTE, 0.0, sequence=1, domain="rohrbach")
    liveness.set_watched(table, {*local_members, REMOTE}, 0.0)
    return table


def state(table, incarnation, now_s):
    record = table.records[incarnation]
    return str(liveness.state_of(table, record, now_s, SETTINGS))


class StateTest(TestCase):
    def test_silence_makes_a_suspect_and_a_heartbeat_ends_it(self):
        table = table_with(LOCAL)
        self.assertThat(state(table, LOCAL, 1.9), Equals("alive"))
        self.assertThat(state(table, LOCAL, 2.1), Equals("suspect"))
        heartbeat_from(table, LOCAL, 2.2, sequence=1)
        self.assertThat(state(table, LOCAL, 2.3), Equals("suspect"))
        heartbeat_from(table, LOCAL, 2.4, sequence=2)
        self.assertThat(state(table, LOCAL, 2.5), Equals("alive"))

    def test_member_that_acknowledges_nothing_is_suspect(self):
        table = table_with(LOCAL)
        heartbeat_from(table, LOCAL, 9.9, sequence=2)
        table.records[LOCAL].unreachable_since_s = 7.0
        self.assertThat(state(table, LOCAL, 10.0), Equals("suspect"))

    def test_unwatched_member_is_as_reachable_as_its_failure_domain(self):
        table = table_with(LOCAL)
        heartbeat_from(table, OTHER, 0.0, sequence=1, domain="rohrbach")
        self.assertThat(state(table, OTHER, 1.0), Equals("alive"))
        self.assertThat(state(table, OTHER, 3.0), Equals("suspect"))

    def test_the_dead_do_not_return(self):
        table = table_with(LOCAL)
        membership.mark_dead(table, table.records[LOCAL], 6.0)
        heartbeat_from(table, LOCAL, 7.0, sequence=99)
        self.assertThat(state(table, LOCAL, 7.0), Equals("dead"))
        self.assertThat(membership.forget(table, 607.0, SETTINGS), Equals(2))
        self.assertThat(heartbeat_from(table, LOCAL, 608.0, sequence=100), Is(None))
        entry = Entry(LOCAL, "p", "perg", Status.ALIVE, None, 0.0)
        self.assertThat(membership.merge_entry(table, entry, 608.0), Is(None))

    def test_unreachable_member_is_forgotten_and_may_come_back(self):
        table = table_with(LOCAL)
        self.assertThat(membership.forget(table, 601.0, SETTINGS), Equals(2))
        self.assertThat(sorted(table.expired_addresses), Equals(["127.0.0.1:2", "127.0.0.1:4"]))
        heartbeat_from(table, LOCAL, 602.0, sequence=9)
        liveness.set_watched(table, {LOCAL}, 602.0)
        self.assertThat(state(table, LOCAL, 602.1), Equals("alive"))

    def test_newer_incarnation_at_the_address_ends_the_older(self):
        table = table_with(LOCAL)
        newer = f"127.0.0.1:2~{99:016x}00000000"
        record = heartbeat_from(table, newer, 1.0, sequence=1)
        ended = membership.mark_older_dead(table, record, 1.0)
        self.assertThat([r.incarnation for r in ended], Equals([LOCAL]))
        self.assertThat(table.records[LOCAL].replaced, Is(True))

    def test_own_pause_counts_as_no_silence(self):
        table = table_with(LOCAL)
        liveness.shift_times(table, 60.0)
        self.assertThat(state(table, LOCAL, 61.0), Equals("alive"))


# Name, number of other members in the own failure domain, confirming and denying voters, time,
# expected verdict.
VERDICTS = [
    ("no answer", 1, [], [], 6, False),
    ("outside witness", 1, [REMOTE], [], 6, True),
    ("too early", 1, [REMOTE], [], 4, False),
    ("someone hears it", 2, [OTHER], [REMOTE], 6, False),
    ("majority", 2, [OTHER], [], 6, True),
    ("minority", 5, [OTHER, REMOTE], [], 6, False),
]


class VoteTest(TestCase):
    def test_verdict(self):
        more = [f"127.0.0.1:{port}~{port:016x}00000000" for port in range(10, 14)]
        for name, local_count, confirming, denying, now_s, expected in VERDICTS:
            table = table_with(*[LOCAL, OTHER, *more][:local_count])
            record = table.records[LOCAL]
            record.vote_requested_s = now_s - 0.5
            for voter in confirming:
                liveness.add_vote(table, LOCAL, voter, silent=True)
            for voter in denying:
                liveness.add_vote(table, LOCAL, voter, silent=False)
            verdict = liveness.is_voted_dead(table, record, now_s, SETTINGS)
            self.assertThat(verdict, Equals(expected), name)

    def test_member_of_another_failure_domain_is_not_voted_dead(self):
        table = table_with(LOCAL)
        record = table.records[REMOTE]
        record.vote_requested_s = 5.5
        liveness.add_vote(table, REMOTE, LOCAL, silent=True)
        self.assertThat(liveness.is_voted_dead(table, record, 6.0, SETTINGS), Is(False))


ENTRIES = st.lists(
    st.builds(
        Entry,
        st.sampled_from([LOCAL, OTHER, REMOTE]),
        st.just("p"),
        st.just("perg"),
        st.sampled_from(Status),
        st.none(),
        st.floats(min_value=0, max_value=100),
    ),
    max_size=12,
)


def view(table):
    return {r.incarnation: (r.status, r.evidence_s) for r in table.records.values()}


class JoinTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(ENTRIES, st.randoms(use_true_random=False))
    def test_order_and_repetition_do_not_matter(self, entries, random):
        one, two = MemberTable(OWN, "perg"), MemberTable(OWN, "perg")
        for entry in entries:
            membership.merge_entry(one, entry, 100.0)
        shuffled = entries + entries[:3]
        random.shuffle(shuffled)
        for entry in shuffled:
            membership.merge_entry(two, entry, 100.0)
        self.assertThat(view(two), Equals(view(one)))

    @settings(derandomize=True, deadline=None)
    @given(ENTRIES, ENTRIES)
    def test_digests_find_all_differences_and_only_these(self, mine, theirs):
        one, two = MemberTable(OWN, "perg"), MemberTable("them", "perg")
        for table, entries in ((one, mine), (two, theirs)):
            for entry in entries:
                membership.merge_entry(table, entry, 100.0)
        missing, is_behind = merge_digest(one, make_digest(two, 100.0, SETTINGS), 100.0, SETTINGS)
        status = {r.incarnation: r.status for r in two.records.values()}
        expected = {
            r.incarnation
            for r in one.records.values()
            if r.incarnation not in status or status[r.incarnation] < r.status
        }
        self.assertThat({r.incarnation for r in missing}, Equals(expected))
        known = {r.incarnation: r.status for r in one.records.values()}
        expected_behind = any(i not in known or known[i] < s for i, s in status.items())
        self.assertThat(is_behind, Equals(expected_behind))

    def test_evidence_does_not_stay_young_between_two_processes(self):
        one, two = table_with(REMOTE), table_with(REMOTE)
        for tick in range(1, 1400):
            now_s = tick / 2
            for table, other in ((one, two), (two, one)):
                merge_digest(table, make_digest(other, now_s, SETTINGS), now_s, SETTINGS)
        self.assertThat(membership.forget(one, 699.5, SETTINGS), Equals(1))
