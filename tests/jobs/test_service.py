from collections import Counter

import eventlet
import msgspec
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.jobs import _forwarding
from burdocklug.jobs._jobs import encode_error
from burdocklug.jobs._messages import HandOver, HandOverCommit
from burdocklug.kernel import BurdocklugError, ErrorKind, Ran
from burdocklug.store import MemoryStore, StoreUncertain
from tests.fakes import FakeClock, FakeHub
from tests.jobs.nodes import CALLER_KEY, Node, body, decode
from tests.scenarios import with_scenarios


class ServiceTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.hub = FakeHub()
        self.store = MemoryStore()
        self.starts = Counter()
        self.nodes = [Node(self.hub, self.store, self.clock, name, self.starts) for name in "abc"]

    def submit(self, node, key, data=None):
        """Return (kind, ran) of an error, or the state of the job."""
        try:
            answer = decode(node.service.submit(key, data or body()))
        except BurdocklugError as exc:
            answer = msgspec.json.decode(encode_error(exc).body)
        if answer.get("error"):
            return answer["error"]["kind"], answer["error"]["ran"]
        return answer["state"]


class SessionKeyTest(ServiceTestCase):
    def setUp(self):
        super().setUp()
        self.owner, self.other, self.third = self.nodes
        self.key = f"{self.owner.service.open_session()}~1"

    def test_the_same_key_at_all_processes_starts_once(self):
        states = [self.submit(node, self.key) for node in self.nodes * 3]
        self.assertThat(states, Equals(["complete"] * 9))
        self.assertThat(self.starts, Equals(Counter({self.key: 1})))

    def test_the_answer_of_a_resubmission_is_the_same_byte_for_byte(self):
        first = self.owner.service.submit(self.key, body()).body
        again = [node.service.submit(self.key, body()).body for node in self.nodes]
        self.assertThat(again, Equals([first] * 3))

    def test_another_body_is_a_conflict_and_starts_nothing(self):
        self.submit(self.owner, self.key)
        kinds = {self.submit(node, self.key, body(2))[0] for node in self.nodes}
        self.assertThat(kinds, Equals({"key_conflict"}))
        self.assertThat(self.starts[self.key], Equals(1))

    def test_a_refused_key_stays_refused_for_a_delayed_first_attempt(self):
        self.owner.dispatcher.refusal = ErrorKind.QUEUE_FULL
        refused = self.submit(self.other, self.key)
        self.owner.dispatcher.refusal = None
        delayed = self.submit(self.owner, self.key)
        self.assertThat((refused, delayed), Equals((("queue_full", "no"), ("queue_full", "no"))))
        self.assertThat(self.starts, Equals(Counter()))

    def test_a_submission_to_a_dead_owner_is_never_reported_as_not_run(self):
        self.hub.dead.add(self.owner.incarnation)
        self.assertThat(self.submit(self.other, self.key), Equals(("owner_lost", "unknown")))

    def test_a_job_starts_once_at_an_owner_that_was_unreachable(self):
        self.hub.cut.add((self.other.incarnation, self.owner.incarnation))
        self.assertThat(self.submit(self.other, self.key), Equals(("owner_lost", "unknown")))
        self.hub.cut.clear()
        self.submit(self.other, self.key)
        self.assertThat(self.starts[self.key], Equals(1))

    def test_a_job_starts_once_if_the_owners_answers_are_lost(self):
        self.hub.lose_replies.add((self.other.incarnation, self.owner.incarnation))
        self.submit(self.other, self.key)
        self.submit(self.other, self.key)
        self.assertThat(self.starts[self.key], Equals(1))

    def test_another_incarnation_at_the_owners_address_never_starts_the_job(self):
        replaced = Node(self.hub, self.store, self.clock, "new", self.starts)
        self.hub.dead.add(self.owner.incarnation)
        self.assertThat(self.submit(replaced, self.key)[1], Equals("unknown"))
        self.assertThat(self.starts, Equals(Counter()))


class DrainingForwarderTest(ServiceTestCase):
    def test_a_caller_waiting_for_a_job_of_another_owner_is_answered_before_the_job_ends(self):
        owner, other, _ = self.nodes
        self.patch(_forwarding, "MAX_CALL_WAIT_S", 0.05)
        owner.dispatcher.finishes_at_once = False
        key = f"{owner.service.open_session()}~1"
        waiting = eventlet.spawn(other.service.submit, key, body(), wait_s=5.0)
        eventlet.sleep(0.1)
        other.service.draining = True
        with eventlet.Timeout(1.0):
            answer = waiting.wait()
        self.assertThat((answer.status, decode(answer)["state"]), Equals((202, "running")))


