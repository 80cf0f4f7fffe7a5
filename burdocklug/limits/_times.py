"""Expected run times: declared ones corrected by what was seen."""

import math
from dataclasses import dataclass

__all__ = ["RunTimes"]

MIN_TASKS = 20  # of a team before its own figures count
GAIN = 0.02  # of the moving averages
FIRST_RUN_S = 0.3  # run time until a task of the team has ended
MAX_LOG_RATIO = math.log(30.0)  # one observation counts for no larger error
MIN_ERROR = 0.01
MIN_RUN_S, MAX_RUN_S = 0.001, 3600.0


@dataclass(slots=True)
class _Seen:
    log_ratio: float = 0.0  # of run time over declared time
    mean_s: float = FIRST_RUN_S
    declared_error: float = 0.5  # mean absolute log error of the corrected declared time
    mean_error: float = 1.0  # the same of the mean run time
    tasks: int = 0

    def learn(self, declared_s, run_s):
        """Take in one task that ended."""
        self.tasks += 1
        gain = max(GAIN, 1.0 / (self.tasks + 1))
        run_s = min(max(run_s, MIN_RUN_S), MAX_RUN_S)
        ratio = math.log(run_s / min(max(declared_s, MIN_RUN_S), MAX_RUN_S))
        ratio = min(max(ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)
        self.declared_error += gain * (abs(ratio - self.log_ratio) - self.declared_error)
        self.mean_error += gain * (abs(math.log(run_s / self.mean_s)) - self.mean_error)
        self.log_ratio += gain * (ratio - self.log_ratio)
        self.mean_s += gain * (run_s - self.mean_s)


class RunTimes:
    """Run times to expect of the tasks of one service, team by team.

    The declared time is corrected by the team's usual ratio, and drawn towards the team's mean
    run time as far as declared times turned out to err more than the mean does.

    Examples
    --------
    >>> times = RunTimes()
    >>> for number in range(300):
    ...     run_s = (0.1, 1.0)[number % 2]
    ...     times.observe("a", declared_s=10 * run_s, run_s=run_s)
    >>> round(times.expect("a", declared_s=5.0), 1)
    0.5
    """

    def __init__(self):
        self._teams = {}
        self._all = _Seen()  # for teams of which little is known

    def observe(self, team, *, declared_s, run_s):
        """Learn from a task that ended; times in seconds."""
        self._all.learn(declared_s, run_s)
        self._teams.setdefault(team, _Seen()).learn(declared_s, run_s)

    def expect(self, team, *, declared_s):
        """Return the run time to expect, in seconds; `declared_s` None means not declared."""
        seen = self._teams.get(team)
        if seen is None or seen.tasks < MIN_TASKS:
            seen = self._all
        if declared_s is None:
            return seen.mean_s
        declared_s = min(max(declared_s, MIN_RUN_S), MAX_RUN_S)
        trust = seen.mean_error**2 / (seen.mean_error**2 + seen.declared_error**2 + MIN_ERROR**2)
        log_s = trust * (math.log(declared_s) + seen.log_ratio)
        log_s += (1 - trust) * math.log(seen.mean_s)
        return min(max(math.exp(log_s), MIN_RUN_S), MAX_RUN_S)
