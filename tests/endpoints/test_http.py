import eventlet

eventlet.monkey_patch()

import socket  # noqa: E402

from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals, Is  # noqa: E402

from burdocklug.endpoints import (  # noqa: E402
    AttemptPhase,
    EndpointUnresponsive,
    HttpEndpoints,
    MaybeStarted,
    NotStarted,
    endpoint_protocols,
)
from tests.endpoints.support import (  # noqa: E402
    attempt,
    local_endpoint,
    own_value,
    set_faults,
    starts_by_task,
)


class HttpEndpointsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.endpoint = local_endpoint()
        self.addCleanup(self.endpoint.close)
        self.address = self.endpoint.address
        self.clock = [0.0]
        self.http = HttpEndpoints(connect_timeout_s=0.3, now=lambda: self.clock[0])

    def start(self, number=0, timeout_s=5.0, **payload):
        return self.http.start(self.address, attempt(number, **payload), timeout_s=timeout_s)

    def test_registered(self):
        self.assertThat(endpoint_protocols.get("http"), Is(HttpEndpoints))

    def test_result_is_whole_and_own(self):
        result = self.start(3, value={"weave": [1, 2]})
        self.assertThat(result.value, Equals(own_value(attempt(3), {"weave": [1, 2]})))
        self.assertThat((result.ok, result.free_slots, result.leaving), Equals((True, 8, False)))

    def test_id_with_reserved_characters_stays_one_id(self):
        sent = attempt()
        odd = type(sent)("s~1/0?x=%2F\r\n é", sent.task_id, "loom", None, 5.0)
        self.assertThat(self.http.start(self.address, odd, timeout_s=5).task_id, Equals("job.1/0"))
        state = self.http.query_attempt(self.address, odd.attempt_id, timeout_s=5)
        self.assertThat(state.phase, Equals(AttemptPhase.FINISHED))

    def test_one_megabyte_both_ways(self):
        value = "yarn" * 250_000
        self.assertThat(self.start(value=value).value["value"], Equals(value))

    def test_connection_is_kept(self):
        for number in range(20):
            self.start(number)
        self.assertThat(self.http.counts["opened"], Equals(1))

    def test_connections_are_bounded(self):
        self.http.max_connections = 3
        pool = eventlet.GreenPool()
        results = list(pool.imap(lambda n: self.start(n, run_s=0.01), range(24)))
        self.assertThat(len({r.value["digest"] for r in results}), Equals(24))
        self.assertThat(self.endpoint.state.max_connections_seen, Equals(3))

    def test_idle_connection_is_closed_by_the_clock(self):
        self.start()
        self.clock[0] = 14.9
        self.http.close_idle(self.clock[0])
        self.assertThat(self.http.counts["idle_closed"], Equals(0))
        self.clock[0] = 15.1
        self.http.close_idle(self.clock[0])
        self.assertThat(self.http.counts["idle_closed"], Equals(1))

    def test_old_connection_is_not_used_even_if_nobody_closed_it(self):
        self.start(0)
        self.clock[0] = 15.1
        self.start(1)
        self.assertThat(self.http.counts["opened"], Equals(2))

    def test_connection_closed_by_the_endpoint_is_replaced(self):
        set_faults(self.endpoint, close_after_answer=True)
        for number in range(5):
            self.start(number)
            eventlet.sleep(0.02)
        self.assertThat(self.http.counts["opened"], Equals(5))
        starts = starts_by_task(self.endpoint.state.starts)
        self.assertThat(set(starts.values()), Equals({1}))

    def test_retired_connections_are_not_used_again(self):
        busy = eventlet.spawn(self.start, 0, run_s=0.1)
        self.start(1)
        eventlet.sleep(0.02)
        self.http.retire(self.address)
        self.assertThat(busy.wait().ok, Is(True))
        self.start(2)
        self.assertThat(self.http.counts["opened"], Equals(3))

    def test_refused(self):
        self.endpoint.close()
        exc = self.assertRaises(NotStarted, self.start)
        self.assertThat(exc.reason, Equals("refused"))

    def test_connect_timeout_is_not_started(self):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        exc = self.assertRaises(NotStarted, self.start)
        self.assertThat(exc.reason, Equals("refused"))
        for sock in [listener, *fillers]:
            sock.close()

    def test_no_free_connection_is_not_started(self):
        self.http.max_connections = 1
        busy = eventlet.spawn(self.start, 0, run_s=0.3)
        eventlet.sleep(0.02)
        self.assertRaises(NotStarted, self.start, 1, timeout_s=0.05)
        self.assertThat(busy.wait().ok, Is(True))
        self.assertThat(len(self.endpoint.state.starts), Equals(1))

    def test_timeout_after_sending_is_maybe_started(self):
        exc = self.assertRaises(MaybeStarted, self.start, run_s=0.5, timeout_s=0.1)
        self.assertThat(exc.cause, Equals("timeout"))
        self.assertThat(
            self.http.query_attempt(self.address, "attempt-0", timeout_s=5, wait_s=2).phase,
            Equals(AttemptPhase.FINISHED),
        )

    def test_ask_fences_and_takes_a_new_connection(self):
        self.start(0)
        state = self.http.query_attempt(self.address, "attempt-1", timeout_s=5)
        self.assertThat(state.phase, Equals(AttemptPhase.NOT_STARTED))
        exc = self.assertRaises(NotStarted, self.start, 1)
        self.assertThat(exc.reason, Equals("fenced"))
        self.assertThat(self.http.counts["opened"], Equals(2))

    def test_cancel_ends_a_running_task_and_fences_an_unknown_one(self):
        busy = eventlet.spawn(self.start, 0, run_s=5.0)
        eventlet.sleep(0.02)
        self.http.cancel(self.address, ["attempt-0", "attempt-1"], timeout_s=5)
        result = busy.wait()
        self.assertThat((result.ok, result.value), Equals((False, "cancelled")))
        self.assertRaises(NotStarted, self.start, 1)

    def test_status(self):
        status = self.http.status(self.address, timeout_s=5)
        self.assertThat((status.slots, status.free_slots, status.leaving), Equals((8, 8, False)))

    def test_unanswered_questions_are_silence(self):
        set_faults(self.endpoint, accept_and_never_answer=True)
        for call in (
            lambda: self.http.query_attempt(self.address, "x", timeout_s=0.1),
            lambda: self.http.cancel(self.address, ["x"], timeout_s=0.1),
            lambda: self.http.status(self.address, timeout_s=0.1),
        ):
            self.assertThat(self.assertRaises(EndpointUnresponsive, call).cause, Equals("timeout"))

    def test_killed_caller_leaves_no_connection_behind(self):
        self.http.max_connections = 1
        busy = eventlet.spawn(self.start, 0, run_s=5.0)
        eventlet.sleep(0.02)
        busy.kill()
        self.assertThat(self.start(1).ok, Is(True))
