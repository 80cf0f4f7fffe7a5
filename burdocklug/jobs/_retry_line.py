"""Tasks that did not start and wait to be queued again."""

import collections

import structlog

from burdocklug.jobs._jobs import TaskState

__all__ = ["RetryLine"]

log = structlog.get_logger(__name__)


class RetryLine:
    """Holds tasks for their backoff, then in order for the retry budget.

    Parameters
    ----------
    ctx : DispatchContext
        Timers, backoff and budget.
    push : callable
        ``(lane, task, now_s)``; queues a task again.
    """

    def __init__(self, ctx, push):
        self._ctx = ctx
        self._push = push
        self._line = collections.deque()

    def add(self, lane, task, reason):
        """Take a task whose attempt did not start for `reason`."""
        task.state = TaskState.QUEUED
        task.retries += 1
        log.debug("task_not_started", task=task.task_id, reason=reason)
        delay_s = self._ctx.retry_delay_s(task.retries)
        self._ctx.timers.after(delay_s, lambda: self._enter(lane, task))

    def _enter(self, lane, task):
        self._line.append((lane, task))
        self.drain()

    def drain(self):
        """Queue tasks as far as the retry budget allows; those of closed jobs are dropped."""
        now = self._ctx.timers.now()
        while self._line:
            lane, task = self._line[0]
            if not task.job.closed:
                if not self._ctx.retry_budget.try_retry(now):
                    return
                self._push(lane, task)
            self._line.popleft()
