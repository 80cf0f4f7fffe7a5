"""Rules of passive endpoint health: when an endpoint is judged faulty, and how much it weighs.

Pure functions over one endpoint's record and its service's figures; no clock, no I/O.
"""

import enum
import math
from dataclasses import dataclass, field

__all__ = ["EndpointRecord", "Fault", "Standing", "failures_to_eject", "find_fault", "share_limit"]

HALF_LIFE_S = 10.0  # of the counted outcomes
CHANCE = 0.01  # a run of failures less likely than this is the endpoint's fault
MAX_PEER_RATIO = 0.9
PRIOR_FAILURES = 0.05
PRIOR_OUTCOMES = 10.0
SHARED_JOBS_TO_EJECT = 2  # jobs that failed elsewhere too; one such is at fault itself
SILENT_TO_EJECT = 1
MIN_OUTCOMES = 10.0
MIN_FAILURE_RATIO = 0.3
RATIO_OVER_PEERS = 5.0
FAILING_FLEET_SHARE = 1 / 3
FAILING_DOMAIN_SHARE = 1 / 2
UNREACHABLE_FLEET_SHARE = 1 / 2
SLOWNESS_GAIN = 0.2
MIN_RUNS = 5
MIN_WEIGHT = 0.02
RAMP_S = 10.0  # from re-admission to full weight
RAMP_FROM = 0.1


class Standing(enum.StrEnum):
    """Whether an endpoint gets tasks."""

    ACTIVE = "active"
    EJECTED = "ejected"  # single trials with growing intervals
    PACED = "paced"  # unreachable beyond the bound: single trials at a fixed interval


class Fault(enum.StrEnum):
    """Why an endpoint is not active."""

    FAILURE_RUN = "failure_run"
    FAILURE_RATIO = "failure_ratio"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class EndpointRecord:
    """What traffic has shown of one endpoint; counts decay with `HALF_LIFE_S`."""

    failure_domain: str
    succeeded: float = 0.0
    failed: float = 0.0
    counted_s: float = 0.0
    failure_run: int = 0  # jobs that failed since the last success
    failing_jobs: set = field(default_factory=set)  # keys of those that have one
    silent_run: int = 0
    slowness: float = 1.0  # moving mean of run time over expected time
    runs: int = 0
    standing: Standing = Standing.ACTIVE
    fault: Fault | None = None
    trial_due_s: float = 0.0
    trial_ends_s: float | None = None
    ejections: int = 0  # recent ones; sets the interval between trials
    admitted_s: float | None = None  # of the last re-admission

    def decay(self, now_s):
        """Age the counts to `now_s`."""
        factor = decay_factor(now_s - self.counted_s)
        self.succeeded *= factor
        self.failed *= factor
        self.counted_s = now_s


def decay_factor(elapsed_s):
    """Return the factor by which counts shrink in `elapsed_s` seconds.

    Examples
    --------
    >>> decay_factor(10.0)
    0.5
    """
    return 0.5 ** (max(0.0, elapsed_s) / HALF_LIFE_S)


def peer_ratio(failed, outcomes):
    """Return the failure ratio to expect of an endpoint, from its peers' counts.

    Examples
    --------
    >>> peer_ratio(0, 0), round(peer_ratio(30, 90), 2)
    (0.005, 0.3)
    """
    ratio = (failed + PRIOR_FAILURES) / (outcomes + PRIOR_OUTCOMES)
    return min(MAX_PEER_RATIO, max(ratio, 1e-6))


def failures_to_eject(ratio):
    """Return the length of a run of failures that is unlikely at the peers' failure ratio.

    Examples
    --------
    >>> [failures_to_eject(ratio) for ratio in (0.005, 0.1, 0.3, 0.9)]
    [1, 2, 4, 44]
    """
    return max(1, math.ceil(math.log(CHANCE) / math.log(ratio) - 1e-9))


def find_fault(record, ratio, *, all_shared=False):
    """Return the fault that a record shows, or None.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint's record, decayed to the present.
    ratio : float
        Failure ratio of its peers, see `peer_ratio`.
    all_shared : bool, optional
        Whether every job of its run of failures failed at another endpoint too.
    """
    if record.silent_run >= SILENT_TO_EJECT:
        return Fault.UNREACHABLE
    outcomes = record.succeeded + record.failed
    limit = max(MIN_FAILURE_RATIO, RATIO_OVER_PEERS * ratio)
    if outcomes >= MIN_OUTCOMES and record.failed / outcomes >= limit:
        return Fault.FAILURE_RATIO
    needed = max(failures_to_eject(ratio), SHARED_JOBS_TO_EJECT if all_shared else 1)
    if record.failure_run >= needed:
        return Fault.FAILURE_RUN
    return None


def share_limit(fault, *, fleet, domain):
    """Return how many endpoints may be ejected, of the service and of the failure domain.

    Parameters
    ----------
    fault : Fault
        Why the next one would be ejected.
    fleet, domain : int
        Endpoints of the service, and of the endpoint's failure domain.

    Returns
    -------
    tuple of int
        Limit for the service and limit for the failure domain.

    Notes
    -----
    Failing tasks can be the tasks' fault, so at most half of a failure domain is ejected for
    them. A whole failure domain can be unreachable, as long as half of the fleet answers.

    Examples
    --------
    >>> share_limit(Fault.FAILURE_RUN, fleet=24, domain=8)
    (8, 4)
    >>> share_limit(Fault.UNREACHABLE, fleet=24, domain=8)
    (12, 8)
    """
    if fault is Fault.UNREACHABLE:
        return int(fleet * UNREACHABLE_FLEET_SHARE), domain
    return int(fleet * FAILING_FLEET_SHARE), max(1, int(domain * FAILING_DOMAIN_SHARE))


def weight_of(record, ratio, peer_slowness, now_s):
    """Return the weight of an active endpoint, from `MIN_WEIGHT` to 1."""
    weight = 1.0
    if record.runs >= MIN_RUNS and record.slowness > peer_slowness:
        weight *= peer_slowness / record.slowness
    outcomes = record.succeeded + record.failed
    if outcomes > 0:
        excess = max(0.0, record.failed / (outcomes + 1.0) - ratio)
        weight *= 1.0 - min(1.0, excess)
    if record.admitted_s is not None:
        ramp = RAMP_FROM + (1.0 - RAMP_FROM) * (now_s - record.admitted_s) / RAMP_S
        weight *= min(1.0, ramp)
    return max(MIN_WEIGHT, weight)
