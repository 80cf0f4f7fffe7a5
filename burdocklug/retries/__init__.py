"""Handling of failed attempts: status queries, the action table, backoff, the retry budget."""

from burdocklug.retries._actions import ACTIONS, Action, FailedPhase, backoff_s, phase_of_state
from burdocklug.retries._attempts import Finished, NotRun, Unknown, health_outcome, run_attempt
from burdocklug.retries._budget import RetryBudget

__all__ = [
    "ACTIONS",
    "Action",
    "FailedPhase",
    "Finished",
    "NotRun",
    "RetryBudget",
    "Unknown",
    "backoff_s",
    "health_outcome",
    "phase_of_state",
    "run_attempt",
]
