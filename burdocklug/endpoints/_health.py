"""Passive health checking of one service's endpoints: ejection, single probes, weights."""

import enum
import random
import statistics
from collections import Counter

import msgspec

from burdocklug.endpoints._health_rules import (
    SLOWNESS_GAIN,
    EndpointRecord,
    Fault,
    HealthState,
    decay_factor,
    detect_fault,
    ejection_limits,
    peer_failure_ratio,
    weight_of,
)

__all__ = ["EndpointHealth", "Outcome", "OutcomeKind"]

PROBE_INTERVAL_S = 1.0
MAX_PROBE_INTERVAL_S = 30.0
PROBE_JITTER = 0.25
PROBE_TIMEOUT_S = 30.0  # wait for a probe's outcome before another probe may be sent
# An ejection later than this after the endpoint's last re-admission restarts the probe backoff.
BACKOFF_RESET_S = 60.0
MAX_FAILED_JOBS = 256  # number of failed jobs whose endpoints are kept; the oldest is dropped
SLOWNESS_PERIOD_S = 0.5  # shortest time between computations of the median slowness


class OutcomeKind(enum.StrEnum):
    """Kind of an attempt's outcome, as far as it concerns the endpoint's health."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"  # the task ran and failed
    SILENT = "silent"  # no response, nor one to a query of the attempt's state
    REFUSED = "refused"  # no connection


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of one attempt, as far as it concerns the endpoint's health.

    Parameters
    ----------
    kind : OutcomeKind
        How it ended.
    run_s, expected_s : float
        Run time and expected run time in seconds, of attempts that succeeded.
    job : str
        Key of the task's job, of attempts that failed; empty if the failure is to be counted
        without regard to other failures of the same job.
    """

    kind: OutcomeKind
    run_s: float = 0.0
    expected_s: float = 0.0
    job: str = ""


