"""Team quotas as a part of a process."""

from burdocklug.kernel import part

__all__ = ["TeamLimits"]


class TeamLimits:
    """Whether a team may start another task in this process.

    Parameters
    ----------
    process : Process
        The process with its parts.
    """

    def __init__(self, process):
        self._configuration = process["tickets"].configuration
        self._fleet = max(1, len(process.settings.process.fleet))
        self._running = {}

    def may_start(self, team):
        """Return whether a team is under its share of its quota."""
        limits = self._configuration.team(team)
        if limits is None:
            return False
        return self._running.get(team, 0) < max(1, limits.max_running // self._fleet)

    def note_started(self, team):
        """Count a started task."""
        self._running[team] = self._running.get(team, 0) + 1

    def note_ended(self, team):
        """Count a task as no longer running."""
        self._running[team] -= 1

    def dump(self):
        """Return the running tasks by team."""
        return {team: count for team, count in self._running.items() if count}


@part("limits", needs=("tickets",))
def build_limits(process):
    """Return the team limits of a process."""
    return TeamLimits(process)
