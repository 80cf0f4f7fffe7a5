"""Which processes a process asks for the scheduler, and how often, in a pool of many processes.

If all processes of a large pool asked all others at once, the requests would grow with the square
of their number, and the replies would come too late to elect anybody.
"""

import random

from burdocklug.peers import started_ns
from burdocklug.pools.election._leadership import eligible_processes

__all__ = ["MAX_ASKED", "is_possible_candidate", "search_period_s", "search_sample"]

MAX_ASKED = 96  # processes up to which each one asks all others
OLDEST_ASKED, OTHERS_ASKED = 32, 8  # of a larger pool: the likely candidates, and some others
PROCESSES_PER_STEP = 8  # the search period grows by its minimum for as many older processes


def _age_key(incarnation):
    return started_ns(incarnation), incarnation


def search_sample(own, members, *, rng=random):
    """Return the members that a process asks for the scheduler.

    Parameters
    ----------
    own : str
        Incarnation of the process.
    members : iterable of str
        Incarnations of the other registered processes.
    rng : random.Random, optional
        Chooses among those that are not the oldest.

    Examples
    --------
    >>> search_sample("a", ["b", "c"])
    ['b', 'c']
    """
    members = list(members)
    if len(members) <= MAX_ASKED:
        return members
    oldest_first = sorted((m for m in members if m != own), key=_age_key)
    others = oldest_first[OLDEST_ASKED:]
    return oldest_first[:OLDEST_ASKED] + rng.sample(others, OTHERS_ASKED)


def search_period_s(own, members, *, least_s):
    """Return the seconds between two searches of a process; old ones, which may claim, ask more.

    Parameters
    ----------
    own : str
        Incarnation of the process.
    members : iterable of str
        Incarnations of the other registered processes.
    least_s : float
        The period of the oldest processes, and of all in a small pool.
    """
    members = list(members)
    if len(members) <= MAX_ASKED:
        return least_s
    older = sum(_age_key(member) < _age_key(own) for member in members)
    return least_s * (1 + older // PROCESSES_PER_STEP)


def is_possible_candidate(own, cores, rank):
    """Return whether a process may be the first candidate, by the replies of a sample.

    Parameters
    ----------
    own : str
        Incarnation of the process.
    cores : dict
        Usable cores of this process and of those of the sample, by incarnation.
    rank : int
        Number of older eligible processes that the election passes over.

    Notes
    -----
    The first candidate among all processes is one among those of any sample: in a sample no more
    processes are older than it, and none has more cores than the largest of all.
    """
    eligible = eligible_processes(cores)
    older = sum(_age_key(incarnation) < _age_key(own) for incarnation in eligible)
    return own in eligible and older <= rank
