"""Rules of passive health checking: when an endpoint is ejected and how it is weighted.

Pure functions of one endpoint's statistics and those of its service; no clock, no I/O.
"""

import enum
import math
from dataclasses import dataclass, field

__all__ = [
    "EndpointRecord",
    "Fault",
    "HealthState",
    "detect_fault",
    "ejection_limits",
    "failures_to_eject",
]

HALF_LIFE_S = 10.0  # of the exponentially decayed outcome counts
# A run of failures is attributed to the endpoint if its probability is at most this.
SIGNIFICANCE_LEVEL = 0.01
MAX_PEER_FAILURE_RATIO = 0.9
# Pseudo-counts added to the peers' counts, so that few outcomes give no extreme ratio.
PRIOR_FAILURES = 0.05
PRIOR_OUTCOMES = 10.0
# Shortest run of failures that can eject an endpoint if each of its failed jobs also failed at
# another endpoint: a single such job is itself at fault.
SHARED_JOBS_TO_EJECT = 2
UNREACHABLE_TO_EJECT = 1  # consecutive attempts without a response or connection
MIN_OUTCOMES = 10.0  # decayed count from which the failure ratio is evaluated
MIN_FAILURE_RATIO = 0.3
PEER_RATIO_FACTOR = 5.0  # an endpoint's failure ratio is too high at this multiple of its peers'
# Largest share of endpoints that may be ejected, by fault and scope.
FAILING_SERVICE_SHARE = 1 / 3
FAILING_DOMAIN_SHARE = 1 / 2
UNREACHABLE_SERVICE_SHARE = 1 / 2
SLOWNESS_GAIN = 0.2  # weight of the latest run in the moving mean
MIN_RUNS = 5  # successful runs from which the slowness affects the weight
MIN_WEIGHT = 0.02
RAMP_S = 10.0  # from re-admission to full weight
RAMP_START = 0.1  # factor of the weight at re-admission; rises to 1 within RAMP_S


class HealthState(enum.StrEnum):
    """Health state of an endpoint, which decides whether it gets tasks."""

    ACTIVE = "active"
    EJECTED = "ejected"  # gets only single probes, with exponential backoff
    # Unreachable while the ejection limit is reached: gets single probes at a fixed interval.
    PACED = "paced"


class Fault(enum.StrEnum):
    """Why an endpoint is not active."""

    FAILURE_RUN = "failure_run"
    FAILURE_RATIO = "failure_ratio"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class EndpointRecord:
    """Statistics of one endpoint's traffic and its health state; counts decay by `HALF_LIFE_S`."""

    failure_domain: str
    succeeded: float = 0.0
    failed: float = 0.0
    decayed_at_s: float = 0.0  # time to which the counts have decayed
    failure_run: int = 0  # failures since the last success, each job counted once
    failing_jobs: set = field(default_factory=set)  # keys of the failed jobs, where known
    unreachable_run: int = 0
    slowness: float = 1.0  # moving mean of run time / expected run time
    runs: int = 0
    standing: HealthState = HealthState.ACTIVE
    fault: Fault | None = None
    probe_due_s: float = 0.0  # time from which the next probe may be sent
    probe_expires_s: float | None = None  # when to stop waiting for the probe in flight, if any
    ejections: int = 0  # recent ones; sets the probe interval
    readmitted_s: float | None = None  # time of the last re-admission

    def decay(self, now_s):
        """Decay the counts to `now_s`."""
        factor = decay_factor(now_s - self.decayed_at_s)
        self.succeeded *= factor
        self.failed *= factor
        self.decayed_at_s = now_s


def decay_factor(elapsed_s):
    """Return the factor by which counts shrink in `elapsed_s` seconds.

    Examples
    --------
    >>> decay_factor(10.0)
    0.5
    """
    return 0.5 ** (max(0.0, elapsed_s) / HALF_LIFE_S)


def peer_failure_ratio(failed, outcomes):
    """Return the expected failure ratio of an endpoint, smoothed from its peers' counts.

    Examples
    --------
    >>> peer_failure_ratio(0, 0), round(peer_failure_ratio(30, 90), 2)
    (0.005, 0.3)
    """
    ratio = (failed + PRIOR_FAILURES) / (outcomes + PRIOR_OUTCOMES)
    return min(MAX_PEER_FAILURE_RATIO, max(ratio, 1e-6))


def failures_to_eject(ratio):
    """Return the shortest run of failures that is improbable at the peers' failure ratio.

    Improbable means a probability of at most `SIGNIFICANCE_LEVEL`.

    Examples
    --------
    >>> [failures_to_eject(ratio) for ratio in (0.005, 0.1, 0.3, 0.9)]
    [1, 2, 4, 44]
    """
    return max(1, math.ceil(math.log(SIGNIFICANCE_LEVEL) / math.log(ratio) - 1e-9))


def detect_fault(record, ratio, *, all_failed_elsewhere=False):
    """Return the fault that an endpoint's record indicates, or None.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint's record, decayed to the present.
    ratio : float
        Expected failure ratio, see `peer_failure_ratio`.
    all_failed_elsewhere : bool, optional
        Whether every job of the run of failures also failed at another endpoint.
    """
    if record.unreachable_run >= UNREACHABLE_TO_EJECT:
        return Fault.UNREACHABLE
    outcomes = record.succeeded + record.failed
    limit = max(MIN_FAILURE_RATIO, PEER_RATIO_FACTOR * ratio)
    if outcomes >= MIN_OUTCOMES and record.failed / outcomes >= limit:
        return Fault.FAILURE_RATIO
    needed = max(failures_to_eject(ratio), SHARED_JOBS_TO_EJECT if all_failed_elsewhere else 1)
    if record.failure_run >= needed:
        return Fault.FAILURE_RUN
    return None


def ejection_limits(fault, *, service_size, domain_size):
    """Return how many endpoints of a service and of a failure domain may be ejected at once.

    Parameters
    ----------
    fault : Fault
        Fault of the next endpoint to eject.
    service_size, domain_size : int
        Number of endpoints in the service, and of those in the endpoint's failure domain.

    Returns
    -------
    tuple of int
        Limit for the service and limit for the failure domain.

    Notes
    -----
    Task failures can be caused by the tasks themselves, so at most half of a failure domain is
    ejected for them. An unreachable failure domain can be ejected as a whole, as long as half of
    the service's endpoints remain.

    Examples
    --------
    >>> ejection_limits(Fault.FAILURE_RUN, service_size=24, domain_size=8)
    (8, 4)
    >>> ejection_limits(Fault.UNREACHABLE, service_size=24, domain_size=8)
    (12, 8)
    """
    if fault is Fault.UNREACHABLE:
        return int(service_size * UNREACHABLE_SERVICE_SHARE), domain_size
    return (
        int(service_size * FAILING_SERVICE_SHARE),
        max(1, int(domain_size * FAILING_DOMAIN_SHARE)),
    )


def weight_of(record, ratio, peer_slowness, now_s):
    """Return the weight of an active endpoint, from `MIN_WEIGHT` to 1."""
    weight = 1.0
    if record.runs >= MIN_RUNS and record.slowness > peer_slowness:
        weight *= peer_slowness / record.slowness
    outcomes = record.succeeded + record.failed
    if outcomes > 0:
        excess = max(0.0, record.failed / (outcomes + 1.0) - ratio)
        weight *= 1.0 - min(1.0, excess)
    if record.readmitted_s is not None:
        ramp = RAMP_START + (1.0 - RAMP_START) * (now_s - record.readmitted_s) / RAMP_S
        weight *= min(1.0, ramp)
    return max(MIN_WEIGHT, weight)