class HandOverTest(ServiceTestCase):
    def setUp(self):
        super().setUp()
        self.owner, self.other, self.third = self.nodes
        self.session = self.owner.service.open_session()
        self.key = f"{self.session}~1"
        self.answer = self.owner.service.submit(self.key, body()).body

    def successor(self):
        return next(node for node in self.nodes if node.incarnation == self.owner.peers.left[0])

    def test_resubmissions_get_the_stored_answer_from_every_process(self):
        self.owner.drain()
        answers = [node.service.submit(self.key, body()).body for node in self.nodes]
        self.assertThat(answers, Equals([self.answer] * 3))
        self.hub.dead.add(self.owner.incarnation)
        answers = [node.service.submit(self.key, body()).body for node in self.nodes[1:]]
        self.assertThat(answers, Equals([self.answer] * 2))
        self.assertThat(self.starts[self.key], Equals(1))

    def test_a_key_refused_while_draining_stays_refused_at_the_successor(self):
        self.owner.service.draining = True
        refused = self.submit(self.owner, f"{self.session}~2")
        self.owner.drain()
        self.assertThat(refused, Equals(("shutting_down", "no")))
        after = [self.submit(node, f"{self.session}~2") for node in self.nodes]
        self.assertThat(after, Equals([("shutting_down", "no")] * 3))

    def test_the_successor_starts_the_next_keys_once(self):
        self.owner.drain()
        states = [self.submit(node, f"{self.session}~2") for node in self.nodes]
        self.assertThat(states, Equals(["complete"] * 3))
        self.assertThat(self.starts[f"{self.session}~2"], Equals(1))

    def test_a_second_handover_includes_the_records_of_the_first(self):
        self.owner.drain()
        self.hub.dead.add(self.owner.incarnation)
        first = self.successor()
        first.drain()
        self.hub.dead.add(first.incarnation)
        last = next(n for n in self.nodes if n.incarnation not in self.hub.dead)
        self.assertThat(last.service.submit(self.key, body()).body, Equals(self.answer))

    def test_requests_reach_the_successor_if_peers_have_not_learned_of_it(self):
        self.owner.drain()
        for node in self.nodes:
            node.peers.successors.clear()
        answers = [node.service.submit(self.key, body()).body for node in self.nodes]
        self.assertThat(answers, Equals([self.answer] * 3))
        self.assertThat(self.submit(self.third, f"{self.session}~2"), Equals("complete"))

    def test_a_peer_with_an_uncommitted_copy_owns_nothing(self):
        copied = HandOver([], [])
        self.other.peers.handlers[HandOver](self.owner.incarnation, copied)
        self.hub.dead.add(self.owner.incarnation)
        self.assertThat(self.submit(self.other, self.key)[1], Equals("unknown"))
        self.assertThat(self.starts[self.key], Equals(1))

    def test_a_lost_answer_to_the_commit_keeps_one_owner(self):
        first = min(self.nodes[1:], key=lambda node: node.incarnation)
        handlers = first.peers.handlers
        commit = handlers[HandOverCommit]

        def commit_without_answer(sender, message):
            commit(sender, message)
            self.hub.lose_replies.add((self.owner.incarnation, first.incarnation))
            return None

        handlers[HandOverCommit] = commit_without_answer
        self.owner.drain()
        self.assertThat(self.owner.peers.left, Equals([first.incarnation]))
        for node in self.nodes[1:] * 2:
            self.submit(node, f"{self.session}~2")
        self.assertThat(self.starts[f"{self.session}~2"], Equals(1))


