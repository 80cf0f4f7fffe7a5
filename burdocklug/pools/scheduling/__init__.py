"""The scheduler's decisions: which tasks start where, and which jobs wait, are refused or end."""

from burdocklug.pools.scheduling._capacity import find_placement_obstacle
from burdocklug.pools.scheduling._jobs import (
    TaskState,
    critical_path_s,
    job_size_bytes,
    progress_of,
)
from burdocklug.pools.scheduling._latency import merge_counts
from burdocklug.pools.scheduling._load import dump_scheduler, scheduler_load
from burdocklug.pools.scheduling._scheduler import Scheduler

__all__ = [
    "Scheduler",
    "TaskState",
    "critical_path_s",
    "dump_scheduler",
    "find_placement_obstacle",
    "job_size_bytes",
    "merge_counts",
    "progress_of",
    "scheduler_load",
]
