"""Sends starts and stops to one endpoint, and resolves starts that had no answer."""

from dataclasses import dataclass

import eventlet
import structlog

from burdocklug.pools.agents._orders import (
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
    RefusalReason,
)

__all__ = ["OrderSender", "RunOrder"]

START_TIMEOUT_S = 0.04  # ten cross-domain trips; an unanswered start is checked by a report
STOP_TIMEOUT_S = 0.04  # same as for a start
MAX_STOP_TRIES = 25  # with their pauses, all tries together outlast the longest lease
STOP_RETRY_PAUSE_S = 0.02  # between two stops of one run
# Report requests after an unanswered start; at 15 % loss, all three fail in 1 of 300 cases.
MAX_REPORT_TRIES = 3

log = structlog.get_logger(__name__)


@dataclass(slots=True, eq=False)
class RunOrder:
    """A start that was sent; times are on this process's monotonic clock.

    Parameters
    ----------
    task : Task
        The task to run.
    attempt : int
        Number of the start.
    sent_s : float
        When it was sent; of an adopted run, when that began by its progress.
    confirmed_s : float or None
        When the endpoint first confirmed the run.
    unanswered_s : float or None
        Since when it is not known whether the order was carried out.
    stopped_s : float or None
        When the endpoint acknowledged a stop, after which the run ends or never begins.
    stopping : bool
        Whether a stop was initiated.
    token : int or None
        Fencing token of the order; None for an adopted run.
    percent, progressed_s : int, float
        Last reported progress, and when it was first reported.
    """

    task: object
    attempt: int
    sent_s: float
    confirmed_s: float | None = None
    unanswered_s: float | None = None
    stopped_s: float | None = None
    stopping: bool = False
    token: int | None = None
    percent: int = -1
    progressed_s: float = 0.0