class CallerKeyTest(ServiceTestCase):
    def test_the_same_key_at_all_processes_starts_once_with_one_write(self):
        states = [self.submit(node, CALLER_KEY) for node in self.nodes * 2]
        self.assertThat(states, Equals(["complete"] * 6))
        self.assertThat(self.starts[CALLER_KEY], Equals(1))
        writes = sum(n for key, n in self.store.calls.items() if "put" in key)
        self.assertTrue(writes <= 3, writes)

    def test_concurrent_submissions_start_the_job_once(self):
        pool = eventlet.GreenPool()
        for node in self.nodes * 5:
            pool.spawn(self.submit, node, CALLER_KEY)
        pool.waitall()
        self.assertThat(self.starts[CALLER_KEY], Equals(1))

    def test_another_body_is_a_conflict_everywhere(self):
        self.submit(self.nodes[0], CALLER_KEY)
        kinds = {self.submit(node, CALLER_KEY, body(2))[0] for node in self.nodes}
        self.assertThat(kinds, Equals({"key_conflict"}))

    def test_a_claim_is_uncertain_while_the_store_is_down(self):
        self.store.down = True
        kind, ran = self.submit(self.nodes[0], CALLER_KEY)
        self.assertThat((kind, ran), Equals(("claim_uncertain", "unknown")))
        self.store.down = False
        for node in self.nodes:
            self.submit(node, CALLER_KEY)
        self.assertThat(self.starts[CALLER_KEY], Equals(1))

    def test_a_claim_whose_answer_was_lost_is_recognised_by_its_nonce(self):
        self.store.lose_next_responses = 2
        self.assertThat(self.submit(self.nodes[0], CALLER_KEY), Equals("complete"))
        self.assertThat(self.starts[CALLER_KEY], Equals(1))

    def test_a_claim_with_a_lost_answer_is_resolved_by_any_process(self):
        put = self.store.put

        def put_and_go_down(*args, **kwargs):
            put(*args, **kwargs)
            self.store.down = True
            raise StoreUncertain("the answer was lost")

        self.store.put = put_and_go_down
        uncertain = self.submit(self.nodes[0], CALLER_KEY)
        self.store.put, self.store.down = put, False
        self.assertThat(uncertain, Equals(("claim_uncertain", "unknown")))
        states = [self.submit(node, CALLER_KEY) for node in self.nodes[1:]]
        self.assertThat(states, Equals(["complete"] * 2))
        self.assertThat(self.starts[CALLER_KEY], Equals(1))

    def test_a_dead_owner_is_never_replaced(self):
        self.submit(self.nodes[0], CALLER_KEY)
        self.hub.dead.add(self.nodes[0].incarnation)
        self.assertThat(self.submit(self.nodes[1], CALLER_KEY), Equals(("owner_lost", "unknown")))
        self.assertThat(self.starts[CALLER_KEY], Equals(1))

    def test_a_key_older_than_the_window_is_refused_for_good(self):
        self.clock.seconds = 3600.0
        kinds = {self.submit(node, CALLER_KEY) for node in self.nodes}
        self.assertThat(kinds, Equals({("key_expired", "unknown")}))
        self.assertThat(self.starts, Equals(Counter()))

    def test_a_key_with_a_future_time_is_refused(self):
        self.clock.seconds = -120.0
        self.assertThat(self.submit(self.nodes[0], CALLER_KEY)[0], Equals("bad_request"))

    def test_an_owner_that_dropped_the_answer_does_not_start_the_job_again(self):
        self.submit(self.nodes[0], CALLER_KEY)
        self.nodes[0].ledger.caller_key_records.clear()
        kinds = {self.submit(node, CALLER_KEY)[1] for node in self.nodes}
        self.assertThat(kinds, Equals({"unknown"}))
        self.assertThat(self.starts[CALLER_KEY], Equals(1))

    def test_a_handed_over_claim_is_answered_by_the_successor(self):
        self.submit(self.nodes[0], CALLER_KEY)
        self.nodes[0].drain()
        self.hub.dead.add(self.nodes[0].incarnation)
        states = [self.submit(node, CALLER_KEY) for node in self.nodes[1:]]
        self.assertThat(states, Equals(["complete"] * 2))
        self.assertThat(self.starts[CALLER_KEY], Equals(1))


@with_scenarios
class UnknownKeyTest(ServiceTestCase):
    """A key that no process has received is unknown; it is never reported as not run."""

    scenarios = [
        ("status at the owner", {"ask": "status", "at": 0, "kind": "not_found"}),
        ("status elsewhere", {"ask": "status", "at": 1, "kind": "not_found"}),
        ("cancel elsewhere", {"ask": "cancel", "at": 2, "kind": "not_found"}),
    ]

    def test_is_reported_as_unknown(self):
        key = f"{self.nodes[0].service.open_session()}~1"
        action = getattr(self.nodes[self.at].service, self.ask)
        try:
            answer = decode(action(key))["error"]
        except BurdocklugError as exc:
            answer = {"kind": str(exc.kind), "ran": str(exc.ran)}
        self.assertThat((answer["kind"], answer["ran"]), Equals((self.kind, str(Ran.UNKNOWN))))
