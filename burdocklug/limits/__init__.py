"""Limits: queues fair between teams, admission by expected wait, and team quotas.

Everything here is a decision over plain data; the time is an argument.
"""

from burdocklug.limits._queue import FairQueue, QueuedTask, QueueFull

__all__ = ["FairQueue", "QueueFull", "QueuedTask"]
