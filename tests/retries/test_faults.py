"""Attempts at faulty endpoints: outcomes, checked against the starts that the stand-in recorded."""

import eventlet

eventlet.monkey_patch()

import socket  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402

import urllib3  # noqa: E402
from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals, IsInstance  # noqa: E402

from burdocklug.endpoints import HttpEndpoints  # noqa: E402
from burdocklug.retries import Finished, NotRun, Unknown, run_attempt  # noqa: E402
from standins.launch import launch  # noqa: E402
from standins.ports import free_address  # noqa: E402
from tests.endpoints.support import (  # noqa: E402
    RemoteEndpoint,
    attempt,
    local_endpoint,
    own_value,
    set_faults,
    starts_by_task,
)

EXPECTED_S = 0.15
DEADLINE_S = 1.2
SETTLE_S = 0.6  # longer than every delay in the table, so that late starts are recorded


@dataclass(frozen=True)
class Case:
    """One row: faults and payload, and the expected outcome, starts and counts."""

    name: str
    faults: dict
    outcome: object
    starts: int
    payload: dict = field(default_factory=lambda: {"run_s": 0.02, "value": 7})
    tasks: int = 1
    why: str | None = None
    counts: dict = field(default_factory=dict)


CASES = [
    Case("healthy", {}, Finished, 1, counts={"asks": 0}),
    Case("full", {"refuse": True}, NotRun, 0, why="full", counts={"asks": 0}),
    Case("leaving", {"leaving": True}, NotRun, 0, why="leaving", counts={"asks": 0}),
    Case("fenced_before_arrival", {"delay_before_start_s": 0.4}, NotRun, 0, why="ask_not_started"),
    Case("answer_lost_after_run", {"lose_answers": True}, Finished, 1, counts={"asks": 1}),
    Case("answer_lost_while_running", {"lose_answers_early": True}, Finished, 1),
    Case("answer_never_sent", {"hold_answers": True}, Finished, 1, counts={"silent_links": 1}),
    Case("never_answers", {"accept_and_never_answer": True}, Unknown, 0, why="deadline"),
    Case("half_answer", {"half_answer": True}, Finished, 1, counts={"asks": 1}),
    Case("garbage", {"garbage": True}, Finished, 1, counts={"broken_garbage": 1}),
    Case("crossed", {"crossed": True}, Finished, 1, tasks=3, counts={"broken_crossed": 2}),
    Case("answered_twice", {"answer_twice": True}, Finished, 1, tasks=4),
    Case("ten_times_slow", {"slow_factor": 10.0}, Finished, 1, {"run_s": 0.04, "value": 7}),
    Case("closed_between_requests", {"close_after_answer": True}, Finished, 1, tasks=4),
    Case("redirect", {"redirect": "127.0.0.1:1"}, NotRun, 0, why="ask_not_started"),
    Case("megabyte", {}, Finished, 1, {"value": "x" * 1_000_000}),
    Case("megabyte_lost", {"lose_answers": True}, Finished, 1, {"value": "x" * 1_000_000}),
    Case("late", {}, Finished, 1, {"run_s": 0.5, "value": 7}, counts={"silent_starts": 1}),
    Case("past_deadline", {}, Unknown, 1, {"run_s": 1.6}, why="deadline"),
]


class AttemptTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.http = HttpEndpoints(connect_timeout_s=0.3)
        self.counts = Counter()

    def run_attempt(self, address, sent, deadline_s=DEADLINE_S, expected_s=EXPECTED_S):
        deadline = time.monotonic() + deadline_s
        return run_attempt(self.http, address, sent, deadline, expected_s, counts=self.counts)

    def assert_outcome(self, outcome, kind, why=None):
        self.assertThat(outcome, IsInstance(kind))
        if isinstance(outcome, NotRun):
            self.assertThat(outcome.reason, Equals(why))
        if isinstance(outcome, Unknown):
            self.assertThat(outcome.reason, Equals(why))

    def remote(self, port=0):
        endpoint = RemoteEndpoint(port)
        self.addCleanup(endpoint.kill)
        return endpoint


class FaultTableTest(AttemptTestCase):
    def check(self, case):
        endpoint = local_endpoint()
        self.addCleanup(endpoint.close)
        set_faults(endpoint, **case.faults)
        for number in range(case.tasks):
            sent = attempt(number, **case.payload)
            outcome = self.run_attempt(endpoint.address, sent)
            self.assert_outcome(outcome, case.outcome, case.why)
            if case.outcome is Finished:
                expected = own_value(sent, case.payload["value"])
                self.assertThat(outcome.result.value, Equals(expected))
                self.assertThat(outcome.result.task_id, Equals(sent.task_id))
        eventlet.sleep(SETTLE_S)
        starts = starts_by_task(endpoint.state.starts)
        expected = {f"job.1/{n}": case.starts for n in range(case.tasks) if case.starts}
        self.assertThat(starts, Equals(expected))
        self.assertThat({name: self.counts[name] for name in case.counts}, Equals(case.counts))


def _add_fault_tests():
    for case in CASES:
        name = f"test_{case.name}"
        setattr(FaultTableTest, name, lambda self, case=case: self.check(case))


_add_fault_tests()