class OrderSender:
    """Sends the orders of one endpoint's agent.

    Parameters
    ----------
    agent : EndpointAgent
        The agent, which keeps the orders and the clock of the endpoint.
    """

    def __init__(self, agent):
        self._agent = agent

    def start(self, task):
        """Send the order to start a task, in a separate greenlet."""
        order = RunOrder(task, task.attempt, self._agent.now(), token=self._agent.token)
        order.progressed_s = order.sent_s
        self._agent.orders[task.name] = order
        eventlet.spawn(self._send_start, order)

    def _send_start(self, order):
        if self._agent.closed:
            return  # the role was handed over after the decision to start the task
        if self._agent.is_paused():
            self._agent.drop_order(order, "process_paused")
        elif self._agent.endpoint.entry.draining:
            self._agent.drop_order(order, "endpoint_leaves")
        elif self._agent.endpoint.evacuated:
            self._agent.drop_order(order, "failure_domain_evacuated")
        elif not self._agent.is_list_usable():
            self._agent.drop_order(order, "endpoint_list_outdated")
        elif not self._agent.may_grant_lease():
            self._agent.endpoint.usable = False  # until the next report
            self._agent.drop_order(order, "lease_too_short")
        else:
            self._call_start(order)

    def _call_start(self, order):
        task, sent_s = order.task, self._agent.now()
        try:
            clock_ms = self._agent.protocol.start(
                self._agent.endpoint.entry,
                task=task.name,
                attempt=order.attempt,
                payload=task.job.spec.payload,
                lease_ms=self._agent.lease_end_ms(),
                token=order.token,
                timeout_s=START_TIMEOUT_S + self._agent.times.slack_s,
            )
        except OrderRefused as exc:
            self._note_refused(order, exc)
        except OrderUnanswered as exc:
            order.unanswered_s = self._agent.scheduler.last_missed_s = self._agent.now()
            self._agent.note_missed()
            self._resolve_unanswered(order, exc)
        except OrderFenced as exc:
            self._agent.drop_order(order, "fenced")
            if order.token == self._agent.token:
                self._agent.note_fenced(exc)
        except OtherIncarnation:
            if order.token == self._agent.token:
                self._agent.requeue_after_restart("other_incarnation")
        else:
            self._agent.times.note_answer(self._agent.now() - sent_s)
            self._agent.clock.update(clock_ms)
            if self._agent.orders.get(task.name) is order:
                order.confirmed_s = self._agent.now()
                self._agent.scheduler.note_started(task, self._agent.endpoint)

    def _note_refused(self, order, exc):
        if self._agent.orders.get(order.task.name) is not order:
            return
        del self._agent.orders[order.task.name]
        if exc.clock_ms is not None:
            self._agent.clock.update(exc.clock_ms)
        log.info(
            "start_refused",
            task=order.task.name,
            attempt=order.attempt,
            endpoint=self._agent.endpoint.entry.endpoint_id,
            reason=exc.reason,
        )
        if exc.reason == RefusalReason.UNHEALTHY:
            self._agent.scheduler.note_fault(order.task, self._agent.endpoint)
        if exc.reason == RefusalReason.NO_CAPACITY:
            self._agent.endpoint.usable = False  # until the next report
        self._agent.scheduler.note_refused(
            order.task,
            self._agent.endpoint,
            reason=exc.reason,
            raise_attempt=exc.reason == RefusalReason.OLD_ATTEMPT,
        )
        self._agent.wake()

    def _resolve_unanswered(self, order, exc):
        """Request a report on a new connection, and stop the run unless the report confirms it."""
        self._agent.endpoint.usable = False
        log.info(
            "start_unanswered",
            task=order.task.name,
            attempt=order.attempt,
            endpoint=self._agent.endpoint.entry.endpoint_id,
            error=str(exc)[:120],
        )
        for _ in range(MAX_REPORT_TRIES):
            if self._try_fetch_report() or not self._is_unresolved(order):
                break
        if self._is_unresolved(order):
            self.begin_stop(order)

    def _is_unresolved(self, order):
        is_current = self._agent.orders.get(order.task.name) is order
        return is_current and order.confirmed_s is None and not self._agent.closed

    def _try_fetch_report(self):
        """Request a report, and return whether it arrived."""
        try:
            self._agent.fetch_report()
        except (OrderUnanswered, OrderRefused, OrderFenced, OtherIncarnation) as exc:
            self._agent.protocol.retire(self._agent.endpoint.entry)
            log.info(
                "endpoint_not_reached",
                endpoint=self._agent.endpoint.entry.endpoint_id,
                error=str(exc)[:120],
            )
            return False
        return True

    def stop(self, task):
        """Stop the run of a task, even if its start was not confirmed."""
        order = self._agent.orders.get(task.name)
        if order is not None:
            self.begin_stop(order)

    def begin_stop(self, order):
        """Stop the run of an order in a separate greenlet, unless a stop is under way."""
        if not order.stopping:
            order.stopping = True
            eventlet.spawn(self._stop_order, order)

    def _stop_order(self, order):
        for _ in range(MAX_STOP_TRIES):
            if self._agent.orders.get(order.task.name) is not order:
                return
            is_accepted = self.try_stop(order.task.name, order.attempt)
            if self._agent.closed:
                return  # the endpoint has another holder by now, or the run's lease expires
            if is_accepted:
                order.stopped_s = self._agent.now()
                break
            eventlet.sleep(STOP_RETRY_PAUSE_S)
        if not self._try_fetch_report():
            log.info("stop_not_seen", task=order.task.name)

    def try_stop(self, task, attempt):
        """Send one order to stop a run, and return whether the endpoint accepted it."""
        try:
            self._agent.protocol.stop(
                self._agent.endpoint.entry,
                task=task,
                attempt=attempt,
                token=self._agent.token or 0,
                timeout_s=STOP_TIMEOUT_S + self._agent.times.slack_s,
            )
        except (OrderUnanswered, OrderFenced, OrderRefused, OtherIncarnation) as exc:
            log.info("stop_failed", task=task, attempt=attempt, error=str(exc)[:120])
            return False
        return True
