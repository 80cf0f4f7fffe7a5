"""Expected run times: declared times, corrected by the observed ones."""

import math
from dataclasses import dataclass

__all__ = ["RunTimes"]

MIN_TEAM_TASKS = 20  # ended tasks before a team's own statistics are used
AVERAGE_GAIN = 0.02  # weight of one observation in the moving averages
INITIAL_RUN_S = 0.3  # mean run time before any task has ended
MAX_LOG_RATIO = math.log(30.0)  # bounds the effect of one observation
MIN_LOG_ERROR = 0.01  # keeps the weights defined when both errors are 0
MIN_RUN_S, MAX_RUN_S = 0.001, 3600.0  # bounds of declared and observed run times


@dataclass(slots=True)
class _RunStats:
    """Moving averages of run times and of the errors of the two ways to estimate them."""

    log_ratio: float = 0.0  # mean log of run time over declared time
    mean_s: float = INITIAL_RUN_S
    declared_error: float = 0.5  # mean absolute log error of the corrected declared time
    mean_error: float = 1.0  # mean absolute log error of the mean run time
    tasks: int = 0

    def update(self, declared_s, run_s):
        """Add one ended task to the averages."""
        self.tasks += 1
        gain = max(AVERAGE_GAIN, 1.0 / (self.tasks + 1))
        run_s = min(max(run_s, MIN_RUN_S), MAX_RUN_S)
        ratio = math.log(run_s / min(max(declared_s, MIN_RUN_S), MAX_RUN_S))
        ratio = min(max(ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)
        self.declared_error += gain * (abs(ratio - self.log_ratio) - self.declared_error)
        self.mean_error += gain * (abs(math.log(run_s / self.mean_s)) - self.mean_error)
        self.log_ratio += gain * (ratio - self.log_ratio)
        self.mean_s += gain * (run_s - self.mean_s)


class RunTimes:
    """Estimates run times of one service's tasks, separately for each team.

    The estimate is a weighted geometric mean of the declared time, corrected by the team's mean
    ratio of run time to declared time, and of the team's mean run time. The weights depend on
    the past errors of the two.

    Examples
    --------
    >>> times = RunTimes()
    >>> for number in range(300):
    ...     run_s = (0.1, 1.0)[number % 2]
    ...     times.observe("a", declared_s=10 * run_s, run_s=run_s)
    >>> round(times.expected_run_s("a", declared_s=5.0), 1)
    0.5
    """

    def __init__(self):
        self._teams = {}
        self._all_teams = _RunStats()  # used for teams with few ended tasks

    def observe(self, team, *, declared_s, run_s):
        """Add the run time of an ended task; times in seconds."""
        self._all_teams.update(declared_s, run_s)
        self._teams.setdefault(team, _RunStats()).update(declared_s, run_s)

    def expected_run_s(self, team, *, declared_s):
        """Return the expected run time in seconds; `declared_s` is None if none was declared."""
        stats = self._teams.get(team)
        if stats is None or stats.tasks < MIN_TEAM_TASKS:
            stats = self._all_teams
        if declared_s is None:
            return stats.mean_s
        declared_s = min(max(declared_s, MIN_RUN_S), MAX_RUN_S)
        declared_weight = stats.mean_error**2 / (
            stats.mean_error**2 + stats.declared_error**2 + MIN_LOG_ERROR**2
        )
        log_s = declared_weight * (math.log(declared_s) + stats.log_ratio)
        log_s += (1 - declared_weight) * math.log(stats.mean_s)
        return min(max(math.exp(log_s), MIN_RUN_S), MAX_RUN_S)
