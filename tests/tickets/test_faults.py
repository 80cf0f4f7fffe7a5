"""Fault scenarios in virtual time; each `row_` function becomes a test that runs once per seed.

A scenario applies tickets, injects a fault and checks which configuration is in force afterwards.
"""

from unittest import mock

from testtools import TestCase
from testtools.content import text_content
from testtools.matchers import Equals, HasLength, LessThan

from burdocklug.kernel import ErrorKind, Ran
from burdocklug.tickets import OutcomeKind, TicketAnswer
from burdocklug.tickets import _merge as merge
from tests.tickets.builders import make_ticket, team
from tests.tickets.simulation import Fleet
from tests.tickets.test_merge import SMALL_BOUNDS

IN_FORCE_S = 9.0
SEEDS = range(1, 9)
LONG_S = 120.0
# Longest recovery through the circuit breaker: open for up to 6 s, then the wait for the next
# tick and the duration of the probe's call.
BREAKER_S = 7


def ticket(number, *names, operator="ada"):
    objects = {f"team/{name}": team(number) for name in names or ("vat",)}
    return make_ticket(number, objects, operator=operator)


class FaultTest(TestCase):
    def fleet(self, seed, *, size=7):
        fleet = Fleet(size, seed=seed)
        fleet.sim.run(3)
        return fleet

    def accept(self, fleet, process, a_ticket, run_s=1.0):
        result = process.apply(a_ticket)
        fleet.sim.run(run_s)
        self.assertThat(result, HasLength(1))
        self.assertIsInstance(result[0], TicketAnswer)
        return result[0]

    def accept_after_outage(self, fleet, process, a_ticket):
        """Apply a ticket once a second until the open circuit breaker lets it through."""
        for _second in range(BREAKER_S):
            result = process.apply(a_ticket)
            fleet.sim.run(1)
            if isinstance(result[0], TicketAnswer):
                return result[0]
            self.assertThat(result[0].kind, Equals(ErrorKind.PLATFORM_UNAVAILABLE))
        return self.accept(fleet, process, a_ticket)

    def refuse(self, fleet, process, a_ticket, kind, run_s=10.0):
        result = process.apply(a_ticket)
        fleet.sim.run(run_s)
        self.assertThat([getattr(exc, "kind", exc) for exc in result], Equals([kind]))
        return result[0]

    def assert_in_force(self, fleet, *numbers, since_s=None, processes=None):
        """Run for `IN_FORCE_S` and check that each ticket came into force everywhere within it."""
        fleet.sim.run(IN_FORCE_S)
        for number in numbers:
            start_s = fleet.accepted_s[number] if since_s is None else since_s
            for process in processes or fleet.processes:
                late_s = process.in_force_s.get(number, float("inf")) - start_s
                self.assertThat(late_s, LessThan(IN_FORCE_S), f"{number} at {process.name}")
        self.assertThat(fleet.sim.failures, Equals([]))
        digests = {process.cfg.digest for process in processes or fleet.processes}
        self.assertThat(digests, HasLength(1))

    def assert_numbers(self, fleet, **numbers):
        expected = {f"team/{name}": number for name, number in numbers.items()}
        for process in fleet.processes:
            self.assertThat(process.numbers(), Equals(expected))


def row_same_number(test, seed):
    fleet = test.fleet(seed)
    results = [fleet.processes[i].apply(ticket(1, operator=name)) for i, name in enumerate("xy")]
    fleet.sim.run(2)
    accepted = [r for (r,) in results if isinstance(r, TicketAnswer)]
    refused = [r for (r,) in results if not isinstance(r, TicketAnswer)]
    test.assertThat([len(accepted), refused[0].kind], Equals([1, ErrorKind.TICKET_CONFLICT]))
    test.assert_in_force(fleet, 1)
    test.assertThat({p.cfg.digest for p in fleet.processes}, HasLength(1))


def row_neighbouring_numbers_at_once(test, seed):
    fleet = test.fleet(seed)
    for process, a_ticket in zip(
        fleet.processes,
        (ticket(101, "a", "b"), ticket(102, "b", "c"), ticket(103, "c", "d")),
        strict=False,
    ):
        process.apply(a_ticket)
    fleet.sim.run(3)
    test.assert_in_force(fleet, 101, 102, 103)
    test.assert_numbers(fleet, a=101, b=102, c=103, d=103)


