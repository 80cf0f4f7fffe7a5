from testtools import TestCase
from testtools.matchers import Contains, Equals

from burdocklug.kernel import ErrorKind, Ran
from burdocklug.store import Entry
from burdocklug.tickets import CONFIGURATION_KEY, OutcomeKind
from tests.tickets.builders import endpoint_set, make_ticket, team
from tests.tickets.simulation import Fleet


class ServiceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(4)
        self.fleet.sim.run(3)
        self.first = self.fleet.processes[0]

    def run_call(self, function, *args):
        result = []
        self.fleet.sim.spawn(self.first.timers, lambda: result.append(function(*args)))
        self.fleet.sim.run(5)
        self.assertThat(self.fleet.sim.failures, Equals([]))
        return result[0]

    def apply(self, ticket):
        result = self.first.apply(ticket)
        self.fleet.sim.run(5)
        return result[0]

    def test_the_same_ticket_again_is_safe(self):
        for outcome in (OutcomeKind.ACCEPTED, OutcomeKind.ALREADY_APPLIED):
            self.assertThat(self.apply(make_ticket(1)).outcome, Equals(outcome))
        self.assertThat(self.fleet.store.entry.version, Equals(1))

    def test_show(self):
        self.apply(make_ticket(1, {"team/a": team(), "team/b": team()}))
        self.apply(make_ticket(2, {"team/a": None}))
        cases = [(1, True, ("team/b",)), (2, True, ("team/a",)), (3, False, ())]
        for number, accepted, objects in cases:
            view = self.run_call(self.first.service.show, number)
            self.assertThat((view.accepted, view.objects), Equals((accepted, objects)))
        self.fleet.store.down = True
        view = self.run_call(self.first.service.show, 3)
        self.assertThat(view.accepted, Equals(None))

    def test_wait_names_processes_and_domains(self):
        self.apply(make_ticket(1, {"endpoints/s": endpoint_set(4)}))
        state = self.run_call(self.first.service.reach, 1)
        names = [(process.name, process.in_force) for process in state.processes]
        expected = ["freistadt-0", "freistadt-1", "perg-0", "rohrbach-0"]
        self.assertThat(names, Equals([(name, True) for name in expected]))
        # One endpoint is in linz, where no process is known.
        self.assertThat((state.domains_not_reached, state.complete), Equals((("linz",), False)))
        self.assertThat(self.run_call(self.first.service.reach, 9).accepted, Equals(False))

    def test_wait_for_a_ticket_that_was_superseded_since(self):
        self.apply(make_ticket(1))
        self.apply(make_ticket(2))
        state = self.run_call(self.first.service.reach, 1)
        self.assertThat((state.complete, state.domains_not_reached), Equals((True, ())))

    def test_wait_while_a_process_is_frozen(self):
        frozen = self.fleet.processes[2]
        self.fleet.freeze(frozen)
        self.apply(make_ticket(1))
        state = self.run_call(self.first.service.reach, 1)
        self.assertThat((state.complete, state.domains_not_reached), Equals((False, ("perg",))))

    def test_an_unreadable_value_is_neither_adopted_nor_overwritten(self):
        self.apply(make_ticket(1))
        broken = Entry(CONFIGURATION_KEY, b"\x07newer format", 2)
        self.fleet.store.entry = broken
        self.fleet.sim.run(60)
        exc = self.apply(make_ticket(2))
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.INTERNAL, Ran.NO)))
        self.assertThat(self.fleet.store.entry, Equals(broken))
        self.assertThat(self.first.cfg.team("vat").max_running, Equals(1))

    def test_a_refusal_after_a_lost_answer_does_not_say_that_nothing_was_written(self):
        self.fleet.store.lose_answers = 1
        result = self.first.apply(make_ticket(1))
        self.fleet.sim.run(1)
        self.fleet.store.entry = Entry(CONFIGURATION_KEY, b"\x07newer format", 2)
        self.fleet.sim.run(5)
        self.assertThat((result[0].kind, result[0].ran), Equals((ErrorKind.INTERNAL, Ran.UNKNOWN)))

    def test_a_malformed_heartbeat_part_is_ignored(self):
        _produce, consume = self.first.network.parts["tickets"]
        member = self.first.network.members()[0]
        for value in (None, 3, [], [b"x", "y", None], {"digest": b""}):
            consume(member, value)
        self.assertThat(self.first.spread.exchange.counters.fetches, Equals(0))

    def test_the_dump_names_the_watcher(self):
        dumps = [process.spread.dump() for process in self.fleet.processes]
        self.assertThat([dump["watcher"] for dump in dumps], Contains(False))
        self.assertThat(sum(dump["watcher"] for dump in dumps), Equals(3))
