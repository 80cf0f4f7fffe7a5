"""Which members a process watches: plain functions over the member table and the chosen links."""

from dataclasses import dataclass, field

from burdocklug.peers._membership import Status
from burdocklug.peers._topology import choose_links

__all__ = ["WatchList", "choose_watched", "note_failed"]

LINK_RETRY_S = 30.0  # before a link that failed is chosen again
WITNESS_PERIODS = 3  # times `dead_after_s` for which a silent member is watched as a witness


@dataclass(slots=True)
class WatchList:
    """Links to other failure domains that this process has chosen.

    Parameters
    ----------
    links : set of str
        The chosen incarnations.
    failed : dict
        When a link to an incarnation was found silent.
    is_stale : bool
        Whether links are to be chosen again.
    """

    links: set = field(default_factory=set)
    failed: dict = field(default_factory=dict)
    is_stale: bool = True


def note_failed(watch, incarnation, now_s):
    """Note that the link to an incarnation is silent, so that another one is chosen."""
    if incarnation not in watch.failed:
        watch.failed[incarnation] = now_s
        watch.is_stale = True


def choose_watched(watch, table, now_s, settings):
    """Return the incarnations to exchange heartbeats with.

    These are all of the own failure domain, the chosen links, and those that chose this process.
    Silent ones stay for a while, so that this process can answer whether it hears them.
    """
    for incarnation, failed_s in list(watch.failed.items()):
        if now_s - failed_s > LINK_RETRY_S:
            del watch.failed[incarnation]
            watch.is_stale = True
    living = {
        record.incarnation: record
        for record in table.records.values()
        if record.status is Status.ALIVE
    }
    if watch.is_stale:
        watch.is_stale = False
        watch.links = _choose(watch, table, living, settings)
    recent_s = now_s - WITNESS_PERIODS * settings.dead_after_s
    watched = watch.links.intersection(living)
    for incarnation, record in living.items():
        has_chosen = record.chose_s is not None and record.chose_s > recent_s
        has_failed = watch.failed.get(incarnation, recent_s) > recent_s
        if record.failure_domain == table.failure_domain or has_chosen or has_failed:
            watched.add(incarnation)
    return watched


def _choose(watch, table, living, settings):
    domains = {incarnation: record.failure_domain for incarnation, record in living.items()}
    candidates = {i: domain for i, domain in domains.items() if i not in watch.failed}
    reachable = set(candidates.values())
    candidates.update((i, domain) for i, domain in domains.items() if domain not in reachable)
    return choose_links(table.own, table.failure_domain, candidates, count=settings.remote_links)
