"""Congestion control of the jobs that a process sends to the scheduler.

Guards against a load above what the scheduler's processor can handle, for instance while all hosts
run slower: messages queue up at the scheduler, and a job that has queued for long misses its
deadline. Each process therefore sends no more jobs than the scheduler has read recently, and
refuses the others at once.
"""

import math

import structlog

from burdocklug.pools._retry_after import MIN_RETRY_S, bounded_retry_s

__all__ = ["CongestionControl"]

# Lag of a saturated event loop; an unsaturated one with 0.4 cores lags by 1 to 3 ms at most.
BUSY_LAG_S = 0.005
TARGET_DELAY_S = 0.08  # queueing delay of a reply; below the 0.1 s objective of the shortest jobs
# Added to the estimated round trip with each reply, so that a longer path is learnt in about 10 s.
ROUND_TRIP_GROWTH_S = 0.002
BACKLOG_DRAIN_S = 0.4  # time in which the backlog above the target delay is worked off
# Time constant of the rate averages: two to three reply intervals, since few jobs are read in one.
RATE_WINDOW_S = 0.5
RATE_GROWTH = 1.15  # factor on the limit for each reply that is not late; doubles it in about 1 s
LIFT_FACTOR = 1.5  # the limit is lifted once it exceeds the offered rate by this factor
MIN_JOBS_PER_S = 1.0  # lowest limit; some jobs still show whether the scheduler has recovered
BURST_S = 0.5  # size of the token bucket beyond one job, in seconds at the limit
# Tokens that a job may overdraw for each configured priority that is less urgent than its own.
OVERDRAFT_PER_PRIORITY = 2.0
SPREAD_STEP = 0.618  # golden ratio, whose multiples are spread evenly over an interval

log = structlog.get_logger(__name__)


class CongestionControl:
    """Limits the jobs sent to the scheduler to the rate at which it reads them.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.

    Notes
    -----
    The scheduler reads messages in order: when it replies to a heartbeat, it has read the
    jobs that were sent before. A token bucket limits the jobs while the scheduler is congested.
    """

    def __init__(self, now):
        self._now = now
        self._limit_per_s = None
        self.reset()

    def reset(self):
        """Forget the measurements of a scheduler that is no longer followed."""
        if self._limit_per_s is not None:
            log.info("scheduler_keeps_up", reason="another scheduler is followed")
        self._limit_per_s = None  # None while there is no limit
        self._sent = {}  # heartbeat number to its time and the number of jobs sent before
        self._round_trip_s = None  # estimated from the shortest delay of a reply
        self._read_jobs = 0
        self._read_rate = 0.0
        self._offered_rate = 0.0
        self._last_reply_s = self._now()
        self._sent_jobs = 0
        self._offered_jobs = 0
        self._tokens = 0.0
        self._refilled_s = self._now()
        self._spread = 0.0  # place of the last refused job in the interval of returns, 0 to 1

    def note_sent(self, sequence):
        """Record that a heartbeat was sent to the scheduler."""
        self._sent[sequence] = (self._now(), self._sent_jobs)

    def note_reply(self, sequence, lag_s):
        """Update the limit after a reply of the scheduler to a heartbeat.

        Parameters
        ----------
        sequence : int
            Number of the heartbeat.
        lag_s : float
            Lag of the scheduler's event loop when it replied, in seconds.
        """
        sent_s, sent_jobs = self._sent.get(sequence, (None, 0))
        if sent_s is None:
            return
        now = self._now()
        self._sent = {s: sent for s, sent in self._sent.items() if s > sequence}
        self._update_rates(sent_jobs, now)
        delay_s = self._update_round_trip(now - sent_s)
        if lag_s >= BUSY_LAG_S and delay_s > TARGET_DELAY_S:
            self._lower_limit(delay_s, lag_s)
        elif self._limit_per_s is not None:
            self._raise_limit(delay_s)

    def _update_round_trip(self, delay_s):
        """Update the estimated round trip from a reply's delay, and return the queueing delay.

        The queueing delay is the part of the reply's delay that exceeds the estimate.
        """
        round_trip_s = (
            delay_s if self._round_trip_s is None else self._round_trip_s + ROUND_TRIP_GROWTH_S
        )
        self._round_trip_s = min(round_trip_s, delay_s)
        return delay_s - self._round_trip_s

    def _update_rates(self, read_jobs, now):
        passed_s = max(now - self._last_reply_s, 0.001)
        weight = 1.0 - math.exp(-passed_s / RATE_WINDOW_S)
        read, offered = read_jobs - self._read_jobs, self._offered_jobs
        self._read_rate += weight * (read / passed_s - self._read_rate)
        self._offered_rate += weight * (offered / passed_s - self._offered_rate)
        self._last_reply_s, self._read_jobs, self._offered_jobs = now, read_jobs, 0

    def _lower_limit(self, delay_s, lag_s):
        if self._limit_per_s is None:
            self._tokens, self._refilled_s = 0.0, self._now()
            log.warning("scheduler_congested", delay_s=round(delay_s, 3), late_s=round(lag_s, 4))
        share = 1.0 - (delay_s - TARGET_DELAY_S) / BACKLOG_DRAIN_S
        self._limit_per_s = max(MIN_JOBS_PER_S, share * self._read_rate)

    def _raise_limit(self, delay_s):
        self._limit_per_s *= RATE_GROWTH
        if self._limit_per_s > LIFT_FACTOR * max(self._offered_rate, MIN_JOBS_PER_S):
            self._limit_per_s = None
            log.info("scheduler_keeps_up", delay_s=round(delay_s, 3))

    def try_admit(self, urgency):
        """Return whether the next job may be sent to the scheduler; if so, take a token.

        Parameters
        ----------
        urgency : int
            Number of configured priorities that are less urgent than the job's.
        """
        self._offered_jobs += 1
        if self._limit_per_s is not None:
            now = self._now()
            earned = self._limit_per_s * (now - self._refilled_s)
            self._tokens = min(self._tokens + earned, 1.0 + BURST_S * self._limit_per_s)
            self._refilled_s = now
            if self._tokens < 1.0 - OVERDRAFT_PER_PRIORITY * urgency:
                return False
            self._tokens -= 1.0
        self._sent_jobs += 1
        return True

    def retry_after_s(self):
        """Return the delay before a refused job may be retried.

        It grows with the excess load, and is spread so that callers that are refused together do
        not return together.
        """
        excess = self._offered_rate / self._limit_per_s if self._limit_per_s else 1.0
        longest_s = max(bounded_retry_s(excess), 2.0 * MIN_RETRY_S)
        self._spread = (self._spread + SPREAD_STEP) % 1.0
        return longest_s - self._spread * (longest_s - max(MIN_RETRY_S, longest_s / 2))
