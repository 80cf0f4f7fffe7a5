"""Agent of one endpoint of a pool: renews its lease, sends orders and requests reports."""

import eventlet
import structlog

from burdocklug.pools._lease_times import MAX_LEASE_S, job_lease_s, order_lifetime_s
from burdocklug.pools.agents._endpoint_clock import EndpointClock
from burdocklug.pools.agents._order_sender import OrderSender, RunOrder
from burdocklug.pools.agents._orders import (
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
)
from burdocklug.pools.agents._reports import ReportProcessor
from burdocklug.pools.agents._stray_stops import StrayStops
from burdocklug.pools.agents._tokens import make_token
from burdocklug.pools.scheduling import TaskState

__all__ = ["EndpointAgent"]

# Shortest lease with which runs are started; a shorter one may end before its first renewal.
MIN_START_LEASE_S = 0.2
RENEW_FRACTION = 0.4  # longest wait of a report as a share of the lease; the rest is for retries
# Wait of a report while the pool is idle. An endpoint waits 2 s at most, and 600 idle endpoints get
# about 300 requests a second.
IDLE_WAIT_S = 1.9
IDLE_AFTER_S = 2.0  # time since the last submitted job after which a pool counts as idle
LOSSY_WAIT_S = 0.06  # longest wait while answers get lost, as a lost report delays the ends of runs
# Shortest wait of a report that checks on an overdue run or renews a short lease.
MIN_WAIT_S = 0.04
# Timeout of a report request beyond the wait of the report: tens of cross-domain trips. It is short
# because a lost answer delays the ends of runs.
ANSWER_TIMEOUT_S = 0.1
LOSSY_ANSWER_TIMEOUT_S = 0.04  # while answers get lost; same as `START_TIMEOUT_S`
NO_ANSWER_RETRY_S = (0.02, 1.0)  # first and longest pause after a request without an answer
HELD_RETRY_S = 0.2  # longest pause while the endpoint has runs; several fit into a lease
PAUSED_RETRY_S = 0.02  # until the process has reacted to a pause
# Pause before an endpoint is taken back, in which the scheduler asks its peers for a greater claim.
FENCED_RETRY_S = 0.4
# Pause before the first such return in a while: a process that looked whether the endpoint has a
# holder may have fenced it. The pause shows whether most endpoints are fenced at the same time.
PROMPT_RETAKE_S = 0.1
RETAKE_MEMORY_S = 3.0  # time after a prompt return in which the next one is not prompt
FENCED_MEMORY_S = 1.0  # time for which an endpoint that was taken back still counts as fenced

log = structlog.get_logger(__name__)