def row_higher_number_first(test, seed):
    fleet = test.fleet(seed)
    test.accept(fleet, fleet.processes[0], ticket(102, "b", "c"))
    answer = test.accept(fleet, fleet.processes[1], ticket(101, "a", "b"))
    test.assertThat(answer.outcome, Equals(OutcomeKind.PARTLY_SUPERSEDED))
    test.assertThat(answer.superseded, Equals(("team/b",)))
    test.refuse(fleet, fleet.processes[2], ticket(100, "a", "c"), ErrorKind.TICKET_SUPERSEDED)
    test.assert_in_force(fleet, 101, 102)
    test.assert_numbers(fleet, a=101, b=102, c=102)


def row_store_down_at_apply(test, seed):
    fleet = test.fleet(seed)
    fleet.store.down = True
    exc = test.refuse(fleet, fleet.processes[0], ticket(1), ErrorKind.PLATFORM_UNAVAILABLE)
    test.assertThat(exc.ran, Equals(Ran.NO))
    test.assert_numbers(fleet)
    fleet.store.down = False
    test.accept_after_outage(fleet, fleet.processes[0], ticket(1))
    test.assert_in_force(fleet, 1)


def row_store_down_at_start(test, seed):
    fleet = Fleet(7, seed=seed)
    fleet.store.down = True
    fleet.sim.run(60)
    test.assertThat({p.cfg.is_empty() for p in fleet.processes}, Equals({True}))
    fleet.store.down = False
    test.accept_after_outage(fleet, fleet.processes[0], ticket(1))
    test.assert_in_force(fleet, 1)


def row_store_down_for_long(test, seed):
    fleet = test.fleet(seed)
    test.accept(fleet, fleet.processes[0], ticket(1))
    fleet.store.down = True
    fleet.sim.run(LONG_S)
    restarted = fleet.restart(fleet.processes[0])
    test.assert_in_force(fleet, 1, since_s=fleet.sim.now_s, processes=[restarted])
    writes = fleet.store.entry.version
    fleet.store.down = False
    fleet.sim.run(30)
    test.assertThat(fleet.store.entry.version, Equals(writes))
    test.accept_after_outage(fleet, restarted, ticket(2))
    test.assert_in_force(fleet, 2)


def row_store_slow(test, seed):
    fleet = test.fleet(seed)
    fleet.partition("perg")
    fleet.store.round_trip_s = 1.5
    fleet.sim.run(30 + seed * 0.3)
    for number in (1, 2):
        test.accept(fleet, fleet.processes[0], ticket(number), run_s=4)
    test.assert_in_force(fleet, 1, 2)


def row_answer_lost_after_the_write(test, seed):
    fleet = test.fleet(seed)
    fleet.store.lose_answers = 1
    answer = test.accept(fleet, fleet.processes[0], ticket(1), run_s=5)
    test.assertThat(answer.outcome, Equals(OutcomeKind.ACCEPTED))
    test.assertThat(fleet.store.entry.version, Equals(1))
    test.assert_in_force(fleet, 1)


def row_answer_lost_and_store_down(test, seed):
    fleet = test.fleet(seed)
    fleet.store.lose_answers = 1
    result = fleet.processes[0].apply(ticket(1))
    fleet.sim.run(1)
    fleet.store.down = True
    fleet.sim.run(20)
    test.assertThat([exc.kind for exc in result], Equals([ErrorKind.TICKET_UNCERTAIN]))
    fleet.store.down = False
    answer = test.accept_after_outage(fleet, fleet.processes[1], ticket(1))
    test.assertThat(answer.outcome, Equals(OutcomeKind.ALREADY_APPLIED))
    test.assertThat(fleet.store.entry.version, Equals(1))
    test.assert_in_force(fleet, 1)


def row_answer_lost_and_superseded_meanwhile(test, seed):
    fleet = test.fleet(seed)
    fleet.store.lose_answers = 1
    result = fleet.processes[0].apply(ticket(1))
    fleet.sim.run(1)
    test.accept(fleet, fleet.processes[1], ticket(2))
    fleet.sim.run(5)
    test.assertThat(result[0].outcome, Equals(OutcomeKind.PARTLY_SUPERSEDED))
    test.assertThat(result[0].superseded, Equals(("team/vat",)))
    test.assert_in_force(fleet, 1, 2)


