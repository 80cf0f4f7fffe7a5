"""How long runs go on without a renewal, and how long a scheduler's successor waits for them.

A scheduler starts tasks of a job, and renews the leases of its runs, while the process that waits
for the job has acknowledged a recent reply. Its successor counts from the last reply that this
process received. Both use one bound: all leases have ended `TAKEOVER_DELAY_S` after that reply.
"""

__all__ = [
    "ACKNOWLEDGED_TIMEOUT_S",
    "MAX_LEASE_S",
    "TAKEOVER_DELAY_S",
    "UPKEEP_S",
    "job_lease_s",
    "order_lifetime_s",
]

MAX_LEASE_S = 1.0
CLOCK_DRIFT_FACTOR = 1.021  # an endpoint's clock may be 2 % slow
LAPSE_MARGIN_S = 0.05  # time for a run to stop after its lease has expired
# Age of the last acknowledged reply from which the process that received it counts as lost.
ACKNOWLEDGED_TIMEOUT_S = 1.0
UPKEEP_S = 0.1  # period at which a scheduler looks for lost processes and stops their jobs


def order_lifetime_s(lease_s):
    """Return how long an order or a run may take effect without a renewal, on the local clock.

    Examples
    --------
    >>> round(order_lifetime_s(1.0), 3)
    1.071
    """
    return lease_s * CLOCK_DRIFT_FACTOR + LAPSE_MARGIN_S


# Time after the last reply that a process has from a scheduler by which the runs of its jobs there
# have ended, even if no stop arrives: until the process counts as lost, leases are renewed.
TAKEOVER_DELAY_S = ACKNOWLEDGED_TIMEOUT_S + UPKEEP_S + order_lifetime_s(MAX_LEASE_S)


def job_lease_s(contact_s, now_s):
    """Return the longest lease that runs of a job may have from now on, in seconds.

    Parameters
    ----------
    contact_s : float
        When the last reply was sent that a process of the job's callers has acknowledged.
    now_s : float
        The current time.

    Examples
    --------
    >>> job_lease_s(10.0, 11.0) > MAX_LEASE_S > job_lease_s(10.0, 11.2) > 0.0
    True
    >>> job_lease_s(10.0, 13.0)
    0.0
    """
    remaining_s = contact_s + TAKEOVER_DELAY_S - now_s
    return max(0.0, (remaining_s - LAPSE_MARGIN_S) / CLOCK_DRIFT_FACTOR)
