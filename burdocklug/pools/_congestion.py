"""Whether the scheduler keeps up with what other processes send it, and what they refuse if not.

Answers a load above what the scheduler's processor carries, as when all hosts run slower: what is
sent to it then waits, and what has waited for long is of no use to anybody. So each process sends
no more jobs than the scheduler was seen to read lately, and refuses the others at once.
"""

import math

import structlog

from burdocklug.pools._retry_after import bounded_retry_s

__all__ = ["Congestion"]

BUSY_LATE_S = 0.005  # lateness of a loop without time left; at 0.4 cores it is 1 to 3 ms at most
GOOD_DELAY_S = 0.08  # of an answer, beyond the way; below the objective of the shortest jobs, 0.1 s
BASE_GROWTH_S = 0.002  # of the delay by the way, an answer: a longer way is learnt in some 10 s
DRAIN_S = 0.4  # what waits beyond the good delay is worked off within about so long
RATE_MEMORY_S = 0.5  # two to three answers: a process reads few jobs of a peer between two
GROWTH = 1.15  # of the rate with each answer in good time, so that it doubles in about 1 s
FREE_FACTOR = 1.5  # a rate so far above what callers ask for limits nothing and is lifted
MIN_RATE = 1.0  # jobs a second, so that a process learns when the scheduler has time again
CREDIT_S = 0.5  # of the rate can be saved up for jobs that come together
URGENT_DEBT = 2.0  # jobs that each step of urgency may take in advance of the less urgent

log = structlog.get_logger(__name__)


class Congestion:
    """How fast the scheduler reads the jobs of this process, and what follows for the next ones.

    Parameters
    ----------
    now : callable
        Returns monotonic seconds.

    Notes
    -----
    Messages to the scheduler are read in their order: when it answers a question, it has read the
    jobs that were sent before.
    """

    def __init__(self, now):
        self._now = now
        self._rate = None
        self.reset()

    def reset(self):
        """Forget a scheduler that is not followed any more."""
        if self._rate is not None:
            log.info("scheduler_keeps_up", reason="another scheduler")
        self._rate = None  # jobs a second that may be sent, None for any number
        self._sent = {}  # by question: when it was sent, and how many jobs before it
        self._base_s = None  # shortest delay of an answer, which is that of the way
        self._read_jobs = 0
        self._read_rate = 0.0
        self._asked_rate = 0.0
        self._answered_s = self._now()
        self._sent_jobs = 0
        self._asked_jobs = 0
        self._credit = 0.0
        self._credited_s = self._now()

    def note_sent(self, sequence):
        """Note that a question was sent to the scheduler."""
        self._sent[sequence] = (self._now(), self._sent_jobs)

    def note_answered(self, sequence, late_s):
        """Note that the scheduler answered a question.

        Parameters
        ----------
        sequence : int
            Number of the question.
        late_s : float
            By how much the scheduler's loop was late when it answered.
        """
        sent_s, sent_jobs = self._sent.get(sequence, (None, 0))
        if sent_s is None:
            return
        now = self._now()
        self._sent = {s: sent for s, sent in self._sent.items() if s > sequence}
        self._learn_rates(sent_jobs, now)
        delay_s = self._beyond_base(now - sent_s)
        if late_s >= BUSY_LATE_S and delay_s > GOOD_DELAY_S:
            self._limit(delay_s, late_s)
        elif self._rate is not None:
            self._raise_limit(delay_s)

    def _beyond_base(self, delay_s):
        """Return by how much an answer took longer than the way takes."""
        base_s = delay_s if self._base_s is None else self._base_s + BASE_GROWTH_S
        self._base_s = min(base_s, delay_s)
        return delay_s - self._base_s

    def _learn_rates(self, read_jobs, now):
        passed_s = max(now - self._answered_s, 0.001)
        weight = 1.0 - math.exp(-passed_s / RATE_MEMORY_S)
        read, asked = read_jobs - self._read_jobs, self._asked_jobs
        self._read_rate += weight * (read / passed_s - self._read_rate)
        self._asked_rate += weight * (asked / passed_s - self._asked_rate)
        self._answered_s, self._read_jobs, self._asked_jobs = now, read_jobs, 0

    def _limit(self, delay_s, late_s):
        if self._rate is None:
            self._credit, self._credited_s = 0.0, self._now()
            log.warning("scheduler_congested", delay_s=round(delay_s, 3), late_s=round(late_s, 4))
        kept = 1.0 - (delay_s - GOOD_DELAY_S) / DRAIN_S
        self._rate = max(MIN_RATE, kept * self._read_rate)

    def _raise_limit(self, delay_s):
        self._rate *= GROWTH
        if self._rate > FREE_FACTOR * max(self._asked_rate, MIN_RATE):
            self._rate = None
            log.info("scheduler_keeps_up", delay_s=round(delay_s, 3))

    def admits(self, urgency):
        """Return whether the next job may be sent to the scheduler, and count it.

        Parameters
        ----------
        urgency : int
            How many less urgent kinds of jobs there are.
        """
        self._asked_jobs += 1
        if self._rate is not None:
            now = self._now()
            earned = self._rate * (now - self._credited_s)
            self._credit = min(self._credit + earned, 1.0 + CREDIT_S * self._rate)
            self._credited_s = now
            if self._credit < 1.0 - URGENT_DEBT * urgency:
                return False
            self._credit -= 1.0
        self._sent_jobs += 1
        return True

    def retry_after_s(self):
        """Return when a refused job may come again: later, the more is asked for than is read."""
        excess = self._asked_rate / self._rate if self._rate else 1.0
        return bounded_retry_s(excess)
