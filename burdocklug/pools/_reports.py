"""What an endpoint's reports say of the orders that were sent to it."""

import eventlet
import structlog

from burdocklug.pools._placement import expected_run_s

__all__ = ["ReportIntake", "order_life_s"]

CLOCK_DRIFT = 1.021  # an endpoint's clock may be 2 % slow
LAPSE_MARGIN_S = 0.05  # for the end of a lapsed run
CAREFUL_S = 3.0  # after a lost answer of any endpoint
OVERDUE_FACTOR = 1.6  # times the expected run time, after which progress is looked at
CAREFUL_FACTOR = 1.2  # the same while answers get lost or runs stand still
OVERDUE_SLACK_S = 0.03
STALLED_S = 0.15  # an overdue run without progress for so long stands still

log = structlog.get_logger(__name__)


def order_life_s(lease_s):
    """Return how long an order, or a run that is not renewed, may go on by the own clock.

    Examples
    --------
    >>> round(order_life_s(1.0), 3)
    1.071
    """
    return lease_s * CLOCK_DRIFT + LAPSE_MARGIN_S


class ReportIntake:
    """Takes in the reports of one endpoint's agent.

    Parameters
    ----------
    agent : EndpointAgent
        Holds the endpoint and the orders sent to it.

    Attributes
    ----------
    acked : int
        Number of the last end that was taken in.
    missed : int
        Reports in a row that did not come.
    """

    def __init__(self, agent):
        self.acked = 0
        self.missed = 0
        self._agent = agent
        self._started_ms = agent.room.entry.started_ms

    @property
    def is_careful(self):
        """Whether answers got lost lately, at any endpoint."""
        scheduler = self._agent.scheduler
        return self._agent.now() - scheduler.missed_s < CAREFUL_S

    def take_in(self, report, sent_s):
        """Bring orders and the scheduler's record in line with a report.

        Parameters
        ----------
        report : RunReport
            The report.
        sent_s : float
            When it was asked for; it says nothing of orders confirmed later.
        """
        if self._is_restarted(report):
            self._note_new_life()
            return
        self._agent.clock.note(report.clock_ms)
        self._agent.note_answered()
        for end in report.ended:
            if end.number > self.acked:
                self.acked = end.number
                self._take_end(end)
        self.missed = 0
        active = {line.task: line for line in report.active}
        for order in list(self._agent.orders.values()):
            self._compare(order, active.pop(order.task.name, None), sent_s)
        for line in active.values():
            self._stop_stranger(line)
        self._agent.set_usable(not active)

    def _is_restarted(self, report):
        if not report.started_ms:
            return False
        if not self._started_ms:
            self._started_ms = report.started_ms
        return report.started_ms != self._started_ms

    def _note_new_life(self):
        """Note that the endpoint began anew under its name.

        Orders that were on their way may have reached the new life, or may do so yet. The report
        of the next take-over tells of those that were answered; the others are withdrawn then.
        """
        self.begin_anew("new_start")
        for order in self._agent.orders.values():
            if order.confirmed_s is None and order.doubted_s is None:
                order.doubted_s = self._agent.now()

    def begin_anew(self, reason):
        """Forget what was known of the life before."""
        log.info("endpoint_restarted", endpoint=self._agent.room.entry.endpoint_id, reason=reason)
        self._agent.room.usable = False
        self._agent.token = None
        self.acked = 0
        self._started_ms = 0

    def _take_end(self, end):
        order = self._agent.orders.get(end.task)
        if order is None or order.attempt != end.attempt:
            return
        del self._agent.orders[end.task]
        self._agent.scheduler.note_end(
            order.task, self._agent.room, end.kind, is_prompt=self.missed == 0
        )

    def _compare(self, order, line, sent_s):
        if line is not None and line.attempt == order.attempt:
            self._note_active(order, line)
        elif order.stopped_s is not None and order.stopped_s < sent_s:
            self._agent.drop(order, "stopped")
        elif order.confirmed_s is not None and order.confirmed_s < sent_s:
            self._agent.drop(order, "vanished")
        elif (
            order.doubted_s is not None
            and order.sent_s + order_life_s(self._agent.lease_s) < sent_s
        ):
            self._agent.drop(order, "expired")

    def _note_active(self, order, line):
        now = self._agent.now()
        if order.confirmed_s is None:
            order.confirmed_s, order.doubted_s = now, None
            self._agent.scheduler.note_started(order.task, self._agent.room)
        if line.percent != order.percent:
            order.percent, order.progress_s = line.percent, now
            self._judge(order, now)
        elif now >= self.overdue_s(order) and not order.stopping:
            log.info(
                "run_stands_still",
                task=order.task.name,
                endpoint=self._agent.room.entry.endpoint_id,
                percent=line.percent,
                age_s=round(now - order.sent_s, 3),
            )
            self._agent.scheduler.missed_s = now
            self._agent.scheduler.note_fault(order.task, self._agent.room)
            self._agent.sender.begin_stop(order)

    def _judge(self, order, now):
        """Learn once from the progress of a run that should have ended."""
        age_s = now - order.sent_s
        due_s = OVERDUE_FACTOR * expected_run_s(order.task, self._agent.room)
        if not order.is_judged and order.percent > 0 and age_s > due_s:
            order.is_judged = True
            total_s = 100 * age_s / order.percent
            self._agent.scheduler.note_slow_run(order.task, self._agent.room, total_s)

    def _stop_stranger(self, line):
        log.info("stranger_stopped", task=line.task, endpoint=self._agent.room.entry.endpoint_id)
        eventlet.spawn(self._agent.sender.try_stop, line.task, line.attempt)

    def overdue_s(self, order):
        """Return from when on the progress of a run is looked at."""
        expected_s = expected_run_s(order.task, self._agent.room)
        factor = CAREFUL_FACTOR if self.is_careful else OVERDUE_FACTOR
        due_s = order.sent_s + factor * expected_s + OVERDUE_SLACK_S
        return max(due_s, order.progress_s + STALLED_S)