def row_watch_silently_dead(test, seed):
    fleet = test.fleet(seed)
    fleet.store.hung_watches = {p.name for p in fleet.in_domain("perg")}
    fleet.partition("perg")
    fleet.sim.run(seed)
    test.accept(fleet, fleet.processes[0], ticket(1), run_s=0.5)
    fleet.store.hung_watches.clear()
    test.assert_in_force(fleet, 1)


def row_hung_watch_of_a_single_process_in_a_partition(test, seed):
    fleet = test.fleet(seed, size=3)
    lone = fleet.in_domain("perg")[0]
    fleet.partition("perg")
    fleet.store.hung_watches = {lone.name}
    fleet.sim.run(seed * 0.4 + 2.5)
    test.accept(fleet, fleet.processes[0], ticket(1), run_s=0.1)
    fleet.store.hung_watches.clear()
    test.assert_in_force(fleet, 1)


def row_lone_process_after_a_long_outage(test, seed):
    fleet = test.fleet(seed, size=3)
    fleet.partition("perg")
    fleet.store.down = True
    fleet.sim.run(LONG_S + seed)
    fleet.store.down = False
    test.accept_after_outage(fleet, fleet.processes[0], ticket(1))
    test.assert_in_force(fleet, 1)


def row_push_of_a_partly_superseded_ticket_comes_first(test, seed):
    fleet = test.fleet(seed)
    fleet.partition("perg")
    fleet.store.unreachable_from = {p.name for p in fleet.in_domain("perg")}
    test.accept(fleet, fleet.processes[0], ticket(102, "b", "c"), run_s=1 + seed * 0.06)
    fleet.heal()
    test.accept(fleet, fleet.processes[0], ticket(101, "a", "b"))
    test.assert_in_force(fleet, 101, 102, since_s=fleet.accepted_s[101])
    test.assert_numbers(fleet, a=101, b=102, c=102)


def row_watcher_without_the_store(test, seed):
    fleet = test.fleet(seed)
    watcher = min(fleet.in_domain("perg"), key=lambda p: p.incarnation)
    fleet.store.unreachable_from = {watcher.name}
    fleet.partition("perg")
    fleet.sim.run(seed * 0.7)
    test.accept(fleet, fleet.processes[0], ticket(1))
    test.assert_in_force(fleet, 1)


def row_stale_store_after_restart(test, seed):
    fleet = test.fleet(seed)
    test.accept(fleet, fleet.processes[0], ticket(1))
    old = fleet.store.entry
    test.accept(fleet, fleet.processes[0], ticket(2))
    name = fleet.processes[0].name
    fleet.store.stale_reads[name] = old
    restarted = fleet.restart(fleet.processes[0])
    test.assert_in_force(fleet, 2, since_s=fleet.sim.now_s, processes=[restarted])
    test.assert_numbers(fleet, vat=2)
    result = restarted.apply(ticket(3))
    fleet.sim.run(15)
    test.assertThat([exc.kind for exc in result], Equals([ErrorKind.PLATFORM_UNAVAILABLE]))
    test.assertThat(fleet.sim.failures, Equals([]))


def row_domain_cut_off_during_three_tickets(test, seed):
    fleet = test.fleet(seed)
    isolated = fleet.in_domain("rohrbach")
    fleet.partition("rohrbach")
    fleet.store.unreachable_from = {p.name for p in isolated}
    for number in (1, 2, 3):
        test.accept(fleet, fleet.processes[0], ticket(number, "vat", f"t{number}"), run_s=20)
    test.assertThat({p.cfg.is_empty() for p in isolated}, Equals({True}))
    waited = []
    fleet.sim.spawn(
        fleet.processes[0].timers, lambda: waited.append(fleet.processes[0].service.reach(3))
    )
    fleet.sim.run(3)
    test.assertThat(waited[0].domains_not_reached, Equals(("rohrbach",)))
    test.assertThat(waited[0].complete, Equals(False))
    fleet.heal()
    fleet.store.unreachable_from = set()
    test.assert_in_force(fleet, 3, since_s=fleet.sim.now_s, processes=isolated)
    test.assert_numbers(fleet, vat=3, t1=1, t2=2, t3=3)


