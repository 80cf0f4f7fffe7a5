"""Orders to one endpoint: starts, stops, and what became of an order that had no answer."""

from dataclasses import dataclass

import eventlet
import structlog

from burdocklug.pools._orders import (
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
    RefusalReason,
)

__all__ = ["OrderSender", "RunOrder"]

START_S = 0.04  # an order without an answer by then is looked after; ten cross-domain trips
STOP_S = 0.04  # as for a start
STOP_TRIES = 25  # over the longest lease with their pauses
STOP_PAUSE_S = 0.02  # between two tries
DOUBT_LOOKS = 3  # after a start without an answer; of 15 % lost answers, all three in 1 of 300

log = structlog.get_logger(__name__)


@dataclass(slots=True, eq=False)
class RunOrder:
    """A start that was sent; times are of the own monotonic clock.

    Parameters
    ----------
    task : Task
        What is to run.
    attempt : int
        Its number.
    sent_s : float
        When it was sent.
    confirmed_s : float or None
        When the endpoint was known to have the run.
    doubted_s : float or None
        Since when it is not known whether the order was carried out.
    stopped_s : float or None
        When the endpoint acknowledged that the run is to end, or will not begin.
    token : int or None
        Fencing token that it was sent with; None for an adopted run.
    percent, progress_s
        Last progress and since when it has been that.
    """

    task: object
    attempt: int
    sent_s: float
    confirmed_s: float | None = None
    doubted_s: float | None = None
    stopped_s: float | None = None
    stopping: bool = False
    token: int | None = None
    percent: int = -1
    progress_s: float = 0.0
    is_judged: bool = False


class OrderSender:
    """Sends the orders of one endpoint's agent.

    Parameters
    ----------
    agent : EndpointAgent
        Holds the endpoint, and is told what its answers say.
    """

    def __init__(self, agent):
        self._agent = agent

    def start(self, task):
        """Send the order to start a task."""
        order = RunOrder(task, task.attempt, self._agent.now(), token=self._agent.token)
        order.progress_s = order.sent_s
        self._agent.orders[task.name] = order
        eventlet.spawn(self._send_start, order)

    def _send_start(self, order):
        task = order.task
        try:
            clock_ms = self._agent.protocol.start(
                self._agent.room.entry,
                task=task.name,
                attempt=order.attempt,
                payload=task.job.spec.payload,
                lease_ms=self._agent.lease_ms(),
                token=order.token,
                timeout_s=START_S,
            )
        except OrderRefused as exc:
            self._note_refused(order, exc)
        except OrderUnanswered as exc:
            order.doubted_s = self._agent.scheduler.missed_s = self._agent.now()
            self._note_doubt(order, exc)
        except OrderFenced as exc:
            self._agent.drop(order, "fenced")
            if order.token == self._agent.token:
                self._agent.note_fenced(exc)
        except OtherIncarnation:
            if order.token == self._agent.token:
                self._agent.note_restarted("other_incarnation")
        else:
            self._agent.clock.note(clock_ms)
            if self._agent.orders.get(task.name) is order:
                order.confirmed_s = self._agent.now()
                self._agent.scheduler.note_started(task, self._agent.room)

    def _note_refused(self, order, exc):
        if self._agent.orders.get(order.task.name) is not order:
            return
        del self._agent.orders[order.task.name]
        if exc.clock_ms is not None:
            self._agent.clock.note(exc.clock_ms)
        log.info(
            "start_refused",
            task=order.task.name,
            attempt=order.attempt,
            endpoint=self._agent.room.entry.endpoint_id,
            reason=exc.reason,
        )
        if exc.reason == RefusalReason.UNHEALTHY:
            self._agent.scheduler.note_fault(order.task, self._agent.room)
        if exc.reason == RefusalReason.ROOM:
            self._agent.room.usable = False  # until the next report
        self._agent.scheduler.note_refused(
            order.task,
            self._agent.room,
            reason=exc.reason,
            raise_attempt=exc.reason == RefusalReason.OLD_ATTEMPT,
        )
        self._agent.wake()

    def _note_doubt(self, order, exc):
        """Find out on a new connection whether an order was carried out; withdraw it if not."""
        self._agent.room.usable = False
        log.info(
            "start_unanswered",
            task=order.task.name,
            attempt=order.attempt,
            endpoint=self._agent.room.entry.endpoint_id,
            error=str(exc)[:120],
        )
        for _ in range(DOUBT_LOOKS):
            if self._try_look() or not self._is_in_doubt(order):
                break
        if self._is_in_doubt(order):
            self.begin_stop(order)

    def _is_in_doubt(self, order):
        held = self._agent.orders.get(order.task.name) is order
        return held and order.confirmed_s is None and not self._agent.closed

    def _try_look(self):
        """Have the endpoint report; return whether it did."""
        try:
            self._agent.look()
        except (OrderUnanswered, OrderFenced, OtherIncarnation) as exc:
            self._agent.protocol.retire(self._agent.room.entry)
            log.info(
                "endpoint_not_reached",
                endpoint=self._agent.room.entry.endpoint_id,
                error=str(exc)[:120],
            )
            return False
        return True

    def stop(self, task):
        """Stop what runs, or may run, of a task."""
        order = self._agent.orders.get(task.name)
        if order is not None:
            self.begin_stop(order)

    def begin_stop(self, order):
        """Stop the run of an order in a greenlet of its own, unless that is under way."""
        if not order.stopping:
            order.stopping = True
            eventlet.spawn(self._stop_order, order)

    def _stop_order(self, order):
        for _ in range(STOP_TRIES):
            if self._agent.orders.get(order.task.name) is not order or self._agent.closed:
                return
            if self.try_stop(order.task.name, order.attempt):
                order.stopped_s = self._agent.now()
                break
            eventlet.sleep(STOP_PAUSE_S)
        if not self._try_look():
            log.info("stop_not_seen", task=order.task.name)

    def try_stop(self, task, attempt):
        """Send one order to stop a run, and return whether the endpoint has taken it."""
        try:
            self._agent.protocol.stop(
                self._agent.room.entry,
                task=task,
                attempt=attempt,
                token=self._agent.token or 0,
                timeout_s=STOP_S,
            )
        except (OrderUnanswered, OrderFenced, OrderRefused, OtherIncarnation) as exc:
            log.info("stop_failed", task=task, attempt=attempt, error=str(exc)[:120])
            return False
        return True
