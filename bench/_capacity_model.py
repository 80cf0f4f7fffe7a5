"""Arithmetic of the capacity page: the target's size, straight lines through measurements."""

import math
from dataclasses import dataclass

from burdocklug.hosts import _watch as hosts_watch
from burdocklug.peers._topology import choose_heartbeat_links
from burdocklug.routing import RouteEndpoint, RouteMember, choose_allocators
from burdocklug.tickets import _decisions as ticket_decisions

__all__ = [
    "TARGET",
    "Line",
    "Target",
    "allocator_loads",
    "fit_line",
    "processes_needed",
    "rest_share_of_day",
    "store_calls_per_s",
    "verdict",
    "watched_peers",
]

US_PER_S = 1e6
DAY_S = 86_400
REMOTE_LINKS = 4
ROUNDING_DIGITS = 9  # so that an exact number of processes is not rounded up


@dataclass(frozen=True, slots=True)
class Target:
    """Size that the system has to carry, and what a process may spend on control."""

    endpoints: int = 600
    slots: int = 8
    starts_per_s: int = 46_000
    max_job_tasks: int = 1700
    teams: int = 75
    domains: int = 4
    changes_per_day: int = 680
    in_force_s: float = 9.0
    processes: int = 50
    core_share: float = 0.018
    control_bytes: int = 32_000_000
    control_bytes_per_s: int = 9_000
    failed_hosts_per_day: int = 11
    replaced_hosts_per_day: int = 100
    usable_core_share: float = 0.7  # of a core, so that bursts find room


TARGET = Target()


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line, and the largest distance of a measured point from it."""

    at_zero: float
    slope: float
    largest_residual: float

    def at(self, x):
        """Return the line's value at `x`."""
        return self.at_zero + self.slope * x


def fit_line(points):
    """Return the line of least squares through pairs of numbers.

    Parameters
    ----------
    points : iterable of tuple
        Pairs of x and y with at least two different x.

    Examples
    --------
    >>> fit_line([(1, 5.0), (2, 7.0), (3, 9.0)])
    Line(at_zero=3.0, slope=2.0, largest_residual=0.0)
    """
    points = list(points)
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise ValueError(f"no line through {points}: needs two different x")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    at_zero = mean_y - slope * mean_x
    residual = max(abs(y - at_zero - slope * x) for x, y in points)
    return Line(at_zero, slope, residual)


def processes_needed(starts_per_s, us_per_start, *, usable_share):
    """Return how many processes carry a rate of task starts.

    Parameters
    ----------
    starts_per_s : float
        Task starts a second of the whole fleet.
    us_per_start : float
        Processor time of a start, in microseconds.
    usable_share : float
        Share of a core that a process may spend on starts.

    Examples
    --------
    >>> processes_needed(46_000, 500, usable_share=0.7)
    33
    """
    needed = starts_per_s * us_per_start / US_PER_S / usable_share
    return math.ceil(round(needed, ROUNDING_DIGITS))


def _members(processes, domains):
    return {f"10.0.0.{n}:1~p{n:03d}": f"domain-{n % domains}" for n in range(processes)}


def watched_peers(processes, domains, *, links=REMOTE_LINKS):
    """Return mean and most peers that a process exchanges heartbeats with.

    Notes
    -----
    Counted with the peers' own choice of links: all of the own failure domain, the chosen links,
    and those that chose this process.

    Examples
    --------
    >>> watched_peers(7, 1)
    (6.0, 6)
    """
    members = _members(processes, domains)
    watched = {own: set() for own in members}
    for own, domain in members.items():
        others = {other: where for other, where in members.items() if other != own}
        watched[own] |= {other for other, where in others.items() if where == domain}
        for chosen in choose_heartbeat_links(own, domain, others, count=links):
            watched[own].add(chosen)
            watched[chosen].add(own)
    counts = [len(peers) for peers in watched.values()]
    return sum(counts) / processes, max(counts)


def allocator_loads(target=TARGET, *, lost_domains=0):
    """Return how many endpoints each process leases out that leases out any, most first.

    Parameters
    ----------
    target : Target, optional
        Size of the fleet.
    lost_domains : int, optional
        Failure domains whose processes are gone while their endpoints stay.
    """
    members = [
        RouteMember(incarnation, domain)
        for incarnation, domain in _members(target.processes, target.domains).items()
        if int(domain.rpartition("-")[2]) >= lost_domains
    ]
    endpoints = [
        RouteEndpoint(f"worker-{n:03d}", f"domain-{n % target.domains}", target.slots)
        for n in range(target.endpoints)
    ]
    loads = {}
    for incarnation in choose_allocators(endpoints, members).values():
        loads[incarnation] = loads.get(incarnation, 0) + 1
    return sorted(loads.values(), reverse=True)


def store_calls_per_s(processes, domains):
    """Return the calls a second to the platform of an idle fleet, by purpose.

    Examples
    --------
    >>> {name: round(rate, 2) for name, rate in store_calls_per_s(7, 1).items()}
    {'hosts': 1.6, 'ticket_watch': 0.4, 'ticket_poll': 0.03}
    """
    pollers = domains / hosts_watch.POLL_PERIOD_S
    others = (processes - domains) / hosts_watch.FALLBACK_POLL_PERIOD_S
    return {
        "hosts": pollers + others,
        "ticket_watch": domains / ticket_decisions.WATCH_TIMEOUT_S,
        "ticket_poll": domains / ticket_decisions.SAFETY_POLL_S,
    }


def rest_share_of_day(kills, rest_s, processes):
    """Return the share of a day's quota that rests after kills of single processes.

    Examples
    --------
    >>> round(rest_share_of_day(kills=24, rest_s=36.0, processes=10), 6)
    0.001
    """
    return kills * rest_s / DAY_S / processes


def verdict(value, bound):
    """Return ``yes`` or ``no``: is a value within its bound.

    Examples
    --------
    >>> verdict(8_999, 9_000), verdict(9_001, 9_000)
    ('yes', 'no')
    """
    return "yes" if value <= bound else "no"