def row_two_tickets_in_a_row_with_a_domain_cut_off_from_peers(test, seed):
    fleet = test.fleet(seed)
    fleet.partition("perg")
    test.accept(fleet, fleet.processes[0], ticket(1), run_s=0.1 * seed)
    test.accept(fleet, fleet.processes[0], ticket(2))
    test.assert_in_force(fleet, 1, 2)


def row_removals_are_forgotten_while_a_domain_is_cut_off(test, seed):
    with mock.patch.multiple(merge, **SMALL_BOUNDS):
        fleet = test.fleet(seed)
        test.accept(fleet, fleet.processes[0], ticket(1, "gone", "kept"))
        fleet.partition("perg")
        fleet.store.unreachable_from = {p.name for p in fleet.in_domain("perg")}
        removal = make_ticket(2, {"team/gone": None})
        test.accept(fleet, fleet.processes[0], removal)
        for number in range(3, 9):
            test.accept(fleet, fleet.processes[number % 2], ticket(number, "vat"))
        test.assertThat(fleet.processes[0].cfg.value.floor >= 2, Equals(True))
        fleet.heal()
        test.assert_in_force(fleet, 8, since_s=fleet.sim.now_s)
        test.assert_numbers(fleet, kept=1, vat=8)


def row_process_frozen_past_its_lease(test, seed):
    fleet = test.fleet(seed)
    frozen = min(fleet.in_domain("perg"), key=lambda p: p.incarnation)
    fleet.freeze(frozen)
    fleet.partition("perg")
    fleet.sim.run(seed * 0.3)
    others = [p for p in fleet.processes if p is not frozen]
    test.accept(fleet, fleet.processes[0], ticket(1))
    test.assert_in_force(fleet, 1, processes=others)
    fleet.sim.run(60)
    frozen.timers.thaw()
    test.assert_in_force(fleet, 1, since_s=fleet.sim.now_s, processes=[frozen])


def row_two_domains_without_each_other(test, seed):
    fleet = test.fleet(seed)
    fleet.partition("freistadt", "rohrbach")
    fleet.sim.run(seed)
    results = [
        fleet.in_domain(domain)[0].apply(ticket(number, "vat", domain))
        for number, domain in ((1, "freistadt"), (2, "rohrbach"))
    ]
    fleet.sim.run(3)
    test.assertThat([type(r[0]) for r in results][1], Equals(TicketAnswer))
    numbers = [n for n in (1, 2) if n in fleet.accepted_s]
    test.assert_in_force(fleet, *numbers)


def row_two_domains_and_a_lost_answer(test, seed):
    fleet = test.fleet(seed)
    fleet.partition("freistadt", "rohrbach", "perg")
    fleet.store.lose_answers = 1
    test.accept(fleet, fleet.processes[0], ticket(1), run_s=4)
    test.accept(fleet, fleet.processes[1], ticket(2))
    test.assert_in_force(fleet, 1, 2)


def row_store_that_lost_writes(test, seed):
    fleet = test.fleet(seed)
    test.accept(fleet, fleet.processes[0], ticket(1, "a"))
    old = fleet.store.entry
    test.accept(fleet, fleet.processes[1], ticket(2, "a", "b"))
    fleet.sim.run(IN_FORCE_S)
    fleet.store.entry = old
    fleet.sim.run(LONG_S)
    test.assertThat(fleet.store.entry, Equals(old))
    test.assert_numbers(fleet, a=2, b=2)
    conflict = ticket(2, "c")
    test.refuse(fleet, fleet.processes[2], conflict, ErrorKind.TICKET_CONFLICT)
    test.accept(fleet, fleet.processes[2], ticket(3, "c"))
    test.assert_in_force(fleet, 3)
    for process in tuple(fleet.processes):
        fleet.restart(process)
    test.assert_in_force(fleet, 2, 3, since_s=fleet.sim.now_s)
    test.assert_numbers(fleet, a=2, b=2, c=3)


def _test_of(row):
    def test(self):
        for seed in SEEDS:
            self.addDetail("seed", text_content(str(seed)))
            row(self, seed)

    return test


for _name, _row in [item for item in globals().items() if item[0].startswith("row_")]:
    setattr(FaultTest, _name.replace("row_", "test_"), _test_of(_row))
