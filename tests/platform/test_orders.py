"""Contract of `EndpointOrders`: `PlatformOrders` against simulated workers of the stand-in."""

import time
from types import SimpleNamespace

import msgspec
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.platform._orders import PlatformOrders
from burdocklug.pools import (
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
    RefusalReason,
    RunEndKind,
)
from standins.launch import launch
from standins.platform_fleet import call_json
from standins.ports import free_address
from tests.pools.builders import entry
from tests.scenarios import with_scenarios

TIMEOUT_S = 0.5


class PlatformOrdersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.address = free_address()
        worker = free_address()
        arguments = ("--listen", self.address, "--workers", worker)
        child = launch("standins.platform", *arguments, health=worker)
        self.addCleanup(child.kill)
        self.entry = msgspec.structs.replace(entry(1), endpoint_id="i-0000", address=worker)
        self.orders = PlatformOrders(now=time.monotonic)
        self.clock_ms = self.renew(token=1, lease_ms=None).clock_ms

    def renew(self, *, token=1, acknowledged=0, lease_ms=None, wait_s=0.0):
        return self.orders.renew(
            self.entry,
            token=token,
            acknowledged=acknowledged,
            lease_ms=lease_ms,
            wait_s=wait_s,
            timeout_s=wait_s + TIMEOUT_S,
        )

    def start(self, task="j.0.0.0", *, attempt=1, token=1, payload="run 5", lease_s=0.9):
        return self.orders.start(
            self.entry,
            task=task,
            attempt=attempt,
            payload=payload,
            lease_ms=self.clock_ms + int(1000 * lease_s),
            token=token,
            timeout_s=TIMEOUT_S,
        )

    def stop(self, task="j.0.0.0", *, attempt=1, token=1):
        self.orders.stop(self.entry, task=task, attempt=attempt, token=token, timeout_s=TIMEOUT_S)

    def refusal(self, **options):
        return self.assertRaises(OrderRefused, self.start, **options).reason

    def test_a_run_is_listed_then_its_end_until_it_is_acknowledged(self):
        self.start(payload="run 0.1")
        self.assertThat(
            [(r.task, r.attempt) for r in self.renew().active], Equals([("j.0.0.0", 1)])
        )
        ended = self.renew(lease_ms=self.clock_ms + 900, wait_s=0.4).ended
        self.assertThat([(e.number, e.kind) for e in ended], Equals([(1, RunEndKind.DONE)]))
        self.assertThat(len(self.renew().ended), Equals(1))
        self.assertThat(self.renew(acknowledged=1).ended, Equals(()))

    def test_the_same_start_again_is_no_second_run(self):
        self.start()
        self.start()
        self.assertThat(len(self.renew().active), Equals(1))

    def test_a_stopped_run_ends_and_its_number_is_refused(self):
        self.start()
        self.stop()
        self.assertThat([e.kind for e in self.renew().ended], Equals([RunEndKind.STOPPED]))
        self.assertThat(self.refusal(), Equals(RefusalReason.OLD_ATTEMPT))

    def test_a_stop_before_the_start_refuses_it(self):
        self.stop()
        self.assertThat(self.refusal(), Equals(RefusalReason.OLD_ATTEMPT))

    def test_a_start_after_its_lease_expired_and_one_beyond_the_capacity_are_refused(self):
        self.assertThat(self.refusal(lease_s=-0.1), Equals(RefusalReason.LATE))
        self.start("a.0.0.0")
        self.start("b.0.0.0")
        self.assertThat(self.refusal(), Equals(RefusalReason.NO_CAPACITY))

    def test_a_lower_token_is_fenced_and_the_error_has_the_clock(self):
        self.renew(token=9)
        for call in (self.start, self.stop, self.renew):
            exc = self.assertRaises(OrderFenced, call, token=8)
            self.assertTrue(exc.clock_ms >= self.clock_ms)

    def test_a_run_without_renewal_lapses(self):
        self.start(lease_s=0.2)
        time.sleep(0.3)
        self.assertThat([e.kind for e in self.renew().ended], Equals([RunEndKind.LAPSED]))

    def test_another_incarnation_is_told_apart(self):
        other = msgspec.structs.replace(self.entry, endpoint_id="i-ffff")
        self.entry, own = other, self.entry
        self.assertRaises(OtherIncarnation, self.start)
        self.entry = own
        before = self.renew().started_ms
        call_json(self.address, "POST", "/worker/0/crash", {})
        self.assertTrue(self.renew().started_ms > before)

    def test_an_order_without_an_answer_raises_order_unanswered(self):
        call_json(self.address, "POST", "/faults", {"lost_orders": 1.0})
        self.assertRaises(OrderUnanswered, self.start)
        self.entry = msgspec.structs.replace(self.entry, address=free_address())
        self.assertRaises(OrderUnanswered, self.start)


@with_scenarios
class MalformedAnswerTest(TestCase):
    """Answers that are not valid count as none, whatever is wrong with them."""

    scenarios = [
        ("not_json", {"raw": b"\xff{"}),
        ("no_clock", {"raw": b'{"active":[]}'}),
        ("short_row", {"raw": b'{"clock_ms":5,"active":[["j.0.0.0"]]}'}),
        ("row_of_another_type", {"raw": b'{"clock_ms":5,"ended":["j.0.0.0"]}'}),
        ("number_as_text", {"raw": b'{"clock_ms":5,"ended":[["1","j.0.0.0",1,"done",""]]}'}),
        ("progress_missing", {"raw": b'{"clock_ms":5,"active":[["j.0.0.0",1,"",null]]}'}),
    ]

    def test_the_report_counts_as_unanswered(self):
        orders = PlatformOrders(now=time.monotonic)
        orders._client = SimpleNamespace(call=lambda *_args, **_options: (200, self.raw))
        options = {"token": 1, "acknowledged": 0, "lease_ms": None, "wait_s": 0.0}
        self.assertRaises(OrderUnanswered, orders.renew, entry(1), timeout_s=1.0, **options)


class ExtendedReportTest(TestCase):
    def test_further_entries_of_a_row_are_ignored(self):
        active, ended = b'["j.0.0.0",1,"",41,0.7,"new"]', b'[1,"k",2,"done","",9]'
        raw = b'{"clock_ms":5,"active":[%b],"ended":[%b]}' % (active, ended)
        orders = PlatformOrders(now=time.monotonic)
        orders._client = SimpleNamespace(call=lambda *_args, **_options: (200, raw))
        report = orders.renew(
            entry(1), token=1, acknowledged=0, lease_ms=None, wait_s=0.0, timeout_s=1.0
        )
        self.assertThat((report.active[0].percent, report.ended[0].kind), Equals((41, "done")))