class ConnectTest(AttemptTestCase):
    def test_refused_connection_is_not_run(self):
        endpoint = local_endpoint()
        endpoint.close()
        self.assert_outcome(self.run_attempt(endpoint.address, attempt()), NotRun, "refused")
        self.assertThat(endpoint.state.starts, Equals([]))

    def test_connect_timeout_is_not_run_while_status_queries_are_unanswered(self):
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.assert_outcome(self.run_attempt(address, attempt()), NotRun, "refused")


class ProcessFaultTest(AttemptTestCase):
    def test_outcome_is_unknown_when_the_endpoint_is_killed_while_running(self):
        endpoint = self.remote()
        pending = eventlet.spawn(self.run_attempt, endpoint.address, attempt(run_s=5.0))
        starts = endpoint.wait_for_starts(1)
        endpoint.kill()
        self.assert_outcome(pending.wait(), Unknown, "deadline")
        self.assertThat(starts_by_task(starts), Equals({"job.1/0": 1}))

    def test_outcome_is_unknown_when_the_endpoint_is_replaced_at_its_address(self):
        endpoint = self.remote()
        pending = eventlet.spawn(self.run_attempt, endpoint.address, attempt(run_s=5.0), 10.0)
        starts = endpoint.wait_for_starts(1)
        endpoint.kill()
        replacement = self.remote(endpoint.port)
        self.assert_outcome(pending.wait(), Unknown, "ask_forgotten")
        self.assertThat(starts_by_task(starts + replacement.starts()), Equals({"job.1/0": 1}))

    def test_result_of_a_frozen_endpoint_is_returned_once_it_resumes(self):
        endpoint = self.remote()
        pending = eventlet.spawn(
            self.run_attempt, endpoint.address, attempt(run_s=0.3, value=7), 10.0
        )
        endpoint.wait_for_starts(1)
        endpoint.freeze()
        eventlet.sleep(1.0)
        endpoint.wake()
        outcome = pending.wait()
        self.assert_outcome(outcome, Finished)
        self.assertThat(outcome.result.value, Equals(own_value(attempt(), 7)))
        self.assertThat(starts_by_task(endpoint.starts()), Equals({"job.1/0": 1}))

    def test_attempt_at_a_frozen_endpoint_is_unknown_and_starts_at_most_once(self):
        endpoint = self.remote()
        self.run_attempt(endpoint.address, attempt(1))
        endpoint.freeze()
        outcome = self.run_attempt(endpoint.address, attempt(0))
        self.assert_outcome(outcome, Unknown, "deadline")
        endpoint.wake()
        eventlet.sleep(SETTLE_S)
        self.assertThat(starts_by_task(endpoint.starts()).get("job.1/0", 0) <= 1, Equals(True))


class SilentLinkTest(AttemptTestCase):
    def setUp(self):
        super().setUp()
        self.endpoint = local_endpoint()
        self.addCleanup(self.endpoint.close)
        self.listen, self.control = free_address(), free_address()
        args = ("--listen", self.listen, "--to", self.endpoint.address, "--control", self.control)
        link = launch("standins.link", *args, health=f"http://{self.control}/health")
        self.addCleanup(link.stop)

    def set_mode(self, mode, **options):
        """Set the mode of the link, which runs in a process of its own."""
        body = {"mode": mode, **options}
        answer = urllib3.request("POST", f"http://{self.control}/mode", json=body)
        self.assertThat(answer.status, Equals(200))

    def silence(self, direction="both"):
        self.set_mode("silent", scope="existing", direction=direction)

    def test_attempts_recover_when_only_open_connections_are_silent(self):
        for direction, reason in [("both", NotRun), ("to_server", NotRun), ("to_client", Finished)]:
            self.check_silent(direction, reason)

    def check_silent(self, direction, kind):
        self.endpoint.state.reset()
        names = [f"{direction}-{n}" for n in range(17)]
        pool = eventlet.GreenPool()
        list(pool.imap(lambda name: self.run_link(name, run_s=0.05), names[:8]))
        idle = len(self.http._connections[self.listen]._idle)
        retired = self.http.counts["retired"]
        self.counts.clear()
        self.silence(direction)
        self.assert_outcome(self.run_link(names[8], run_s=0.02), kind, "ask_not_started")
        self.assertThat(self.http.counts["retired"] - retired, Equals(idle - 1))
        for name in names[9:]:
            self.assert_outcome(self.run_link(name), Finished)
        self.assertThat(self.counts["silent_starts"], Equals(1))
        ran = {f"job.1/{name}": 1 for name in names if kind is Finished or name != names[8]}
        self.assertThat(starts_by_task(self.endpoint.state.starts), Equals(ran))

    def run_link(self, number, **payload):
        return self.run_attempt(self.listen, attempt(number, **payload))

    def test_result_is_returned_when_connections_fall_silent_during_the_task(self):
        pending = eventlet.spawn(self.run_link, 0, run_s=0.3, value=7)
        eventlet.sleep(0.05)
        self.silence()
        outcome = pending.wait()
        self.assert_outcome(outcome, Finished)
        self.assertThat(outcome.result.value, Equals(own_value(attempt(), 7)))
        self.assertThat(len(self.endpoint.state.starts), Equals(1))

    def test_result_is_returned_when_the_link_is_cut_and_restored_during_the_task(self):
        pending = eventlet.spawn(self.run_link, 0, run_s=0.3, value=7)
        eventlet.sleep(0.05)
        self.set_mode("cut")
        eventlet.sleep(0.2)
        self.set_mode("forward")
        self.assert_outcome(pending.wait(), Finished)
        self.assertThat(len(self.endpoint.state.starts), Equals(1))
