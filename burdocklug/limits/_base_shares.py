"""The fixed share that each process of a fleet has of a team's quota."""

import hashlib
from functools import lru_cache

__all__ = ["base_share", "hash_rank"]

KEPT_TEAMS = 1024  # teams whose order of processes is kept


def base_share(team, quota, process, fleet):
    """Return a process's fixed share of a team's quota.

    Parameters
    ----------
    team : str
        Name of the team.
    quota : int
        Its `max_running`.
    process : str
        Name of the process.
    fleet : iterable of str
        Names of all processes, the same list in each process's settings.

    Notes
    -----
    The shares sum to the quota; the remainder goes to the first processes by a hash with the
    team's name, so that small quotas don't all land on one process. A share never falls when
    the quota rises.

    Examples
    --------
    >>> fleet = [f"p{n}" for n in range(7)]
    >>> sorted(base_share("a", 3, name, fleet) for name in fleet)
    [0, 0, 0, 0, 1, 1, 1]
    """
    places = _places(team, tuple(fleet))
    if process not in places:
        return 0
    share, rest = divmod(max(quota, 0), len(places))
    return share + (places[process] < rest)


@lru_cache(maxsize=KEPT_TEAMS)
def _places(team, fleet):
    """Return each name's place in the team's order."""
    names = sorted(set(fleet), key=lambda name: hash_rank(team, name))
    return {name: place for place, name in enumerate(names)}


def hash_rank(team, name):
    """Return the place of a process in a team's order, as bytes that sort."""
    return hashlib.blake2b(f"{team}\0{name}".encode(), digest_size=8).digest()
