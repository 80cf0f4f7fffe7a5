"""Division of a team's quota into one fixed base share for each process of the fleet."""

import hashlib
from functools import lru_cache

__all__ = ["base_share", "hash_rank"]

CACHED_TEAMS = 1024  # teams whose order of processes is cached


def base_share(team, quota, process, fleet):
    """Return a process's fixed share of a team's quota.

    Parameters
    ----------
    team : str
        Name of the team.
    quota : int
        The team's `max_running`.
    process : str
        Name of the process.
    fleet : iterable of str
        Names of all processes; every process has to be configured with the same names.

    Notes
    -----
    The shares of the fleet sum to the quota. The remainder of the division is spread over the
    first processes in an order that is hashed with the team's name, so that small quotas of
    several teams don't all land on one process. A share never falls when the quota rises.

    Examples
    --------
    >>> fleet = [f"p{n}" for n in range(7)]
    >>> sorted(base_share("a", 3, name, fleet) for name in fleet)
    [0, 0, 0, 0, 1, 1, 1]
    """
    ranks = _process_ranks(team, tuple(fleet))
    if process not in ranks:
        return 0
    share, remainder = divmod(max(quota, 0), len(ranks))
    return share + (ranks[process] < remainder)


@lru_cache(maxsize=CACHED_TEAMS)
def _process_ranks(team, fleet):
    """Return the index of each process in the team's order of processes."""
    names = sorted(set(fleet), key=lambda name: hash_rank(team, name))
    return {name: rank for rank, name in enumerate(names)}


def hash_rank(salt, name):
    """Return a sort key that orders names pseudo-randomly, the same in every process."""
    return hashlib.blake2b(f"{salt}\0{name}".encode(), digest_size=8).digest()
