"""Passive health of one service's endpoints: ejection, single trials, weights."""

import enum
import random
import statistics
from collections import Counter

import msgspec

from burdocklug.endpoints._health_rules import (
    SLOWNESS_GAIN,
    EndpointRecord,
    Fault,
    Standing,
    decay_factor,
    find_fault,
    peer_ratio,
    share_limit,
    weight_of,
)

__all__ = ["EndpointHealth", "Outcome", "OutcomeKind"]

TRIAL_INTERVAL_S = 1.0
MAX_TRIAL_INTERVAL_S = 30.0
TRIAL_JITTER = 0.25
TRIAL_TIMEOUT_S = 30.0
FORGIVE_S = 60.0  # without an ejection until the interval between trials starts over
MAX_FAILED_JOBS = 256  # whose failures are told apart
PEERS_PERIOD_S = 0.5  # between two computations of the peers' slowness


class OutcomeKind(enum.StrEnum):
    """What an attempt showed of its endpoint."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"  # the task ran and failed
    SILENT = "silent"  # no answer, and none to a question
    REFUSED = "refused"  # no connection


class Outcome(msgspec.Struct, frozen=True):
    """What one attempt showed.

    Parameters
    ----------
    kind : OutcomeKind
        How it ended.
    run_s, expected_s : float
        Run time and expected run time in seconds, of attempts that succeeded.
    job : str
        Key of the task's job, of attempts that failed; empty for one that is like no other.
    """

    kind: OutcomeKind
    run_s: float = 0.0
    expected_s: float = 0.0
    job: str = ""


class EndpointHealth:
    """Health of the endpoints of one service, from this process's traffic.

    Parameters
    ----------
    endpoints : dict of str to str
        Failure domain of each address.
    rng : random.Random, optional
        Source of the jitter between trials.

    Notes
    -----
    An endpoint is ejected at the first failure that is unlikely at its peers' failure ratio, so
    one that fails everything spoils what is in flight at that moment, at most its slots, and
    then one task per trial. A success of a task in flight takes a run of failures back. A job
    counts once at each endpoint, and once it fails at a second one it is at fault itself: it
    ejects neither, unless another job fails there too.

    Examples
    --------
    >>> health = EndpointHealth({"a:1": "d1", "b:1": "d1", "c:1": "d1"})
    >>> health.note("a:1", Outcome(OutcomeKind.FAILED), now_s=0.0)
    >>> health.usable("a:1", 0.1), health.try_acquire_trial("a:1", 0.1)
    (False, False)
    >>> health.try_acquire_trial("a:1", 2.0), health.try_acquire_trial("a:1", 2.0)
    (True, False)
    >>> health.note("a:1", Outcome(OutcomeKind.SUCCEEDED, 0.1, 0.1), now_s=2.1)
    >>> health.usable("a:1", 2.2)
    True
    """

    def __init__(self, endpoints, *, rng=None):
        self.rng = rng or random.Random()
        self.counts = Counter()
        self._records = {}
        self._domains = Counter()
        self._succeeded = 0.0
        self._failed = 0.0
        self._counted_s = 0.0
        self._peer_slowness = 1.0
        self._peers_due_s = 0.0
        self._job_failures = {}  # job to the addresses where it failed, the latest jobs only
        self.set_endpoints(endpoints)

    def set_endpoints(self, endpoints):
        """Replace the set of endpoints; what is known of those that stay is kept."""
        self._records = {
            address: self._records.get(address) or EndpointRecord(domain)
            for address, domain in endpoints.items()
        }
        for address, domain in endpoints.items():
            self._records[address].failure_domain = domain
        self._domains = Counter(endpoints.values())

    def note(self, address, outcome, now_s):
        """Take in the outcome of one attempt."""
        record = self._records.get(address)
        if record is None:
            return
        record.decay(now_s)
        if self._counts(address, outcome):
            self._count(record, outcome, now_s)
        if outcome.kind is OutcomeKind.FAILED:
            self._clear_others(address, outcome.job, now_s)
        if record.standing is Standing.ACTIVE:
            self._judge(record, now_s)
        elif outcome.kind is OutcomeKind.SUCCEEDED:
            self._note_success_while_out(record, now_s)
        elif record.trial_ends_s is not None:
            self._schedule_trial(record, now_s)

    def _counts(self, address, outcome):
        """Return whether an outcome counts; a job's failures count once at each endpoint."""
        if outcome.kind is not OutcomeKind.FAILED or not outcome.job:
            return True
        places = self._job_failures.setdefault(outcome.job, set())
        if len(self._job_failures) > MAX_FAILED_JOBS:
            del self._job_failures[next(iter(self._job_failures))]
        known = address in places
        places.add(address)
        return not known

    def _all_shared(self, record):
        """Return whether every job of a run of failures failed at another endpoint too."""
        if len(record.failing_jobs) < record.failure_run:
            return False
        return all(len(self._job_failures.get(job, ())) > 1 for job in record.failing_jobs)

    def _clear_others(self, address, job, now_s):
        """Re-admit endpoints that a job ejected which turns out to be at fault itself."""
        for other in self._job_failures.get(job, ()):
            record = self._records.get(other)
            if other == address or record is None or record.fault is not Fault.FAILURE_RUN:
                continue
            if self._find_fault(record) is None:
                self._take_back(record)

    def _count(self, record, outcome, now_s):
        factor = decay_factor(now_s - self._counted_s)
        self._succeeded *= factor
        self._failed *= factor
        self._counted_s = now_s
        if outcome.kind is OutcomeKind.SUCCEEDED:
            record.succeeded += 1
            self._succeeded += 1
            record.failure_run = record.silent_run = 0
            record.failing_jobs.clear()
            if outcome.expected_s > 0:
                slowness = outcome.run_s / outcome.expected_s
                record.slowness += SLOWNESS_GAIN * (slowness - record.slowness)
                record.runs += 1
        elif outcome.kind is OutcomeKind.FAILED:
            record.failed += 1
            self._failed += 1
            record.failure_run += 1
            if outcome.job:
                record.failing_jobs.add(outcome.job)
            record.silent_run = 0
        else:
            record.silent_run += 1

    def _peer_ratio(self, record):
        failed = max(0.0, self._failed - record.failed)
        succeeded = max(0.0, self._succeeded - record.succeeded)
        return peer_ratio(failed, failed + succeeded)

    def _find_fault(self, record):
        ratio = self._peer_ratio(record)
        return find_fault(record, ratio, all_shared=self._all_shared(record))

    def _judge(self, record, now_s):
        fault = self._find_fault(record)
        if fault is None:
            return
        fleet_limit, domain_limit = share_limit(
            fault, fleet=len(self._records), domain=self._domains[record.failure_domain]
        )
        in_domain = self.ejected(record.failure_domain)
        if self.ejected() < fleet_limit and in_domain < domain_limit:
            self._put_out(record, Standing.EJECTED, fault, now_s)
        elif fault is Fault.UNREACHABLE:
            self._put_out(record, Standing.PACED, fault, now_s)
        else:
            self.counts["spared"] += 1

    def _put_out(self, record, standing, fault, now_s):
        if record.admitted_s is not None and now_s - record.admitted_s > FORGIVE_S:
            record.ejections = 0
        record.standing = standing
        record.fault = fault
        self.counts[standing.value] += 1
        self._schedule_trial(record, now_s)

    def _schedule_trial(self, record, now_s):
        interval_s = TRIAL_INTERVAL_S
        if record.standing is Standing.EJECTED:
            interval_s = min(MAX_TRIAL_INTERVAL_S, TRIAL_INTERVAL_S * 2 ** min(record.ejections, 8))
            record.ejections += 1
        record.trial_ends_s = None
        record.trial_due_s = now_s + interval_s * (1 + self.rng.uniform(0, TRIAL_JITTER))

    def _note_success_while_out(self, record, now_s):
        on_trial = record.trial_ends_s is not None
        if not on_trial and record.fault is Fault.FAILURE_RATIO:
            return
        if record.fault is Fault.FAILURE_RATIO or on_trial:
            record.succeeded = record.failed = 0.0
        if on_trial:
            record.admitted_s = now_s
            self._activate(record)
        else:
            self._take_back(record)

    def _take_back(self, record):
        """Take an ejection back."""
        record.ejections = max(0, record.ejections - 1)
        self._activate(record)

    def _activate(self, record):
        record.standing = Standing.ACTIVE
        record.fault = record.trial_ends_s = None
        self.counts["admitted"] += 1

    def ejected(self, failure_domain=None):
        """Return the number of ejected endpoints, of one failure domain or of all."""
        return sum(
            record.standing is Standing.EJECTED and failure_domain in (None, record.failure_domain)
            for record in self._records.values()
        )

    def standing(self, address):
        """Return the `Standing` of an endpoint."""
        return self._records[address].standing

    def usable(self, address, now_s):
        """Return whether the endpoint may get tasks other than trials."""
        record = self._records.get(address)
        return record is not None and record.standing is Standing.ACTIVE

    def try_acquire_trial(self, address, now_s):
        """Return whether one task may be sent to an unusable endpoint, and count it as sent."""
        record = self._records.get(address)
        if record is None or record.standing is Standing.ACTIVE or now_s < record.trial_due_s:
            return False
        if record.trial_ends_s is not None and now_s < record.trial_ends_s:
            return False
        record.trial_ends_s = now_s + TRIAL_TIMEOUT_S
        self.counts["trials"] += 1
        return True

    def weight(self, address, now_s):
        """Return the share of tasks to send, from 0 (none) to 1, relative to healthy peers."""
        if not self.usable(address, now_s):
            return 0.0
        record = self._records[address]
        record.decay(now_s)
        if now_s >= self._peers_due_s:
            self._peers_due_s = now_s + PEERS_PERIOD_S
            seen = [peer.slowness for peer in self._records.values() if peer.runs]
            self._peer_slowness = statistics.median(seen) if seen else 1.0
        return weight_of(record, self._peer_ratio(record), self._peer_slowness, now_s)
