import eventlet

eventlet.monkey_patch()

from collections import Counter  # noqa: E402

from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals  # noqa: E402

from burdocklug.endpoints import (  # noqa: E402
    CancelBatcher,
    EndpointProtocol,
    EndpointUnresponsive,
    HttpEndpoints,
)
from burdocklug.kernel import TimerService  # noqa: E402
from tests.endpoints.support import attempt, local_endpoint  # noqa: E402

CANCELLATIONS = 10_000
ADDRESSES = [f"10.0.0.{n}:1" for n in range(24)]


class RecordingProtocol(EndpointProtocol):
    """Records cancellation messages; the first `silent` ones to each address fail."""

    def __init__(self, silent=0):
        self.messages = []
        self.silent = Counter({address: silent for address in ADDRESSES})

    def cancel(self, address, attempt_ids, *, timeout_s):
        self.messages.append((address, list(attempt_ids)))
        if self.silent[address] > 0:
            self.silent[address] -= 1
            raise EndpointUnresponsive("timeout", f"no answer from {address}")


class CancelBatcherTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = [0.0]
        self.timers = TimerService(now=lambda: self.clock[0])
        self.tasks = []

    def batcher(self, protocol):
        return CancelBatcher(
            protocol, self.timers, spawn=lambda call, *args: self.tasks.append((call, args))
        )

    def tick(self):
        self.clock[0] += 0.02
        self.timers.run_due()

    def run_tasks(self):
        tasks, self.tasks = self.tasks, []
        for call, args in tasks:
            call(*args)

    def test_ten_thousand_at_once_are_one_message_per_endpoint(self):
        protocol = RecordingProtocol()
        batcher = self.batcher(protocol)
        for number in range(CANCELLATIONS):
            batcher.add(ADDRESSES[number % 24], f"a{number}")
        self.assertThat(protocol.messages, Equals([]))
        self.tick()
        self.run_tasks()
        self.assertThat(len(protocol.messages), Equals(24))
        sent = [attempt_id for _, batch in protocol.messages for attempt_id in batch]
        self.assertThat(Counter(sent), Equals(Counter(f"a{n}" for n in range(CANCELLATIONS))))

    def test_one_message_under_way_per_endpoint(self):
        protocol = RecordingProtocol()
        batcher = self.batcher(protocol)
        for tick in range(10):
            batcher.add(ADDRESSES[0], f"a{tick}")
            self.tick()
        self.assertThat(len(self.tasks), Equals(1))
        self.run_tasks()
        self.tick()
        self.run_tasks()
        self.assertThat([len(batch) for _, batch in protocol.messages], Equals([1, 9]))

    def test_large_batch_is_split(self):
        protocol = RecordingProtocol()
        batcher = self.batcher(protocol)
        for number in range(CANCELLATIONS + 1):
            batcher.add(ADDRESSES[0], f"a{number}")
        for _ in range(4):
            self.tick()
            self.run_tasks()
        self.assertThat([len(b) for _, b in protocol.messages], Equals([5000, 5000, 1]))

    def test_silent_endpoint_is_tried_three_times(self):
        for silent, messages, given_up in [(0, 1, 0), (2, 3, 0), (3, 3, 1)]:
            protocol = RecordingProtocol(silent)
            batcher = self.batcher(protocol)
            batcher.add(ADDRESSES[0], "a")
            self.tick()
            self.run_tasks()
            self.assertThat(len(protocol.messages), Equals(messages))
            self.assertThat(batcher.counts["given_up"], Equals(given_up))

    def test_running_tasks_end_at_the_endpoint_with_one_message(self):
        endpoint = local_endpoint()
        self.addCleanup(endpoint.close)
        http = HttpEndpoints()
        batcher = CancelBatcher(http, self.timers)
        pool = eventlet.GreenPool()
        for number in range(8):
            pool.spawn_n(http.start, endpoint.address, attempt(number, run_s=5.0), timeout_s=10.0)
        eventlet.sleep(0.1)
        for number in range(8):
            batcher.add(endpoint.address, f"attempt-{number}")
        self.tick()
        pool.waitall()
        self.assertThat(len(endpoint.state.cancelled), Equals(8))
        self.assertThat(endpoint.state.messages["cancel"], Equals(1))
