import random

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.jobs._ledger import RECORD_BYTES, Ledger, RecordState
from burdocklug.kernel import BurdocklugError, ErrorKind
from tests.scenarios import with_scenarios


def small_ledger(**changes):
    limits = {"max_sessions": 3, "max_records": 5, "max_bytes": 100_000, "idle_s": 60.0, **changes}
    return Ledger(**limits)


def raised_kind(action, *args, **kwargs):
    try:
        action(*args, **kwargs)
    except BurdocklugError as exc:
        return exc.kind
    return None


class LedgerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = small_ledger()
        self.ledger.open_session("s", now_s=0.0)

    def run_job(self, sequence, answer=b"{}"):
        record, is_new = self.ledger.get_or_add("s", sequence, b"d", now_s=1.0)
        if is_new:
            self.ledger.finish(record, 200, answer)
        return record, is_new

    def test_a_key_is_new_once(self):
        first, new_first = self.run_job(1)
        second, new_second = self.run_job(1)
        self.assertThat((new_first, new_second), Equals((True, False)))
        self.assertIs(first, second)

    def test_another_body_is_a_conflict(self):
        self.run_job(1)
        kind = raised_kind(self.ledger.get_or_add, "s", 1, b"other", now_s=2.0)
        self.assertThat(kind, Equals(ErrorKind.KEY_CONFLICT))

    def test_an_unknown_session_is_never_new(self):
        kind = raised_kind(self.ledger.get_or_add, "t", 1, b"d", now_s=2.0)
        self.assertThat(kind, Equals(ErrorKind.SESSION_UNKNOWN))

    def test_an_acknowledged_key_is_refused_for_good(self):
        self.run_job(1)
        self.run_job(2)
        self.ledger.acknowledge("s", 1)
        self.assertThat(raised_kind(self.run_job, 1), Equals(ErrorKind.KEY_EXPIRED))
        self.assertThat(self.run_job(2)[1], Equals(False))

    def test_acknowledging_a_running_job_keeps_its_record(self):
        record, _ = self.ledger.get_or_add("s", 1, b"d", now_s=1.0)
        self.ledger.acknowledge("s", 1)
        self.assertIs(self.ledger.get_or_add("s", 1, b"d", now_s=1.0)[0], record)

    def test_a_skipped_sequence_below_the_low_water_mark_is_refused(self):
        for sequence in (2, 3, 4, 5, 6, 7, 8):
            self.run_job(sequence)
        self.assertThat(raised_kind(self.run_job, 1), Equals(ErrorKind.KEY_EXPIRED))

    def test_waiters_wake_once_with_the_answer(self):
        record, _ = self.ledger.get_or_add("s", 1, b"d", now_s=1.0)
        woken = []
        record.waiters.append(type("Waiter", (), {"send": lambda self, value: woken.append(1)})())
        self.ledger.finish(record, 200, b"x")
        self.assertThat((woken, record.waiters), Equals(([1], [])))

    def test_idle_sessions_are_dropped_unless_a_job_runs(self):
        self.ledger.get_or_add("s", 1, b"d", now_s=0.0)
        self.ledger.open_session("t", now_s=0.0)
        self.assertThat(self.ledger.drop_idle(now_s=61.0), Equals(1))
        self.assertThat(list(self.ledger.sessions), Equals(["s"]))

    def test_a_new_session_replaces_the_one_idle_longest(self):
        for name in ("t", "u", "v"):
            self.ledger.open_session(name, now_s=1.0)
        self.assertThat(list(self.ledger.sessions), Equals(["t", "u", "v"]))

    def test_sessions_with_running_jobs_are_not_dropped_for_a_new_one(self):
        for name in ("t", "u"):
            self.ledger.open_session(name, now_s=1.0)
        for name in ("s", "t", "u"):
            self.ledger.get_or_add(name, 1, b"d", now_s=1.0)
        kind = raised_kind(self.ledger.open_session, "v", now_s=2.0)
        self.assertThat(kind, Equals(ErrorKind.QUEUE_FULL))


@with_scenarios
class LedgerBoundTest(TestCase):
    """The memory limit holds for a caller that never acknowledges answers."""

    scenarios = [
        ("100,000 jobs of one session", {"jobs": 100_000, "sessions": 1, "answer": 100}),
        ("many sessions", {"jobs": 20_000, "sessions": 500, "answer": 100}),
        ("answers of 1,700 tasks", {"jobs": 500, "sessions": 5, "answer": 1700 * 100}),
    ]

    def test_records_and_bytes_stay_bounded(self):
        ledger = Ledger(max_sessions=100, max_records=1000, max_bytes=2_000_000, idle_s=1e9)
        rng = random.Random(1)
        starts = 0
        for number in range(self.jobs):
            name = f"s{rng.randrange(self.sessions)}"
            if name not in ledger.sessions:
                ledger.open_session(name, now_s=number)
            session = ledger.sessions[name]
            sequence = max(session.records, default=session.low_water_mark) + 1
            record, is_new = ledger.get_or_add(name, sequence, b"d", now_s=number)
            starts += is_new
            ledger.finish(record, 200, bytes(self.answer))
            self.assertTrue(ledger.bytes <= 2_000_000)
        self.assertThat(starts, Equals(self.jobs))
        kept = [r for s in ledger.sessions.values() for r in s.records.values()]
        self.assertThat(sum(r.size_bytes for r in kept), Equals(ledger.bytes))
        self.assertTrue(all(len(s.records) <= 1001 for s in ledger.sessions.values()))
        self.assertTrue(len(kept) * RECORD_BYTES <= 2_000_000)
        self.assertThat(len(ledger._finished), Equals(len(kept)))


class LedgerNeverStartsTwiceTest(TestCase):
    """A key is new at most once in any order of submissions, acknowledgements and evictions."""

    def test_random_histories(self):
        for seed in range(200):
            rng = random.Random(seed)
            ledger = small_ledger(max_bytes=6 * RECORD_BYTES)
            ledger.open_session("s", now_s=0.0)
            started = set()
            for _ in range(60):
                self.step(rng, ledger, started)

    def step(self, rng, ledger, started):
        sequence = rng.randint(1, 12)
        if rng.random() < 0.15:
            ledger.acknowledge("s", sequence)
            return
        try:
            record, is_new = ledger.get_or_add("s", sequence, b"d", now_s=0.0)
        except BurdocklugError:
            return
        if is_new:
            self.assertNotIn(sequence, started)
            started.add(sequence)
        if record.state is RecordState.RUNNING and rng.random() < 0.7:
            ledger.finish(record, 200, bytes(rng.randint(0, 500)))
