from testtools import ExpectedException, TestCase
from testtools.matchers import Contains, Equals

from burdocklug.kernel import BurdocklugError
from burdocklug.web._budget import ClientBudget, RequestAccount
from burdocklug.web._clients import Phase, RefusalReason

MAX_BYTES = 1000


class BudgetTestCase(TestCase):
    """A budget in virtual time."""

    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.budget = ClientBudget(MAX_BYTES, now=lambda: self.now_s)
        self.dropped = []

    def open(self, *, phase=Phase.RECEIVING, listener="a"):
        """Return a connection that is opened a second after the one before."""
        self.now_s += 1.0
        conn = self.budget.open(listener, f"client-{self.now_s}")
        conn.phase = phase
        conn.drop = lambda _exc: self.dropped.append(conn)
        return conn

    def hold(self, conn, count):
        self.now_s += 1.0
        self.budget.note_progress(conn)
        self.budget.charge(conn, count)


class MemoryTest(BudgetTestCase):
    def test_the_request_without_progress_for_longest_gives_way(self):
        first, second, third = (self.open() for _ in range(3))
        for conn in (first, second):
            self.hold(conn, 400)
        self.now_s += 1.0
        self.hold(first, 100)
        self.hold(third, 400)
        self.assertThat(self.dropped, Equals([second]))
        self.assertThat(self.budget.held_bytes, Equals(900))

    def test_as_many_give_way_as_needed(self):
        crowd = [self.open() for _ in range(10)]
        for conn in crowd:
            self.hold(conn, 100)
        self.hold(self.open(), 950)
        self.assertThat(self.dropped, Equals(crowd))

    def test_a_request_that_has_arrived_whole_does_not_give_way(self):
        whole = self.open()
        self.hold(whole, 900)
        whole.phase = Phase.SERVING
        with ExpectedException(BurdocklugError):
            self.hold(self.open(), 200)
        self.assertThat((self.dropped, whole.held_bytes), Equals(([], 900)))

    def test_a_dropped_request_gets_no_more_memory_and_is_not_counted_twice(self):
        old, new = self.open(), self.open()
        self.hold(old, 900)
        self.hold(new, 500)
        with ExpectedException(BurdocklugError):
            self.hold(old, 1)
        self.budget.close(old)
        self.assertThat(self.budget.held_bytes, Equals(500))

    def test_the_error_says_that_nothing_ran_and_when_to_come_again(self):
        try:
            self.hold(self.open(), MAX_BYTES + 1)
        except BurdocklugError as exc:
            self.assertThat(
                (exc.kind, exc.ran, exc.retry_after_s), Equals(("server_busy", "no", 1))
            )

    def test_released_bytes_can_be_held_again(self):
        conn = self.open()
        for _ in range(5):
            self.hold(conn, MAX_BYTES)
            self.budget.release(conn)
        self.assertThat((self.dropped, self.budget.held_bytes), Equals(([], 0)))


class AccountTest(BudgetTestCase):
    def test_a_request_is_not_dropped_once_its_body_has_arrived(self):
        conn = self.open(phase=Phase.IDLE)
        account = RequestAccount(self.budget, conn)
        with account.receiving_body():
            account.receive(900)
            self.assertTrue(conn.may_give_way)
        with ExpectedException(BurdocklugError):
            self.hold(self.open(), 200)
        self.assertThat(self.dropped, Equals([]))

    def test_a_request_that_was_dropped_as_its_body_ended_is_refused(self):
        conn = self.open(phase=Phase.IDLE)
        account = RequestAccount(self.budget, conn)
        with ExpectedException(BurdocklugError), account.receiving_body():
            account.receive(900)
            self.hold(self.open(), 200)


class RefusalsTest(BudgetTestCase):
    def test_each_is_counted(self):
        conn = self.open()
        for _ in range(3):
            self.budget.note(RefusalReason.BODY_SLOW, conn)
        self.assertThat(self.budget.counts()["refused"]["body_slow"], Equals(3))

    def test_one_line_a_second_tells_a_reason_and_how_many(self):
        from structlog.testing import capture_logs

        conn = self.open()
        with capture_logs() as lines:
            for _ in range(100):
                self.now_s += 1 / 16
                self.budget.note(RefusalReason.BODY_SLOW, conn)
        self.assertThat([line["refusals"] for line in lines], Equals([1] + [16] * 6))
        self.assertThat(lines[0], Contains("client"))
