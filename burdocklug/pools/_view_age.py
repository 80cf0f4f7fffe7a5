"""How old a process's view of the store is, and whether decisions may be based on it."""

__all__ = ["ViewAge"]

# A leaving endpoint must get no work 2 s after its entry changed; the rest is for a start's way.
MAX_AGE_S = 1.8
# A new scheduler waits for its first answer for a timeout of the store, a retry and a margin.
FIRST_ANSWER_WAIT_S = 1.4
FAILURES_BEFORE_ANSWER = 2  # the first one may be due to a connection that has gone silent


class ViewAge:
    """Age of a view, counted from when the last answered call was sent.

    Attributes
    ----------
    read_s : float
        When the last call was sent that the store answered.
    failures : int
        Number of calls since then that the store did not answer in time.
    is_doubtful : bool
        Whether another call since then had no answer while the event loop was late, so that the
        view may be older than one failed call explains.

    Examples
    --------
    >>> view = ViewAge()
    >>> view.note_answer(10.0)
    >>> view.is_usable(11.7, since_s=5.0), view.is_usable(11.9, since_s=5.0)
    (True, False)
    >>> view.note_failure(is_loop_late=True)
    >>> view.note_failure()
    >>> view.is_usable(11.9, since_s=5.0)
    False
    >>> view.note_failure()
    >>> view.is_usable(11.9, since_s=5.0)
    True
    """

    def __init__(self):
        self.read_s = float("-inf")
        self.failures = 0
        self.is_doubtful = False

    def note_answer(self, sent_s):
        """Record an answer to a call that was sent at `sent_s`."""
        self.read_s = sent_s
        self.failures = 0
        self.is_doubtful = False

    def note_failure(self, *, is_loop_late=False):
        """Record a call without an answer.

        Parameters
        ----------
        is_loop_late : bool
            Whether the event loop was late while the call was out. An answer may have arrived in
            time then, so the failure does not show that the store is silent.
        """
        if is_loop_late:
            self.is_doubtful = True
        else:
            self.failures += 1

    def age_s(self, now_s):
        """Return the time since the view was known to be current, in seconds."""
        return now_s - self.read_s

    def known_age_s(self, now_s):
        """Return the same, or None if the view was never read."""
        return None if self.read_s == float("-inf") else self.age_s(now_s)

    def is_usable(self, now_s, *, since_s):
        """Return whether a scheduler may base the start of tasks on the view.

        It may while the view is recent, and while the store does not answer: then it goes on with
        what is known. It may not while an answer is still due.

        Parameters
        ----------
        now_s : float
            The current time.
        since_s : float
            When this process became the scheduler.
        """
        if self.read_s < since_s:
            is_overdue = now_s - since_s > FIRST_ANSWER_WAIT_S
            is_silent = is_overdue and not self.is_doubtful
            return is_silent or self.failures >= FAILURES_BEFORE_ANSWER
        needed = FAILURES_BEFORE_ANSWER if self.is_doubtful else 1
        return self.failures >= needed or self.age_s(now_s) <= MAX_AGE_S
