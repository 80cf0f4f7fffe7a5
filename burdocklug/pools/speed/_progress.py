"""Progress of one run, and when it ends at the pace that it has had."""

from dataclasses import dataclass

__all__ = ["RunProgress"]

MIN_PERCENT = 5  # progress from which a run's pace is known; reports give whole percentages


@dataclass(slots=True)
class RunProgress:
    """Progress that reports gave of one run; times are on the scheduler's clock.

    Parameters
    ----------
    since_s : float
        When the run began, or when an adopted run was first seen.
    from_percent : int
        Its progress then.
    is_adopted : bool
        Whether an earlier scheduler started the run, so that its beginning is an estimate.
    percent : int
        Last reported progress.
    at_s : float
        When that was reported.
    is_sampled : bool
        Whether the run was used as a sample of its endpoint's speed.

    Examples
    --------
    >>> progress = RunProgress(100.0)
    >>> progress.note(20, 100.5)
    >>> progress.projected_end_s()
    102.5
    """

    since_s: float
    from_percent: int = 0
    is_adopted: bool = False
    percent: int = 0
    at_s: float = 0.0
    is_sampled: bool = False

    def note(self, percent, now_s):
        """Record a reported progress."""
        self.percent, self.at_s = percent, now_s

    def projected_end_s(self):
        """Return when the run ends at its mean pace so far, or None if that is not known."""
        gained = self.percent - self.from_percent
        if gained < MIN_PERCENT:
            return None
        return self.at_s + (100 - self.percent) * (self.at_s - self.since_s) / gained
