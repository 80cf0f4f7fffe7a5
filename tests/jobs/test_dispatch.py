"""The dispatcher on fakes: which tasks may start, and the answers of jobs that did not run."""

import itertools
import random
from collections import Counter

import eventlet
import msgspec
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from burdocklug.endpoints import AttemptResult
from burdocklug.endpoints._view import EndpointView
from burdocklug.jobs._context import DispatchContext
from burdocklug.jobs._dispatch import PROBE_INTERVAL_S, Dispatcher
from burdocklug.jobs._ledger import Ledger, RecordState
from burdocklug.jobs._models import parse_submission
from burdocklug.kernel import BurdocklugError, JobSettings
from burdocklug.peers import Member, MemberState
from burdocklug.retries import Finished, NotRun, RetryBudget, Unknown
from burdocklug.routing import SlotRequest
from burdocklug.tickets import Configuration, ConfigValue, apply_ticket, ticket_from_data
from tests.fakes import FakeClock, FakeHub, FakePeers
from tests.jobs.nodes import body

TICKET = {
    "number": 1,
    "operator": "test",
    "objects": {
        "service/press": {
            "weight": "latency",
            "max_queue": 100,
            "max_tasks": 100,
            "task_timeout_s": 10.0,
        },
        "endpoints/press": {
            "endpoints": [
                {
                    "name": f"e{n}",
                    "address": f"127.0.0.1:{9000 + n}",
                    "host": "127.0.0.1",
                    "failure_domain": "north",
                    "rack": "r1",
                    "slots": 2,
                    "max_connections": 64,
                    "accelerators": 0,
                }
                for n in range(2)
            ]
        },
        "team/vat": {"max_running": 100, "weight": 1},
    },
}


class DispatcherTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.ledger = Ledger(max_sessions=9, max_records=99, max_bytes=10**6, idle_s=1e9)
        self.ledger.open_session("s", now_s=0.0)
        self.sent, self.cancelled = Counter(), []
        self.outcomes = {}
        self.ejected = set()
        configuration = Configuration()
        configuration.merge(apply_ticket(ConfigValue(), ticket_from_data(TICKET))[0])
        self.dispatcher = Dispatcher(self.context(configuration))
        self.dispatcher.start_timers()
        self.clock.advance(2.0)

    def context(self, configuration):
        return DispatchContext(
            settings=JobSettings(),
            timers=self.clock.timers,
            configuration=configuration,
            peers=FakePeers(FakeHub(), "p1"),
            ledger=self.ledger,
            incarnation="p1",
            failure_domain="north",
            run_attempt=self.run_attempt,
            cancel_attempt=lambda address, attempt_id: self.cancelled.append(attempt_id),
            endpoint_view=EndpointView(random.Random(1)),
            endpoint_usable=lambda service, endpoint, now: endpoint.address not in self.ejected,
            endpoint_changes=lambda: len(self.ejected),
            live_members=list,
            team_may_start=lambda team: True,
            note_team_started=lambda team: None,
            note_team_ended=lambda team: None,
            retry_budget=RetryBudget(),
            retry_delay_s=lambda retries: 0.01,
        )

    def run_attempt(self, service, address, attempt, *, expected_s):
        self.sent[attempt.task_id] += 1
        outcome = self.outcomes.get(attempt.task_id, "ok")
        if outcome == "ok":
            return finished(attempt, ok=True)
        if outcome == "failed":
            return finished(attempt, ok=False)
        if outcome == "full once" and self.sent[attempt.task_id] == 1:
            return NotRun("full")
        if outcome == "full once":
            return finished(attempt, ok=True)
        return outcome

    def start(self, tasks=1, *, number=1, size_bytes=0, **more):
        record, _ = self.ledger.get_or_add("s", number, b"d", now_s=self.clock())
        data = body(tasks=[{"payload": n} for n in range(tasks)], **more)
        submission = parse_submission(data, max_tasks=100, max_deadline_s=100)
        self.dispatcher.start(record, submission, size_bytes=size_bytes)
        return record

    def run_until_finished(self, record, seconds=5.0):
        until = self.clock() + seconds
        while record.state is RecordState.RUNNING and self.clock() < until:
            eventlet.sleep(0)
            self.clock.advance(0.01)
        return msgspec.json.decode(record.answer)


def finished(attempt, *, ok):
    value = attempt.payload if ok else "broken"
    return Finished(AttemptResult(attempt.attempt_id, attempt.task_id, ok, value, 0.1, 1, False))


class FullMemoryTest(DispatcherTestCase):
    """Guards against jobs that wait without a caller in such numbers that the memory ends."""

    def test_a_job_beyond_the_memory_is_refused_until_others_have_ended(self):
        limit = self.dispatcher.ctx.settings.max_job_bytes
        first = self.start(size_bytes=limit)
        with ExpectedException(BurdocklugError, ".* bytes of memory beside"):
            self.start(number=2, size_bytes=1)
        self.run_until_finished(first)
        self.run_until_finished(self.start(number=3, size_bytes=limit))
        self.assertThat(self.dispatcher.table.held_bytes, Equals(0))


