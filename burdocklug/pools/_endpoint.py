"""One endpoint of a pool: its lease, the orders sent to it, and what it reports."""

import eventlet
import structlog

from burdocklug.pools._endpoint_clock import EndpointClock
from burdocklug.pools._jobs import TaskState
from burdocklug.pools._order_sender import OrderSender, RunOrder
from burdocklug.pools._orders import OrderFenced, OrderUnanswered, OtherIncarnation
from burdocklug.pools._reports import ReportIntake, order_life_s

__all__ = ["EndpointAgent"]

LONGEST_LEASE_S = 1.0  # what is waited for after a lost scheduler is made for it
RENEW_SHARE = 0.4  # of a lease that a report may wait for an end; leaves the rest for retries
IDLE_WAIT_S = 1.9  # while the pool has nothing to do; an endpoint waits 2 s at most
IDLE_AFTER_S = 2.0  # since the last job; a pool of 600 endpoints is asked 300 times a second then
CAREFUL_WAIT_S = 0.06  # while answers get lost, as the ends of runs stay unknown with a report
MIN_WAIT_S = 0.04  # between two reports that look after an overdue run
ANSWER_S = 0.1  # tens of cross-domain trips; ends stay unknown as long as an answer is missed
CAREFUL_ANSWER_S = 0.04  # as for a start, while answers get lost
SILENT_RETRY_S = (0.02, 1.0)  # first and longest pause between reports of a silent endpoint
FENCED_RETRY_S = 0.5  # lets another holder finish before the endpoint is taken back
TOKEN_HOLDERS = 64  # processes that take over in the same millisecond differ in the low digits

log = structlog.get_logger(__name__)


