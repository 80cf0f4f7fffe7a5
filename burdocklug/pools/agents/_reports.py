"""Processing of an endpoint's reports: reconciles them with the orders sent to it."""

import structlog

from burdocklug.pools._lease_times import order_lifetime_s

__all__ = ["ReportProcessor"]

LOSS_MEMORY_S = 3.0  # time for which a lost answer of any endpoint counts as recent
OVERDUE_FACTOR = 1.6  # multiple of the expected run time after which progress is checked
LOSSY_OVERDUE_FACTOR = 1.2  # the same while answers get lost or runs stall
OVERDUE_SLACK_S = 0.03  # added to the multiple of the expected run time
# Lag of the event loop, as a share of a run's expected time, up to which its end is read in time.
MAX_LAG_SHARE = 0.1
STALL_TIMEOUT_S = 0.15  # an overdue run without progress for this time counts as stalled
# The same in multiples of the time that the run took for one percent, the unit of reports.
STALL_PERCENT_TIMES = 3.0

log = structlog.get_logger(__name__)


class ReportProcessor:
    """Processes the reports of one endpoint for its agent.

    Parameters
    ----------
    agent : EndpointAgent
        The agent, which keeps the orders sent to the endpoint.

    Attributes
    ----------
    acked : int
        Number of the last end that was processed.
    missed_reports : int
        Number of consecutive reports that did not arrive.
    """

    def __init__(self, agent):
        self.acked = 0
        self.missed_reports = 0
        self._agent = agent
        self._started_ms = agent.endpoint.entry.started_ms
        self._newest_ms = 0  # clock of the endpoint in the newest report that was processed

    @property
    def is_lossy(self):
        """Whether an answer of any endpoint was lost or a run stalled within `LOSS_MEMORY_S`."""
        scheduler = self._agent.scheduler
        return self._agent.now() - scheduler.last_missed_s < LOSS_MEMORY_S

    @property
    def is_entry_outdated(self):
        """Whether the endpoint's entry is of another incarnation than its reports."""
        listed_ms = self._agent.endpoint.entry.started_ms
        return bool(listed_ms and self._started_ms and listed_ms != self._started_ms)

    def process(self, report, sent_s):
        """Reconcile the orders and the scheduler's state with a report.

        Parameters
        ----------
        report : RunReport
            The report.
        sent_s : float
            When it was requested; it says nothing about orders confirmed after that.
        """
        if self._is_restarted(report):
            self._handle_restart()
            return
        self._agent.clock.update(report.clock_ms)
        self._agent.note_answered()
        for end in report.ended:
            if end.number > self.acked:
                self.acked = end.number
                self._process_end(end)
        self.missed_reports = 0
        if report.clock_ms < self._newest_ms:
            return  # overtaken by a newer report, whose runs have been reconciled
        self._newest_ms = report.clock_ms
        active = {run.task: run for run in report.active}
        self._agent.strays.reconcile(active)
        for order in list(self._agent.orders.values()):
            self._reconcile(order, active.pop(order.task.name, None), sent_s)
        for run in active.values():
            if run.task in self._agent.strays or not self._agent.try_adopt(run):
                self._agent.strays.add(run.task, run.attempt, reason="unknown")
        self._agent.endpoint.reported_s = sent_s
        self._agent.set_usable(not self._agent.strays)

    def _is_restarted(self, report):
        if not report.started_ms:
            return False
        if not self._started_ms:
            self._started_ms = report.started_ms
        return report.started_ms != self._started_ms

    def _handle_restart(self):
        """Handle a restart of the endpoint under the same id.

        Orders in flight may have reached the restarted endpoint, or may still do so: they are
        marked as unanswered, and stopped after the next takeover unless its report confirms them.
        """
        self.reset("new_start")
        for order in self._agent.orders.values():
            if order.confirmed_s is None and order.unanswered_s is None:
                order.unanswered_s = self._agent.now()

    def reset(self, reason):
        """Forget the state of the endpoint's previous incarnation, and give up the token."""
        log.info(
            "endpoint_restarted", endpoint=self._agent.endpoint.entry.endpoint_id, reason=reason
        )
        self._agent.endpoint.usable = False
        self._agent.give_up_token()
        self.acked = 0
        self._started_ms = self._newest_ms = 0

    def _process_end(self, end):
        order = self._agent.orders.get(end.task)
        if order is None:
            self._agent.adopt_end(end)
        elif end.attempt >= order.attempt:
            # A later attempt was started by another scheduler since, so the order is void.
            is_prompt = end.attempt == order.attempt and self._is_prompt(order)
            order.task.attempt = max(order.task.attempt, end.attempt)
            del self._agent.orders[end.task]
            self._agent.scheduler.note_end(
                order.task, self._agent.endpoint, end.kind, is_prompt=is_prompt
            )

    def _is_prompt(self, order):
        """Return whether the time until now tells how long the run of an order took."""
        is_adopted = order.token is None  # its start is an estimate
        max_lag_s = MAX_LAG_SHARE * self._expected_run_s(order)
        return not self.missed_reports and not is_adopted and self._agent.loop_lag_s() <= max_lag_s

    def _reconcile(self, order, run, sent_s):
        if run is not None and run.attempt != order.attempt:
            self._reconcile_other_attempt(order, run, sent_s)
        elif run is not None:
            self._note_active(order, run)
        elif order.stopped_s is not None and order.stopped_s < sent_s:
            self._agent.drop_order(order, "stopped")
        elif order.confirmed_s is not None and order.confirmed_s < sent_s:
            self._agent.drop_order(order, "vanished")
        elif (
            order.unanswered_s is not None
            and order.sent_s + order_lifetime_s(self._agent.lease_s) < sent_s
        ):
            self._agent.drop_order(order, "expired")

    def _reconcile_other_attempt(self, order, run, sent_s):
        """Handle a run of an order's task that is not the order's attempt.

        A higher attempt was started by another scheduler since, so the order is void. A lower one
        was there when the order arrived, and the endpoint keeps it in place of the order's.
        """
        if run.attempt > order.attempt:
            self._agent.adopt_newer_run(order, run)
        elif order.confirmed_s is not None and order.confirmed_s < sent_s:
            order.attempt = run.attempt
            self._note_active(order, run)

    def _note_active(self, order, run):
        now = self._agent.now()
        if order.confirmed_s is None:
            order.confirmed_s, order.unanswered_s = now, None
            self._agent.scheduler.note_started(order.task, self._agent.endpoint)
        if run.percent != order.percent:
            order.percent, order.progressed_s = run.percent, now
            self._agent.scheduler.note_progress(
                order.task, self._agent.endpoint, run.percent, is_prompt=self._is_prompt(order)
            )
        elif now >= self.overdue_s(order) and not order.stopping:
            log.info(
                "run_stands_still",
                task=order.task.name,
                endpoint=self._agent.endpoint.entry.endpoint_id,
                percent=run.percent,
                age_s=round(now - order.sent_s, 3),
            )
            self._agent.scheduler.last_missed_s = now
            self._agent.scheduler.counts["runs_stalled"] += 1
            self._agent.scheduler.note_fault(order.task, self._agent.endpoint)
            self._agent.sender.begin_stop(order)

    def _expected_run_s(self, order):
        return self._agent.scheduler.expected_run_s(order.task, self._agent.endpoint)

    def overdue_s(self, order):
        """Return the time from which a run without progress counts as stalled.

        A run that advances is not stalled, however long it takes.
        """
        expected_s = self._expected_run_s(order)
        factor = LOSSY_OVERDUE_FACTOR if self.is_lossy else OVERDUE_FACTOR
        due_s = order.sent_s + factor * expected_s + OVERDUE_SLACK_S
        percent_s = (
            (order.progressed_s - order.sent_s) / order.percent if order.percent > 0 else 0.0
        )
        stall_s = max(STALL_TIMEOUT_S, STALL_PERCENT_TIMES * percent_s)
        return max(due_s, order.progressed_s + stall_s)