class EndpointHealth:
    """Health of the endpoints of one service, derived from this process's traffic.

    Parameters
    ----------
    endpoints : dict of str to str
        Failure domain of each address.
    rng : random.Random, optional
        Source of the jitter of the probe intervals.

    Notes
    -----
    An endpoint is ejected at the first failure that is improbable at its peers' failure ratio.
    An endpoint that fails every task therefore fails those in flight at that moment, at most one
    per slot, and then one task per probe. If a task in flight succeeds, an ejection for a run of
    failures is revoked. A job counts once at each endpoint. A job that fails at a second endpoint
    is itself at fault: neither endpoint is ejected for it, unless another job fails there too.

    Examples
    --------
    >>> health = EndpointHealth({"a:1": "d1", "b:1": "d1", "c:1": "d1"})
    >>> health.record_outcome("a:1", Outcome(OutcomeKind.FAILED), now_s=0.0)
    >>> health.usable("a:1", 0.1), health.try_acquire_probe("a:1", 0.1)
    (False, False)
    >>> health.try_acquire_probe("a:1", 2.0), health.try_acquire_probe("a:1", 2.0)
    (True, False)
    >>> health.record_outcome("a:1", Outcome(OutcomeKind.SUCCEEDED, 0.1, 0.1), now_s=2.1)
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
        self._decayed_at_s = 0.0
        self._peer_slowness = 1.0
        self._peer_slowness_due_s = 0.0
        self._job_failures = {}  # job key to the addresses where it failed, oldest first
        self.set_endpoints(endpoints)

    def set_endpoints(self, endpoints):
        """Replace the set of endpoints; those that remain keep their statistics and state."""
        self._records = {
            address: self._records.get(address) or EndpointRecord(domain)
            for address, domain in endpoints.items()
        }
        for address, domain in endpoints.items():
            self._records[address].failure_domain = domain
        self._domains = Counter(endpoints.values())

    def record_outcome(self, address, outcome, now_s):
        """Record the outcome of one attempt and update the health of its endpoint."""
        record = self._records.get(address)
        if record is None:
            return
        record.decay(now_s)
        if self._is_counted(address, outcome):
            self._count_outcome(record, outcome, now_s)
        if outcome.kind is OutcomeKind.FAILED:
            self._readmit_others(address, outcome.job, now_s)
        if record.standing is HealthState.ACTIVE:
            self._eject_if_faulty(record, now_s)
        elif outcome.kind is OutcomeKind.SUCCEEDED:
            self._handle_success_while_inactive(record, now_s)
        elif record.probe_expires_s is not None:
            self._schedule_probe(record, now_s)

    def _is_counted(self, address, outcome):
        """Return whether to count an outcome; failures of one job count once at each endpoint."""
        if outcome.kind is not OutcomeKind.FAILED or not outcome.job:
            return True
        failed_at = self._job_failures.setdefault(outcome.job, set())
        if len(self._job_failures) > MAX_FAILED_JOBS:
            del self._job_failures[next(iter(self._job_failures))]
        is_known = address in failed_at
        failed_at.add(address)
        return not is_known

    def _all_failed_elsewhere(self, record):
        """Return whether every job of a run of failures also failed at another endpoint."""
        if len(record.failing_jobs) < record.failure_run:
            return False
        return all(len(self._job_failures.get(job, ())) > 1 for job in record.failing_jobs)

    def _readmit_others(self, address, job, now_s):
        """Re-admit the other endpoints that were ejected only for failures of this job."""
        for other in self._job_failures.get(job, ()):
            record = self._records.get(other)
            if other == address or record is None or record.fault is not Fault.FAILURE_RUN:
                continue
            if self._detect_fault(record) is None:
                self._revoke_ejection(record)

    def _count_outcome(self, record, outcome, now_s):
        factor = decay_factor(now_s - self._decayed_at_s)
        self._succeeded *= factor
        self._failed *= factor
        self._decayed_at_s = now_s
        if outcome.kind is OutcomeKind.SUCCEEDED:
            record.succeeded += 1
            self._succeeded += 1
            record.failure_run = record.unreachable_run = 0
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
            record.unreachable_run = 0
        else:
            record.unreachable_run += 1

    def _peer_failure_ratio(self, record):
        failed = max(0.0, self._failed - record.failed)
        succeeded = max(0.0, self._succeeded - record.succeeded)
        return peer_failure_ratio(failed, failed + succeeded)

    def _detect_fault(self, record):
        ratio = self._peer_failure_ratio(record)
        return detect_fault(record, ratio, all_failed_elsewhere=self._all_failed_elsewhere(record))

    def _eject_if_faulty(self, record, now_s):
        fault = self._detect_fault(record)
        if fault is None:
            return
        service_limit, domain_limit = ejection_limits(
            fault, service_size=len(self._records), domain_size=self._domains[record.failure_domain]
        )
        in_domain = self.ejected(record.failure_domain)
        if self.ejected() < service_limit and in_domain < domain_limit:
            self._deactivate(record, HealthState.EJECTED, fault, now_s)
        elif fault is Fault.UNREACHABLE:
            self._deactivate(record, HealthState.PACED, fault, now_s)
        else:
            self.counts["spared"] += 1

    def _deactivate(self, record, standing, fault, now_s):
        if record.readmitted_s is not None and now_s - record.readmitted_s > BACKOFF_RESET_S:
            record.ejections = 0
        record.standing = standing
        record.fault = fault
        self.counts[standing.value] += 1
        self._schedule_probe(record, now_s)

    def _schedule_probe(self, record, now_s):
        interval_s = PROBE_INTERVAL_S
        if record.standing is HealthState.EJECTED:
            interval_s = min(MAX_PROBE_INTERVAL_S, PROBE_INTERVAL_S * 2 ** min(record.ejections, 8))
            record.ejections += 1
        record.probe_expires_s = None
        record.probe_due_s = now_s + interval_s * (1 + self.rng.uniform(0, PROBE_JITTER))

    def _handle_success_while_inactive(self, record, now_s):
        is_probing = record.probe_expires_s is not None
        if not is_probing and record.fault is Fault.FAILURE_RATIO:
            return
        if record.fault is Fault.FAILURE_RATIO or is_probing:
            record.succeeded = record.failed = 0.0
        if is_probing:
            record.readmitted_s = now_s
            self._activate(record)
        else:
            self._revoke_ejection(record)

    def _revoke_ejection(self, record):
        """Re-admit an endpoint without counting its latest ejection."""
        record.ejections = max(0, record.ejections - 1)
        self._activate(record)

    def _activate(self, record):
        record.standing = HealthState.ACTIVE
        record.fault = record.probe_expires_s = None
        self.counts["admitted"] += 1

    def ejected(self, failure_domain=None):
        """Return the number of ejected endpoints, of one failure domain or of all."""
        return sum(
            record.standing is HealthState.EJECTED
            and failure_domain in (None, record.failure_domain)
            for record in self._records.values()
        )

    def standing(self, address):
        """Return the `HealthState` of an endpoint."""
        return self._records[address].standing

    def usable(self, address, now_s):
        """Return whether the endpoint may get tasks other than probes."""
        record = self._records.get(address)
        return record is not None and record.standing is HealthState.ACTIVE

    def try_acquire_probe(self, address, now_s):
        """Return whether a task may probe an unusable endpoint now, and count it as sent if so."""
        record = self._records.get(address)
        if record is None or record.standing is HealthState.ACTIVE or now_s < record.probe_due_s:
            return False
        if record.probe_expires_s is not None and now_s < record.probe_expires_s:
            return False
        record.probe_expires_s = now_s + PROBE_TIMEOUT_S
        self.counts["trials"] += 1
        return True

    def weight(self, address, now_s):
        """Return the weight of an endpoint relative to a healthy one, from 0 (no tasks) to 1."""
        if not self.usable(address, now_s):
            return 0.0
        record = self._records[address]
        record.decay(now_s)
        if now_s >= self._peer_slowness_due_s:
            self._peer_slowness_due_s = now_s + SLOWNESS_PERIOD_S
            observed = [peer.slowness for peer in self._records.values() if peer.runs]
            self._peer_slowness = statistics.median(observed) if observed else 1.0
        return weight_of(record, self._peer_failure_ratio(record), self._peer_slowness, now_s)
