"""Timeouts of orders to endpoints, adapted to how late this process and its link are."""

__all__ = ["AnswerTimes"]

USUAL_ANSWER_S = 0.02  # several round trips between failure domains
MEAN_WEIGHT = 0.1  # weight of one answer in the mean lateness
SLACK_FACTOR = 3.0  # multiple of the mean lateness that is waited for
SLACK_DECAY = 0.95  # factor on the slack for each answer; some 100 prompt ones end it
FIRST_SLACK_S = 0.04  # doubles with each further missed answer
MAX_SLACK_S = 0.3  # a report that waits for 0.4 s still ends before a lease of 1 s does
# Lag of the event loop from which a missed answer is put down to this process, not to a loss; half
# of the shortest timeout.
LATE_LOOP_S = 0.02


class AnswerTimes:
    """Adapts the timeouts of one scheduler's orders to what answers took lately.

    A loop that is late reads and sends late, so with fixed timeouts an overloaded scheduler takes
    each answer for lost and adds the work of looking for it.

    Attributes
    ----------
    slack_s : float
        Seconds to add to the timeout of an order or of a report.

    Examples
    --------
    >>> times = AnswerTimes()
    >>> times.note_answer(0.003)
    >>> times.slack_s
    0.0
    >>> times.note_missed(loop_lag_s=0.08)
    >>> times.slack_s
    0.04
    """

    def __init__(self):
        self.slack_s = 0.0
        self._mean_lateness_s = 0.0

    def note_answer(self, took_s):
        """Record how long an answer took, in seconds."""
        lateness_s = max(0.0, took_s - USUAL_ANSWER_S)
        self._mean_lateness_s += MEAN_WEIGHT * (lateness_s - self._mean_lateness_s)
        if self.slack_s or lateness_s:
            slack_s = max(SLACK_FACTOR * self._mean_lateness_s, SLACK_DECAY * self.slack_s)
            self.slack_s = min(slack_s, MAX_SLACK_S) if slack_s > 0.001 else 0.0

    def note_missed(self, *, loop_lag_s):
        """Record that an answer did not arrive in time, while the loop had the given lag."""
        if loop_lag_s >= LATE_LOOP_S:
            self.slack_s = min(max(FIRST_SLACK_S, 2 * self.slack_s), MAX_SLACK_S)
