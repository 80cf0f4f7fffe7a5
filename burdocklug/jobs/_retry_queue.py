"""Retries of tasks that did not start: backoff, then the retry budget."""

import collections

import structlog

from burdocklug.jobs._jobs import TaskState

__all__ = ["RetryQueue"]

log = structlog.get_logger(__name__)


class RetryQueue:
    """Requeues tasks after their backoff, in order, as the retry budget allows.

    Parameters
    ----------
    ctx : DispatchContext
        Timers, backoff and budget.
    requeue : callable
        ``(lane, task)``; puts a task back into the queue of its lane.
    """

    def __init__(self, ctx, requeue):
        self._ctx = ctx
        self._requeue = requeue
        self._due = collections.deque()

    def add(self, lane, task, reason):
        """Schedule the retry of a task whose attempt did not start for `reason`."""
        task.state = TaskState.QUEUED
        task.retries += 1
        log.debug("task_not_started", task=task.task_id, reason=reason)
        delay_s = self._ctx.retry_delay_s(task.retries)
        self._ctx.timers.after(delay_s, lambda: self._append_due(lane, task))

    def _append_due(self, lane, task):
        self._due.append((lane, task))
        self.requeue_due()

    def requeue_due(self):
        """Requeue tasks while the retry budget allows it, and drop those of closed jobs."""
        now = self._ctx.timers.now()
        while self._due:
            lane, task = self._due[0]
            if not task.job.closed:
                if not self._ctx.retry_budget.try_retry(now):
                    return
                self._requeue(lane, task)
            self._due.popleft()