class EndpointAgent:
    """Holds one endpoint for the scheduler of its pool.

    Parameters
    ----------
    room : EndpointRoom
        The scheduler's record of the endpoint.
    scheduler : Scheduler
        Told of starts, refusals and ends.
    protocol : EndpointOrders
        Carries the orders.
    now : callable
        Returns monotonic seconds.
    lease_s : float
        Longest lease that the endpoint gives a run, in seconds.
    digit : int
        Tells holders apart, from 0 to `TOKEN_HOLDERS` - 1.
    wake : callable
        Called when there may be room for more starts.
    """

    def __init__(self, room, scheduler, protocol, *, now, lease_s, digit, wake):
        self.room = room
        self.token = None
        self.closed = False
        self.answered_s = None
        self.fenced = False
        self.scheduler = scheduler
        self.protocol = protocol
        self.now = now
        self.lease_s = min(lease_s, LONGEST_LEASE_S)
        self._renew_wait_s = RENEW_SHARE * self.lease_s
        self._digit = digit
        self.wake = wake
        self.orders = {}
        self.sender = OrderSender(self)
        self.reports = ReportIntake(self)
        self.clock = EndpointClock(now)
        self._lapses_s = 0.0
        self._pause_s = SILENT_RETRY_S[0]
        self._loops = []
        self._turn = 0  # of the loop whose reports count
        self._idle_until_s = 0.0

    # Life

    def begin(self):
        """Take the endpoint over, or go on with it, and hold it until `close`."""
        self._turn += 1
        self._loops = [loop for loop in self._loops if not loop.dead]
        self._loops.append(eventlet.spawn(self._serve, self._turn))

    def close(self):
        """Give no more orders; runs lapse unless another holder renews them."""
        self.closed = True
        self.room.usable = False
        for loop in self._loops:
            loop.kill()

    def _serve(self, turn):
        while not self.closed and turn == self._turn:
            try:
                if self.token is None:
                    self._take_over()
                else:
                    self._renew()
            except (OrderUnanswered, OrderFenced, OtherIncarnation) as exc:
                if turn != self._turn:
                    log.info(
                        "idle_report_failed", endpoint=self.room.entry.endpoint_id, error=str(exc)
                    )
                    return
                self._note_failure(exc)
            except Exception:
                log.exception("endpoint_agent_failed", endpoint=self.room.entry.endpoint_id)
                eventlet.sleep(SILENT_RETRY_S[1])

    def _note_failure(self, exc):
        """Take in why a report did not come, and pause."""
        match exc:
            case OrderUnanswered():
                self._note_silence(exc)
                eventlet.sleep(self._pause_s)
                self._pause_s = min(2 * self._pause_s, SILENT_RETRY_S[1])
            case OrderFenced():
                self.note_fenced(exc)
                eventlet.sleep(FENCED_RETRY_S)
            case OtherIncarnation():
                self.note_restarted("other_incarnation")
                eventlet.sleep(SILENT_RETRY_S[1])

    # Lease

    def lease_ms(self):
        """Return the end of a lease that begins now, and note until when runs may go on."""
        self._lapses_s = self.now() + order_life_s(self.lease_s)
        return self.clock.now_ms() + int(self.lease_s * 1000)

    def _take_over(self):
        entry = self.room.entry
        try:
            report = self._ask(token=0, lease_ms=None, wait_s=0.0)
            self.clock.note(report.clock_ms)
        except OrderFenced as exc:
            self.clock.note(exc.clock_ms)
        token = self.clock.noted_ms * TOKEN_HOLDERS + self._digit
        sent_s = self.now()
        report = self._ask(token=token, lease_ms=None, wait_s=0.0)
        self.token = token
        self.fenced = False
        log.info(
            "endpoint_taken_over",
            endpoint=entry.endpoint_id,
            fence=token,
            active=len(report.active),
            ended=len(report.ended),
        )
        self._adopt(report)
        self.reports.take_in(report, sent_s)
        for order in list(self.orders.values()):
            if order.confirmed_s is None and order.doubted_s is not None:
                self.sender.begin_stop(order)

    def _adopt(self, report):
        """Take over runs of jobs that are known here; the others are stopped as strangers.

        Ends that the holder before has not acknowledged count for jobs that wait for them.
        """
        for end in report.ended:
            task = self._find_waiting(end.task)
            if task is not None and end.number > self.reports.acked:
                self.scheduler.adopt_end(task, self.room, end.kind, attempt=end.attempt)
        for line in report.active:
            task = self._find_waiting(line.task)
            if task is not None:
                self.scheduler.adopt(task, self.room, attempt=line.attempt)
                order = RunOrder(task, line.attempt, self.now(), confirmed_s=self.now())
                self.orders[task.name] = order

    def _find_waiting(self, name):
        task = self.scheduler.find_task(name)
        if task is None or task.state is not TaskState.WAITING or task.job.outcome:
            return None
        return task

    def _renew(self):
        sent_s, turn = self.now(), self._turn
        wait_s = self._wait_s(sent_s)
        self._idle_until_s = sent_s + wait_s if wait_s > self._renew_wait_s else 0.0
        report = self._ask(token=self.token, lease_ms=self.lease_ms(), wait_s=wait_s)
        if turn == self._turn:
            self.reports.take_in(report, sent_s)

    def look(self):
        """Have the endpoint report at once, and take the report in."""
        if self.token is None:
            return  # the take-over tells
        sent_s = self.now()
        report = self._ask(token=self.token, lease_ms=self.lease_ms(), wait_s=0.0)
        self.reports.take_in(report, sent_s)

    def _ask(self, *, token, lease_ms, wait_s):
        return self.protocol.renew(
            self.room.entry,
            token=token,
            acknowledged=self.reports.acked,
            lease_ms=lease_ms,
            wait_s=wait_s,
            timeout_s=wait_s + (CAREFUL_ANSWER_S if self.reports.is_careful else ANSWER_S),
        )

    def _wait_s(self, now):
        """Return how long the endpoint may wait for an end before it reports."""
        if not self.orders and now - self.scheduler.submitted_s > IDLE_AFTER_S:
            return IDLE_WAIT_S
        if self.reports.missed:
            return 0.0  # what the last one would have told is wanted at once
        is_careful = self.orders and self.reports.is_careful
        wait_s = CAREFUL_WAIT_S if is_careful else self._renew_wait_s
        for order in self.orders.values():
            wait_s = min(wait_s, max(self.reports.overdue_s(order) - now, MIN_WAIT_S))
        return wait_s

    # Reports

    def note_answered(self):
        """Note that the endpoint has answered now."""
        self.answered_s = self.now()
        self._pause_s = SILENT_RETRY_S[0]

    def set_usable(self, usable):
        """Let the endpoint get work, or not; one that drains gets none."""
        if self.closed or self.room.entry.draining:
            usable = False
        self.room.usable = usable
        if usable:
            self.wake()

    def note_restarted(self, reason):
        """Note that another endpoint is at the address: no order of before is carried out there."""
        self.reports.begin_anew(reason)
        self.orders.clear()
        self.scheduler.lose_runs(self.room, reason=reason)
        self.wake()

    def drop(self, order, reason):
        """Note that an order is over and nothing of it runs; its task waits again."""
        if self.orders.get(order.task.name) is order:
            del self.orders[order.task.name]
            self.scheduler.note_lost(order.task, self.room, reason=reason)
            self.wake()

    # Orders

    def start(self, task):
        """Send the order to start a task."""
        self.sender.start(task)
        if self.now() < self._idle_until_s:
            self._idle_until_s = 0.0
            self.begin()  # the report under way waits for longer than the lease of a run lasts

    def stop(self, task):
        """Stop what runs, or may run, of a task."""
        self.sender.stop(task)

    # Faults

    def _note_silence(self, exc):
        now = self.now()
        if self.room.usable:
            log.info(
                "endpoint_silent",
                endpoint=self.room.entry.endpoint_id,
                error=str(exc)[:120],
                runs=len(self.room.runs),
            )
        self.room.usable = False
        self.reports.missed += 1
        if self.reports.missed == 1:
            self.scheduler.missed_s = now
        self.protocol.retire(self.room.entry)
        if self.token is None or (self.answered_s and now - self.answered_s > self.lease_s):
            self.token = None  # what runs there is to lapse, a report renews it no more
        if now > self._lapses_s and self.orders:
            self.orders.clear()
            self.scheduler.lose_runs(self.room, reason="lapsed")
            self.wake()

    def note_fenced(self, exc):
        """Note that another holder has the endpoint; it is taken back after a pause."""
        log.warning("endpoint_fenced", endpoint=self.room.entry.endpoint_id, fence=self.token)
        self.room.usable = False
        self.token = None
        self.fenced = True
        self.clock.note(exc.clock_ms)

    def note_entry(self, entry):
        """Take in a new entry of the same endpoint."""
        self.room.renew_entry(entry)
        if entry.draining:
            self.room.usable = False

    @property
    def lapses_s(self):
        """Time at which everything that was started or renewed here has lapsed."""
        return self._lapses_s

    @property
    def looked(self):
        """Whether what the endpoint runs is known."""
        return self.token is not None and self.answered_s is not None
