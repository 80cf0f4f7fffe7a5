import testtools
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from burdocklug.limits import QuotaHandover, QuotaRequest, QuotaReturn, QuotaShares, base_share
from burdocklug.limits._quotas import LOAN_TERM_S

FLEET = [f"p{n}" for n in range(4)]
LONGEST_TASK_S = 3.0
PROCESSES = st.sampled_from(FLEET)


class Fleet(RuleBasedStateMachine):
    """Processes that lend, crash, restart and are partitioned; tasks outlive their process."""

    quota = 3

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.shares, self.names, self.partitioned = {}, {}, set()
        self.in_flight = []  # sender, receiver, message
        self.running = []  # (process incarnation, end time)
        self.incarnation_count = 0
        for name in FLEET:
            self.start_process(name, QuotaHandover())

    def start_process(self, name, handover):
        self.incarnation_count += 1
        shares = QuotaShares(
            process=name,
            fleet=FLEET,
            started_s=self.now_s,
            longest_task_s=LONGEST_TASK_S,
            handover=handover,
        )
        shares.set_quota(self.now_s, "a", self.quota)
        self.names[name] = f"{name}~{self.incarnation_count}"
        self.shares[self.names[name]] = shares

    def send(self, name, outgoing):
        sender = self.names[name]
        self.in_flight += [(sender, item.to, item.message) for item in outgoing]

    def name_of(self, incarnation):
        return incarnation.partition("~")[0]

    @rule(name=PROCESSES, seconds=st.floats(0.0, LONGEST_TASK_S))
    def start(self, name, seconds):
        incarnation = self.names[name]
        if self.shares[incarnation].may_start(self.now_s, "a"):
            self.shares[incarnation].note_started(self.now_s, "a")
            self.running.append((incarnation, self.now_s + seconds))

    @rule(name=PROCESSES)
    def flood(self, name):
        while self.shares[self.names[name]].may_start(self.now_s, "a"):
            self.start(name, LONGEST_TASK_S)

    @rule(name=PROCESSES, rounds=st.integers(1, 3))
    def borrow(self, name, rounds):
        for _ in range(rounds):
            self.tick(name, 9)
            for _ in range(2):
                in_flight, self.in_flight = self.in_flight, []
                for sender, to, message in in_flight:
                    self.deliver_message(sender, to, message)
        self.flood(name)

    @rule()
    def flood_all(self):
        for name in FLEET:
            self.flood(name)

    @rule()
    def settle(self):
        for name in FLEET:
            self.tick(name, 0)
        in_flight, self.in_flight = self.in_flight, []
        for sender, to, message in in_flight:
            self.deliver_message(sender, to, message)

    @rule(name=PROCESSES, waiting=st.integers(0, 6))
    def tick(self, name, waiting):
        peers = {n: i for n, i in self.names.items() if n != name}
        outgoing = self.shares[self.names[name]].tick(self.now_s, {"a": waiting}, peers)
        self.send(name, outgoing)

    @rule(seconds=st.sampled_from([0.01, 1.1, LOAN_TERM_S - 0.1, LOAN_TERM_S]))
    def wait(self, seconds):
        self.now_s += seconds
        for incarnation, end_s in self.running:
            if end_s <= self.now_s and incarnation in self.shares:
                self.shares[incarnation].note_ended(self.now_s, "a")
        self.running = [item for item in self.running if item[1] > self.now_s]

    @rule(index=st.integers(0, 50), repeat=st.booleans())
    def deliver(self, index, repeat):
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        self.deliver_message(*(self.in_flight[index] if repeat else self.in_flight.pop(index)))

    def deliver_message(self, sender, to, message):
        if to in self.shares and not self.partitioned & {self.name_of(sender), self.name_of(to)}:
            outgoing = self.shares[to].receive(self.now_s, sender, message)
            self.send(self.name_of(to), outgoing)

    @rule(name=PROCESSES)
    def partition(self, name):
        self.partitioned ^= {name}

    @rule(name=PROCESSES)
    def kill(self, name):
        del self.shares[self.names[name]]
        self.start_process(name, None)

    @rule(name=PROCESSES)
    def replace(self, name):
        incarnation = self.names[name]
        if any(item[0] == incarnation for item in self.running):
            return
        returns, handover = self.shares[incarnation].hand_over(self.now_s)
        self.send(name, returns)
        del self.shares[incarnation]
        self.start_process(name, handover)

    @invariant()
    def quota_holds(self):
        assert len(self.running) <= self.quota, self.running


class TestQuotaShares(testtools.TestCase):
    def run_machine(self, fleet_quota):
        machine = type("Machine", (Fleet,), {"quota": fleet_quota})
        run_state_machine_as_test(
            machine,
            settings=settings(
                derandomize=True,
                deadline=None,
                database=None,
                max_examples=150,
                stateful_step_count=50,
                suppress_health_check=list(HealthCheck),
            ),
        )

    def test_running_never_exceeds_a_quota_below_the_number_of_processes(self):
        self.run_machine(3)

    def test_running_never_exceeds_a_quota_above_the_number_of_processes(self):
        self.run_machine(9)

    def test_base_shares_sum_to_the_quota_and_never_fall_as_it_rises(self):
        fleet = [f"p{n}" for n in range(7)]
        before = dict.fromkeys(fleet, 0)
        for quota in range(40):
            shares = {name: base_share("a", quota, name, fleet) for name in fleet}
            self.assertEqual(quota, sum(shares.values()))
            self.assertTrue(all(shares[name] >= before[name] for name in fleet))
            before = shares


