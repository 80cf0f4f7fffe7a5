"""When to say hello to seed addresses again: backoff with jitter, as plain functions."""

from dataclasses import dataclass

__all__ = ["SeedRetry", "due_seeds"]

MIN_MAX_DELAY_S = 4.0  # so that few processes find each other soon after a long cut
MAX_DELAY_S = 30.0
DELAY_PER_ADDRESS_S = 1.0  # many addresses are tried less often each


@dataclass(slots=True)
class SeedRetry:
    """Next attempt at one address and the delay before the one after it."""

    due_s: float
    delay_s: float


def due_seeds(retries, addresses, now_s, *, first_delay_s, jitter):
    """Return the addresses to try now, and put off their next attempts.

    Parameters
    ----------
    retries : dict
        A `SeedRetry` for each address; changed in place.
    addresses : iterable of str
        Addresses without a known member.
    now_s : float
        Monotonic time.
    first_delay_s : float
        Delay after the first attempt; it doubles up to a bound, which grows with the number of
        addresses so that the attempts a second do not.
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
    bound_s = max(MIN_MAX_DELAY_S, min(MAX_DELAY_S, DELAY_PER_ADDRESS_S * len(addresses)))
    for address in addresses:
        retry = retries.setdefault(address, SeedRetry(now_s, first_delay_s))
        if now_s < retry.due_s:
            continue
        due.append(address)
        retry.due_s = now_s + retry.delay_s * (0.5 + 0.5 * jitter())
        retry.delay_s = min(2 * retry.delay_s, bound_s)
    return due
