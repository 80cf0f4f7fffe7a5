from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is, LessThan

from burdocklug.kernel import ErrorKind
from burdocklug.tickets import (
    ConfigValue,
    ObjectVersion,
    OutcomeKind,
    apply_ticket,
    join,
    refusal_error,
    ticket_digest,
)
from burdocklug.tickets import _merge as merge
from tests.tickets.builders import apply_all, make_ticket, team

NAMES = ["team/a", "team/b", "team/c", "team/d"]
SEEDED = settings(derandomize=True, deadline=None, max_examples=200, database=None)
SMALL_BOUNDS = {
    "MAX_RECENT_TICKETS": 4,
    "RECENT_TICKETS_KEPT": 3,
    "MAX_TOMBSTONES": 3,
    "TOMBSTONES_KEPT": 2,
}

LARGE_BOUNDS = {name: getattr(merge, name) for name in SMALL_BOUNDS}

changes = st.dictionaries(
    st.sampled_from(NAMES), st.one_of(st.none(), st.integers(0, 3)), min_size=1, max_size=3
)
tickets = st.lists(st.tuples(st.integers(1, 12), changes), min_size=1, max_size=14)


def history(drawn):
    """Return the values after each of the drawn tickets, starting with the empty value."""
    values = [ConfigValue()]
    for number, objects in drawn:
        states = {n: None if limit is None else team(limit) for n, limit in objects.items()}
        values.append(apply_ticket(values[-1], make_ticket(number, states))[0])
    return values


versions = st.builds(
    ObjectVersion,
    st.integers(1, 4),
    st.sampled_from([b"x", b"y"]),
    st.none(),
)
unbounded = st.builds(
    ConfigValue,
    st.dictionaries(st.sampled_from(NAMES), versions),
    st.dictionaries(st.integers(1, 4), st.sampled_from([b"x", b"y"])),
)


class JoinTest(TestCase):
    @SEEDED
    @given(st.data(), tickets, st.booleans())
    def test_any_order_grouping_and_repetition_gives_the_newest_value(self, data, drawn, small):
        with mock.patch.multiple(merge, **(SMALL_BOUNDS if small else LARGE_BOUNDS)):
            values = history(drawn)
            indexes = data.draw(st.lists(st.integers(0, len(values) - 1), min_size=1))
            picks = [values[index] for index in indexes]
            while len(picks) > 1:
                index = data.draw(st.integers(0, len(picks) - 2))
                picks[index : index + 2] = [join(picks[index], picks[index + 1])]
        self.assertThat(picks[0], Equals(values[max(indexes)]))

    @SEEDED
    @given(unbounded, unbounded, unbounded)
    def test_it_is_commutative_associative_and_idempotent(self, a, b, c):
        self.assertThat(join(a, b), Equals(join(b, a)))
        self.assertThat(join(join(a, b), c), Equals(join(a, join(b, c))))
        self.assertThat(join(a, ConfigValue(dict(a.objects), dict(a.recent_tickets))), Equals(a))

    @SEEDED
    @given(st.data(), tickets)
    def test_no_number_ever_goes_down(self, data, drawn):
        with mock.patch.multiple(merge, **SMALL_BOUNDS):
            values = history(drawn)
            shown = ConfigValue()
            for value in data.draw(st.permutations(values)):
                after = join(shown, value)
                for name in NAMES:
                    self.assertTrue(after.number_of(name) >= shown.number_of(name))
                shown = after

    @SEEDED
    @given(st.permutations([(n, {NAMES[n % 4]: n, NAMES[(n + 1) % 4]: None}) for n in range(1, 7)]))
    def test_accepted_tickets_leave_the_same_objects_in_any_order(self, drawn):
        objects = history(drawn)[-1].objects
        newest = {name: max(n for n, change in drawn if name in change) for name in NAMES}
        self.assertThat({name: v.number for name, v in objects.items()}, Equals(newest))


