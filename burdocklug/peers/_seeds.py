"""Schedule of contact attempts to seed addresses: exponential backoff with jitter."""

from dataclasses import dataclass

__all__ = ["SeedRetry", "due_seeds"]

# The backoff delay is capped at DELAY_CAP_PER_ADDRESS_S times the number of addresses, within these
# bounds. The lower bound lets small fleets find each other soon after a long partition.
MIN_DELAY_CAP_S = 4.0
MAX_DELAY_CAP_S = 30.0
DELAY_CAP_PER_ADDRESS_S = 1.0


@dataclass(slots=True)
class SeedRetry:
    """Time of the next attempt at one address, and the delay between it and the one after."""

    due_s: float
    delay_s: float


def due_seeds(retries, addresses, now_s, *, first_delay_s, jitter):
    """Return the addresses to contact now, and schedule their next attempts.

    Parameters
    ----------
    retries : dict
        A `SeedRetry` for each address; changed in place.
    addresses : iterable of str
        Addresses at which no living member is known.
    now_s : float
        Monotonic time in seconds.
    first_delay_s : float
        Delay after the first attempt. It doubles up to a cap, which grows with the number of
        addresses so that the rate of attempts does not.
    jitter : callable
        Returns a number from 0 to 1.

    Examples
    --------
    >>> retries = {}
    >>> def is_due(now_s):
    ...     return due_seeds(retries, ["a"], now_s, first_delay_s=1.0, jitter=lambda: 1.0)
    >>> [now_s for now_s in range(8) if is_due(now_s)]
    [0, 1, 3, 7]
    """
    addresses = list(addresses)
    for address in set(retries).difference(addresses):
        del retries[address]
    due = []
    cap_s = max(MIN_DELAY_CAP_S, min(MAX_DELAY_CAP_S, DELAY_CAP_PER_ADDRESS_S * len(addresses)))
    for address in addresses:
        retry = retries.setdefault(address, SeedRetry(now_s, first_delay_s))
        if now_s < retry.due_s:
            continue
        due.append(address)
        retry.due_s = now_s + retry.delay_s * (0.5 + 0.5 * jitter())
        retry.delay_s = min(2 * retry.delay_s, cap_s)
    return due