class DispatcherTest(DispatcherTestCase):
    def test_results_come_in_the_order_of_the_tasks(self):
        answer = self.run_until_finished(self.start(tasks=9))
        self.assertThat(answer["results"], Equals(list(range(9))))
        self.assertThat(set(self.sent.values()), Equals({1}))

    def test_first_job_of_a_service_does_not_wait_until_its_allocator_has_taken_over(self):
        self.run_until_finished(self.start(), seconds=0.1)
        self.assertThat(self.sent, Equals(Counter({"s~1/0": 1})))

    def test_a_task_that_failed_fails_the_whole_job(self):
        self.outcomes["s~1/2"] = "failed"
        answer = self.run_until_finished(self.start(tasks=4))
        self.assertThat(answer["error"]["kind"], Equals("task_failed"))
        self.assertThat((answer["error"]["task"], "results" in answer), Equals((2, False)))

    def test_a_task_whose_outcome_is_unknown_is_never_sent_again(self):
        self.outcomes["s~1/0"] = Unknown("deadline")
        answer = self.run_until_finished(self.start())
        self.assertThat(
            (answer["error"]["kind"], answer["error"]["ran"]),
            Equals(("outcome_unknown", "unknown")),
        )
        self.clock.advance(2.0)
        self.assertThat(self.sent["s~1/0"], Equals(1))

    def test_a_task_that_did_not_start_is_sent_again(self):
        self.outcomes["s~1/0"] = "full once"
        answer = self.run_until_finished(self.start())
        self.assertThat((answer["state"], self.sent["s~1/0"]), Equals(("complete", 2)))

    def test_a_job_cancelled_before_its_first_greenlet_runs_starts_nothing(self):
        record = self.start(tasks=4)
        lane = self.dispatcher.lanes["press"]
        self.dispatcher._dispatch_tasks(lane)
        self.assertTrue(len(lane.queue) < 4)
        self.dispatcher.cancel(record.job)
        answer = msgspec.json.decode(record.answer)
        for _ in range(5):
            eventlet.sleep(0)
        self.assertThat((answer["error"]["ran"], self.sent), Equals(("no", Counter())))

    def test_a_job_past_its_deadline_is_never_started(self):
        self.dispatcher.ctx.team_may_start = lambda team: False
        record = self.start(deadline_s=1.0)
        self.clock.advance(1.1)
        answer = msgspec.json.decode(record.answer)
        self.assertThat(
            (answer["error"]["kind"], answer["error"]["ran"]), Equals(("deadline_exceeded", "no"))
        )
        self.dispatcher.ctx.team_may_start = lambda team: True
        self.clock.advance(1.0)
        eventlet.sleep(0)
        self.assertThat(self.sent, Equals(Counter()))

    def test_leases_of_tasks_that_never_ran_are_released(self):
        record = self.start(tasks=4)
        self.dispatcher._dispatch_tasks(self.dispatcher.lanes["press"])
        self.dispatcher.cancel(record.job)
        for _ in range(5):
            eventlet.sleep(0)
        held, idle = self.dispatcher.lanes["press"].router.holder.lease_counts()
        self.assertThat(held, Equals(idle))


class RemoteAllocatorTest(DispatcherTestCase):
    """A process in a failure domain without endpoints requests slots from a remote allocator."""

    def context(self, configuration):
        self.state = MemberState.ALIVE
        self.requested = []
        hub = FakeHub()
        FakePeers(hub, "p2").register(SlotRequest, self.record_request)
        ctx = super().context(configuration)
        ctx.peers = FakePeers(hub, "p1")
        ctx.failure_domain = "south"
        ctx.live_members = lambda: [Member("p2", "p2", "p2", "north", self.state)]
        return ctx

    def record_request(self, _sender, message):
        self.requested.append(message.waiting)

    def test_a_suspect_allocator_gets_no_requests(self):
        self.state = MemberState.SUSPECT
        self.clock.advance(1.0)
        self.start()
        self.clock.advance(1.0)
        self.assertThat(sum(self.requested), Equals(0))

    def test_an_allocator_that_is_no_longer_suspect_gets_requests_before_it_reports_its_load(self):
        self.state = MemberState.SUSPECT
        self.clock.advance(1.0)
        self.state = MemberState.ALIVE
        self.clock.advance(1.0)
        self.start()
        self.clock.advance(1.0)
        self.assertThat(self.requested[:1], Equals([1]))


class FailingEndpointTest(DispatcherTestCase):
    """An endpoint that fails every task immediately and is ejected at its first failure."""

    FAULTY = "127.0.0.1:9000"
    SLOTS = 2

    def run_attempt(self, service, address, attempt, *, expected_s):
        self.sent[address] += 1
        if address != self.FAULTY:
            eventlet.sleep(0)
            return finished(attempt, ok=True)
        self.ejected.add(address)
        return finished(attempt, ok=False)

    def test_it_gets_no_more_tasks_than_its_slots_before_it_is_ejected(self):
        """Guards against reuse of its leases until the next routing refresh, 0.25 s later."""
        for number in range(1, 41):
            self.start(number=number)
        for _ in range(100):
            eventlet.sleep(0)
            self.clock.advance(0.001)
        self.assertThat(self.sent.total(), Equals(40))
        self.assertTrue(1 <= self.sent[self.FAULTY] <= self.SLOTS, self.sent)


class ProbePaceTest(DispatcherTestCase):
    def test_interval_between_searches_for_due_probes_does_not_depend_on_the_number_of_tasks(self):
        times = []

        def due_probes(_service, now):
            times.append(now)
            return ()

        self.dispatcher.ctx.endpoint_view.due_probes = due_probes
        record = self.start(tasks=100)
        self.run_until_finished(record)
        self.assertThat(sum(self.sent.values()), Equals(100))
        pauses = [after - before for before, after in itertools.pairwise(times)]
        self.assertThat(bool(times), Equals(True))
        self.assertThat([pause for pause in pauses if pause < PROBE_INTERVAL_S - 1e-9], Equals([]))