class EndpointAgent:
    """Holds the fencing token of one endpoint for the scheduler of its pool.

    Parameters
    ----------
    endpoint : PoolEndpoint
        The scheduler's state of the endpoint.
    scheduler : Scheduler
        Notified of starts, refusals and ends.
    protocol : EndpointOrders
        Sends the orders.
    now : callable
        Returns the monotonic time in seconds.
    lease_s : float
        Longest lease that the endpoint grants a run, in seconds.
    holder_number : int
        Number of this holder, which makes its tokens unique.
    wake : callable
        Called when there may be capacity for more starts.
    is_paused : callable
        Returns whether this process was paused and may have lost the scheduler's role meanwhile.
    times : AnswerTimes
        What answers of all endpoints took lately.
    loop_lag_s : callable
        Returns the recent lag of this process's event loop, in seconds.
    is_contested : callable
        Returns whether it is being found out whether another scheduler holds the endpoint, which
        is not taken back meanwhile.
    is_list_usable : callable
        Returns whether the list of endpoints is recent enough to start tasks.
    is_widely_fenced : callable
        Returns whether many endpoints of the failure domain obey another process.
    """

    def __init__(
        self,
        endpoint,
        scheduler,
        protocol,
        *,
        now,
        lease_s,
        holder_number,
        wake,
        is_paused,
        times,
        loop_lag_s,
        is_contested=lambda: False,
        is_list_usable=lambda: True,
        is_widely_fenced=lambda: False,
    ):
        self.endpoint = endpoint
        self.token = None
        self.closed = False
        self.is_leaving = False
        self.answered_s = None
        self.fenced = False
        self.scheduler = scheduler
        self.protocol = protocol
        self.now = now
        self.lease_s = min(lease_s, MAX_LEASE_S)
        self._holder_number = holder_number
        self.wake = wake
        self.is_paused = is_paused
        self.times = times
        self.loop_lag_s = loop_lag_s
        self.is_contested = is_contested
        self.is_list_usable = is_list_usable
        self.is_widely_fenced = is_widely_fenced
        self._fenced_s = self._prompt_retake_s = float("-inf")
        self.orders = {}
        self.strays = StrayStops(self)
        self.sender = OrderSender(self)
        self.reports = ReportProcessor(self)
        self.clock = EndpointClock(now)
        self._lapses_s = 0.0
        self._pause_s = NO_ANSWER_RETRY_S[0]
        self._loops = []
        self._loop_number = 0  # number of the current loop; reports of earlier loops are ignored
        self._long_report_until_s = 0.0  # when the pending long report is due; 0 if none is

    def begin(self):
        """Start a report loop, which takes the endpoint over if needed; it ends with `close`."""
        self._loop_number += 1
        self._loops = [loop for loop in self._loops if not loop.dead]
        self._loops.append(eventlet.spawn(self._run_loop, self._loop_number))

    def close(self):
        """Stop sending orders; the leases of runs expire unless another holder renews them."""
        self.closed = True
        self.endpoint.usable = False
        for loop in self._loops:
            loop.kill()

    def _run_loop(self, loop_number):
        while not self.closed and loop_number == self._loop_number:
            try:
                if self.is_paused() or (self.fenced and self.is_contested()):
                    eventlet.sleep(PAUSED_RETRY_S)
                elif self.token is None:
                    self._take_over()
                else:
                    self._renew()
            except (OrderUnanswered, OrderRefused, OrderFenced, OtherIncarnation) as exc:
                if loop_number != self._loop_number:
                    log.info(
                        "idle_report_failed",
                        endpoint=self.endpoint.entry.endpoint_id,
                        error=str(exc),
                    )
                    return
                self._handle_failure(exc)
            except Exception:
                log.exception("endpoint_agent_failed", endpoint=self.endpoint.entry.endpoint_id)
                eventlet.sleep(NO_ANSWER_RETRY_S[1])

    def _handle_failure(self, exc):
        """Handle a failed report request, then pause."""
        match exc:
            case OrderUnanswered() | OrderRefused():
                self._handle_no_answer(exc)
                eventlet.sleep(min(self._pause_s, HELD_RETRY_S) if self.orders else self._pause_s)
                self._pause_s = min(2 * self._pause_s, NO_ANSWER_RETRY_S[1])
            case OrderFenced():
                self.note_fenced(exc)
                self._wait_to_retake()
            case OtherIncarnation():
                self.requeue_after_restart("other_incarnation")
                eventlet.sleep(NO_ANSWER_RETRY_S[1])

    def _wait_to_retake(self):
        """Pause before the endpoint is taken back, for shorter if it is one of few."""
        is_prompt = self.now() - self._prompt_retake_s > RETAKE_MEMORY_S
        eventlet.sleep(PROMPT_RETAKE_S)
        if is_prompt and not self.is_widely_fenced():
            self._prompt_retake_s = self.now()
        else:
            eventlet.sleep(FENCED_RETRY_S - PROMPT_RETAKE_S)

    @property
    def was_fenced(self):
        """Whether another process has taken the endpoint over just before."""
        return self.fenced or self.now() - self._fenced_s < FENCED_MEMORY_S

    def allowed_lease_s(self):
        """Return the longest lease that the runs of the endpoint may have now, in seconds.

        It ends before another scheduler starts tasks of a job again whose callers' processes have
        not heard this one.
        """
        contact_s = min(
            (order.task.job.contact_s for order in self.orders.values()), default=float("inf")
        )
        return min(self.lease_s, job_lease_s(contact_s, self.now()))

    def _note_foreign_leases(self):
        """Record that another holder may have renewed all runs of the endpoint until now."""
        self._lapses_s = max(self._lapses_s, self.now() + order_lifetime_s(MAX_LEASE_S))

    def lease_end_ms(self):
        """Return the end, on the endpoint's clock, of a lease that begins now.

        Also records the time after which no run can still have a lease.
        """
        lease_s = self.allowed_lease_s()
        self._lapses_s = max(self._lapses_s, self.now() + order_lifetime_s(lease_s))
        return self.clock.now_ms() + int(lease_s * 1000)

    def _take_over(self):
        entry, started_ms = self.endpoint.entry, self.endpoint.entry.started_ms
        try:
            report = self._request_report(token=0, lease_ms=None, wait_s=0.0)
            self.clock.update(report.clock_ms)
            started_ms = max(started_ms, report.started_ms)
        except OrderFenced as exc:
            self.clock.update(exc.clock_ms)
        token = make_token(started_ms, self.clock.last_ms, self._holder_number)
        sent_s = self.now()
        report = self._request_report(token=token, lease_ms=None, wait_s=0.0)
        self.token = token
        self.fenced = False
        self._note_foreign_leases()
        log.info(
            "endpoint_taken_over",
            endpoint=entry.endpoint_id,
            fence=token,
            active=len(report.active),
            ended=len(report.ended),
        )
        self.reports.process(report, sent_s)
        for order in list(self.orders.values()):
            if order.confirmed_s is None and order.unanswered_s is not None:
                self.sender.begin_stop(order)

    def adopt_end(self, end):
        """Apply the end of a run that this agent has no order for, if its task is waiting."""
        task = self.scheduler.find_task(end.task)
        if task is not None and task.state is TaskState.WAITING and not task.job.outcome:
            self.scheduler.adopt_end(task, self.endpoint, end.kind, attempt=end.attempt)

    def try_adopt(self, run):
        """Adopt a run that another scheduler started, if its task waits for one; return whether.

        This includes a task that is placed on an endpoint whose runs are not known, which may have
        another run of it.
        """
        task = self.scheduler.find_task(run.task)
        if task is None or task.job.outcome is not None or task.job.suspended:
            return False
        if task.state.is_placed and not self.scheduler.is_placement_known(task):
            self.scheduler.release_placement(task)
        if task.state is not TaskState.WAITING:
            return False
        order = self._order_of_run(task, run)
        self.scheduler.adopt(
            task, self.endpoint, attempt=run.attempt, started_s=order.sent_s, percent=run.percent
        )
        return True

    def disown(self, task):
        """Drop the order of a task that now runs elsewhere; a run of it here is stopped."""
        self.endpoint.remove(task)
        order = self.orders.pop(task.name, None)
        if order is not None:
            self.strays.add(task.name, order.attempt, reason="runs_elsewhere")

    def _order_of_run(self, task, run):
        """Record a run that another scheduler started as an order, and return that."""
        now = self.now()
        started_s = now - run.percent / 100 * self.scheduler.expected_run_s(task, self.endpoint)
        order = self.orders[task.name] = RunOrder(
            task, run.attempt, started_s, confirmed_s=now, percent=run.percent, progressed_s=now
        )
        return order

    def adopt_newer_run(self, order, run):
        """Replace an order by the run of a later attempt that another scheduler started here.

        The run is stopped if its task is not wanted any more.
        """
        task = order.task
        log.info(
            "newer_run_adopted",
            task=task.name,
            endpoint=self.endpoint.entry.endpoint_id,
            attempt=run.attempt,
            ordered=order.attempt,
        )
        order = self._order_of_run(task, run)
        is_wanted = self.scheduler.adopt_newer(
            task, self.endpoint, attempt=run.attempt, started_s=order.sent_s, percent=run.percent
        )
        if not is_wanted:
            self.sender.begin_stop(order)

    def _renew(self):
        sent_s, loop_number = self.now(), self._loop_number
        wait_s = self._wait_s(sent_s)
        is_long = wait_s > RENEW_FRACTION * self.lease_s
        self._long_report_until_s = sent_s + wait_s if is_long else 0.0
        token = self.token
        report = self._request_report(token=token, lease_ms=self.lease_end_ms(), wait_s=wait_s)
        if loop_number == self._loop_number and token == self.token:
            self.reports.process(report, sent_s)

    def fetch_report(self):
        """Request a report without a wait, and process it."""
        if self.token is None:
            return  # the takeover that follows requests a report itself
        sent_s, token = self.now(), self.token
        report = self._request_report(token=token, lease_ms=self.lease_end_ms(), wait_s=0.0)
        if token == self.token:  # else the endpoint has obeyed another process since
            self.reports.process(report, sent_s)

    def _request_report(self, *, token, lease_ms, wait_s):
        timeout_s = LOSSY_ANSWER_TIMEOUT_S if self.reports.is_lossy else ANSWER_TIMEOUT_S
        try:
            return self.protocol.renew(
                self.endpoint.entry,
                token=token,
                acknowledged=self.reports.acked,
                lease_ms=lease_ms,
                wait_s=wait_s,
                timeout_s=wait_s + timeout_s + self.times.slack_s,
            )
        except OrderUnanswered:
            self.note_missed()
            raise

    def note_missed(self):
        """Record that an answer of the endpoint did not arrive in time."""
        self.times.note_missed(loop_lag_s=self.loop_lag_s())

    def _wait_s(self, now):
        """Return how long the endpoint may wait for a run to end before it reports, in seconds."""
        if not self.orders and now - self.scheduler.submitted_s > IDLE_AFTER_S:
            return IDLE_WAIT_S
        if self.reports.missed_reports:
            return 0.0  # the lost report may have listed ended runs, so request one at once
        is_lossy = self.orders and self.reports.is_lossy
        wait_s = max(RENEW_FRACTION * self.allowed_lease_s(), MIN_WAIT_S)
        if is_lossy:
            wait_s = min(wait_s, LOSSY_WAIT_S)
        for order in self.orders.values():
            wait_s = min(wait_s, max(self.reports.overdue_s(order) - now, MIN_WAIT_S))
        return wait_s

    def note_answered(self):
        """Record that the endpoint has answered now."""
        self.answered_s = self.now()
        self._pause_s = NO_ANSWER_RETRY_S[0]

    def set_usable(self, usable):
        """Set whether the endpoint may get tasks.

        One that is draining or goes to another scheduler, or whose entry describes another
        incarnation, never does.
        """
        is_excluded = self.endpoint.entry.draining or self.reports.is_entry_outdated
        if self.closed or self.is_leaving or is_excluded or not self.may_grant_lease():
            usable = False
        self.endpoint.usable = usable
        if usable:
            self.wake()

    def may_grant_lease(self):
        """Return whether the lease that runs may have now is long enough to start some."""
        return self.allowed_lease_s() >= min(MIN_START_LEASE_S, self.lease_s)

    def set_leaving(self, is_leaving):
        """Set whether the endpoint goes to another scheduler and may only end its runs here."""
        self.is_leaving = is_leaving
        if is_leaving:
            self.endpoint.usable = False

    def requeue_after_restart(self, reason):
        """Requeue all tasks: another incarnation at the address runs none of the earlier orders."""
        self.reports.reset(reason)
        self.orders.clear()
        self.strays.clear(reason)
        self.scheduler.requeue_runs(self.endpoint, reason=reason)
        self.wake()

    def drop_order(self, order, reason):
        """Forget an order whose run has ended or never began, and requeue its task."""
        if self.orders.get(order.task.name) is order:
            del self.orders[order.task.name]
            self.scheduler.requeue_lost(order.task, self.endpoint, reason=reason)
            self.wake()

    def start(self, task):
        """Send the order to start a task."""
        self.sender.start(task)
        if self.now() < self._long_report_until_s:
            self._long_report_until_s = 0.0
            self.begin()  # the pending long report comes too late to renew the lease of a run

    def stop(self, task):
        """Stop the run of a task, even if its start was not confirmed."""
        self.sender.stop(task)

    def _handle_no_answer(self, exc):
        now = self.now()
        if self.endpoint.usable:
            log.info(
                "endpoint_silent",
                endpoint=self.endpoint.entry.endpoint_id,
                error=str(exc)[:120],
                runs=len(self.endpoint.runs),
            )
        self.endpoint.usable = False
        self.reports.missed_reports += 1
        if self.reports.missed_reports == 1:
            self.scheduler.last_missed_s = now
        self.protocol.retire(self.endpoint.entry)
        if self.token is None or (self.answered_s and now - self.answered_s > self.lease_s):
            self.give_up_token()  # no report renews the leases of runs any more, so they expire
        if now > self._lapses_s and (self.orders or self.strays):
            self.orders.clear()
            self.strays.clear("lapsed")
            self.scheduler.requeue_runs(self.endpoint, reason="lapsed")
            self.wake()

    def give_up_token(self):
        """Forget the fencing token; the endpoint has to be taken over again."""
        self.token = None
        self.endpoint.reported_s = float("-inf")

    def note_fenced(self, exc):
        """Give up the token, since another holder has a higher one; a takeover follows."""
        log.warning("endpoint_fenced", endpoint=self.endpoint.entry.endpoint_id, fence=self.token)
        self.endpoint.usable = False
        self.give_up_token()
        self.fenced = True
        self._fenced_s = self.now()
        self._note_foreign_leases()
        self.clock.update(exc.clock_ms)

    def note_entry(self, entry):
        """Apply a changed entry of the same endpoint."""
        self.endpoint.update_entry(entry)
        if entry.draining:
            self.endpoint.usable = False

    @property
    def leases_lapse_s(self):
        """Time at which the leases of all runs started or renewed here have expired."""
        return self._lapses_s

    @property
    def is_synchronized(self):
        """Whether the runs of the endpoint are known from a report."""
        return self.token is not None and self.answered_s is not None