class ApplyTicketTest(TestCase):
    def outcome(self, value, ticket):
        changed, outcome = apply_ticket(value, ticket)
        return changed, outcome.kind, outcome.superseded

    def test_outcomes(self):
        value = apply_all([make_ticket(5, {"team/a": team(), "team/b": None})])
        # Ticket, outcome, superseded names, kind of the error.
        cases = [
            (make_ticket(6, {"team/a": None}), OutcomeKind.ACCEPTED, (), None),
            (make_ticket(4, {"team/c": None}), OutcomeKind.ACCEPTED, (), None),
            (
                make_ticket(4, {"team/b": team(), "team/c": team()}),
                OutcomeKind.PARTLY_SUPERSEDED,
                ("team/b",),
                None,
            ),
            (
                make_ticket(4, {"team/b": team(), "team/a": None}),
                OutcomeKind.WHOLLY_SUPERSEDED,
                ("team/a", "team/b"),
                ErrorKind.TICKET_SUPERSEDED,
            ),
            (
                make_ticket(5, {"team/a": team(), "team/b": None}),
                OutcomeKind.ALREADY_APPLIED,
                (),
                None,
            ),
            (make_ticket(5, {"team/a": None}), OutcomeKind.CONFLICT, (), ErrorKind.TICKET_CONFLICT),
        ]
        for ticket, kind, superseded, error in cases:
            changed, *found = self.outcome(value, ticket)
            self.assertThat(found, Equals([kind, superseded]))
            exc = refusal_error(ticket, apply_ticket(value, ticket)[1])
            self.assertThat(exc and exc.kind, Is(error))
            written = kind in (OutcomeKind.ACCEPTED, OutcomeKind.PARTLY_SUPERSEDED)
            self.assertThat(changed is not value, Is(written))

    def test_a_partly_superseded_ticket_changes_only_the_rest(self):
        value = apply_all(
            [
                make_ticket(5, {"team/a": team(5)}),
                make_ticket(4, {"team/a": team(4), "team/b": team(4)}),
            ]
        )
        found = {n: (v.number, v.state.max_running) for n, v in value.objects.items()}
        self.assertThat(found, Equals({"team/a": (5, 5), "team/b": (4, 4)}))

    def test_numbers_at_or_under_the_floor_are_too_old(self):
        value = apply_all(make_ticket(n, {"team/a": team(n)}) for n in range(2, 503))
        self.assertThat(value.floor, Equals(102))
        self.assertThat(value.recent_tickets, HasLength(merge.RECENT_TICKETS_KEPT))
        for number, kind in ((102, OutcomeKind.TOO_OLD), (103, OutcomeKind.CONFLICT)):
            ticket = make_ticket(number, {"team/b": team()})
            self.assertThat(apply_ticket(value, ticket)[1].kind, Is(kind))

    def test_tombstones_are_bounded_and_forgotten_removals_stay_removed(self):
        made = make_ticket(1, {"team/gone": team()})
        old = apply_all([made])
        removals = [
            make_ticket(n, {f"team/t{n}-{i}": None for i in range(100)}) for n in range(3, 14)
        ]
        value = apply_all([make_ticket(2, {"team/gone": None}), *removals], old)
        tombstones = [v for v in value.objects.values() if v.state is None]
        self.assertThat(len(tombstones), LessThan(merge.MAX_TOMBSTONES + 1))
        self.assertThat(value.floor > 2, Is(True))
        self.assertThat(join(value, old), Equals(value))
        self.assertThat(join(old, value), Equals(value))
        self.assertThat(apply_ticket(value, made)[1].kind, Is(OutcomeKind.TOO_OLD))

    def test_digest_is_kept_with_each_object(self):
        ticket = make_ticket(1)
        value = apply_all([ticket])
        self.assertThat(value.objects["team/vat"].digest, Equals(ticket_digest(ticket)))