class TestLoans(testtools.TestCase):
    """Loans between two processes with a quota of four."""

    def setUp(self):
        super().setUp()
        self.shares = {
            name: QuotaShares(
                process=name,
                fleet=["p1", "p2"],
                started_s=0.0,
                longest_task_s=2.0,
                handover=QuotaHandover(),
            )
            for name in ("p1", "p2")
        }
        for shares in self.shares.values():
            shares.set_quota(0.0, "a", 4)

    def borrow(self, now_s, waiting):
        [request] = self.shares["p1"].tick(now_s, {"a": waiting}, {"p2": "p2"})
        [grant] = self.shares["p2"].receive(now_s, "p1", request.message)
        self.shares["p1"].receive(now_s, "p2", grant.message)
        return request.message

    def shared(self, now_s):
        return [self.shares[name].share(now_s, "a") for name in ("p1", "p2")]

    def test_a_process_with_demand_borrows_the_idle_share(self):
        self.borrow(1.0, 4)
        self.assertEqual([4, 0], self.shared(1.0))

    def test_a_lender_keeps_the_share_it_needs(self):
        self.shares["p2"].tick(1.0, {"a": 1}, {})
        self.borrow(1.0, 4)
        self.assertEqual([3, 1], self.shared(1.0))

    def test_an_unused_loan_is_returned_early(self):
        self.borrow(1.0, 4)
        [returned] = self.shares["p1"].tick(2.5, {}, {"p2": "p2"})
        self.assertIsInstance(returned.message, QuotaReturn)
        self.shares["p2"].receive(2.5, "p1", returned.message)
        self.assertEqual([2, 2], self.shared(2.5))

    def test_a_loan_is_returned_only_once_running_tasks_fit_without_it(self):
        self.borrow(1.0, 4)
        for _ in range(3):
            self.shares["p1"].note_started(1.0, "a")
        for now_s in (3.0, 1.0 + LOAN_TERM_S):
            self.assertEqual([], self.shares["p1"].tick(now_s, {}, {}))
        self.shares["p1"].note_ended(6.5, "a")
        [returned] = self.shares["p1"].tick(6.5, {}, {})
        self.assertIsInstance(returned.message, QuotaReturn)

    def test_no_task_starts_on_an_expired_loan(self):
        self.borrow(1.0, 4)
        self.assertEqual(4, self.shares["p1"].share(0.99 + LOAN_TERM_S, "a"))
        self.assertEqual(2, self.shares["p1"].share(1.0 + LOAN_TERM_S, "a"))

    def test_loan_of_a_lost_borrower_is_reclaimed_after_term_and_longest_task(self):
        self.borrow(1.0, 4)
        self.assertEqual(0, self.shares["p2"].share(1.0 + LOAN_TERM_S + 1.9, "a"))
        self.assertEqual(2, self.shares["p2"].share(1.0 + LOAN_TERM_S + 2.0, "a"))

    def test_a_repeated_request_is_granted_once(self):
        request = self.borrow(1.0, 3)
        self.shares["p2"].receive(1.1, "p1", request)
        self.assertEqual([3, 1], self.shared(1.1))

    def test_a_killed_predecessor_delays_the_base_share(self):
        restarted = QuotaShares(process="p1", fleet=["p1"], started_s=10.0, longest_task_s=2.0)
        restarted.set_quota(10.0, "a", 4)
        self.assertEqual(0, restarted.share(10.0 + LOAN_TERM_S + 1.9, "a"))
        self.assertEqual(4, restarted.share(10.0 + LOAN_TERM_S + 2.0, "a"))
        [refusal] = restarted.receive(11.0, "p2", QuotaRequest("a", 1, 2, 11.0))
        self.assertEqual(0, refusal.message.amount)


class TestReplacedShares(testtools.TestCase):
    """One incarnation replaces its shares after it has borrowed."""

    def shares(self, process, **more):
        shares = QuotaShares(
            process=process,
            fleet=FLEET[:2],
            started_s=0.0,
            longest_task_s=LONGEST_TASK_S,
            handover=QuotaHandover(),
            **more,
        )
        shares.set_quota(0.0, "a", 2)
        return shares

    def borrow(self, now_s, borrower, lender):
        [request] = borrower.tick(now_s, {"a": 9}, {"p1": "p1~1"})
        [grant] = lender.receive(now_s, "p0~1", request.message)
        borrower.receive(now_s, "p1~1", grant.message)

    def test_a_loan_of_the_old_shares_is_not_granted_again_for_a_new_term(self):
        lender, old = self.shares("p1"), self.shares("p0")
        self.borrow(0.0, old, lender)
        self.assertEqual(2, old.share(0.0, "a"))
        new = self.shares("p0", first_request_id=old.last_request_id + 1)
        self.borrow(3.0, new, lender)
        self.assertEqual(1, new.share(3.0, "a"))
