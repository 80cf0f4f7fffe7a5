"""Choice of the members that a process watches, that is, exchanges heartbeats with."""

from dataclasses import dataclass, field

from burdocklug.peers._membership import Status
from burdocklug.peers._topology import choose_heartbeat_links

__all__ = ["WatchList", "choose_watched", "mark_link_failed"]

FAILED_LINK_RETRY_S = 30.0  # time before a failed link may be chosen again
SILENT_WATCH_FACTOR = 3  # multiple of `dead_after_s` for which a silent member stays watched


@dataclass(slots=True)
class WatchList:
    """Links of this process to members of other failure domains.

    Parameters
    ----------
    links : set of str
        Incarnations chosen as links.
    failed : dict
        Time at which a link was found silent, by incarnation.
    is_stale : bool
        Whether the members or failed links have changed, so that links must be chosen again.
    """

    links: set = field(default_factory=set)
    failed: dict = field(default_factory=dict)
    is_stale: bool = True


def mark_link_failed(watch, incarnation, now_s):
    """Mark the link to an incarnation as failed, so that a replacement is chosen."""
    if incarnation not in watch.failed:
        watch.failed[incarnation] = now_s
        watch.is_stale = True


def choose_watched(watch, table, now_s, settings):
    """Return the incarnations to exchange heartbeats with.

    These are the members of the own failure domain, the chosen links, and the members that chose
    this process as a link. Silent members of other failure domains stay watched for
    `SILENT_WATCH_FACTOR` times `dead_after_s`, so that this process can vote on their silence.
    """
    for incarnation, failed_s in list(watch.failed.items()):
        if now_s - failed_s > FAILED_LINK_RETRY_S:
            del watch.failed[incarnation]
            watch.is_stale = True
    living = {
        record.incarnation: record
        for record in table.records.values()
        if record.status is Status.ALIVE
    }
    if watch.is_stale:
        watch.is_stale = False
        watch.links = _select_links(watch, table, living, settings)
    recent_s = now_s - SILENT_WATCH_FACTOR * settings.dead_after_s
    watched = watch.links.intersection(living)
    for incarnation, record in living.items():
        requests_link = record.link_requested_s is not None and record.link_requested_s > recent_s
        has_failed = watch.failed.get(incarnation, recent_s) > recent_s
        if record.failure_domain == table.failure_domain or requests_link or has_failed:
            watched.add(incarnation)
    return watched


def _select_links(watch, table, living, settings):
    domains = {incarnation: record.failure_domain for incarnation, record in living.items()}
    candidates = {i: domain for i, domain in domains.items() if i not in watch.failed}
    reachable = set(candidates.values())
    candidates.update((i, domain) for i, domain in domains.items() if domain not in reachable)
    return choose_heartbeat_links(
        table.own_incarnation, table.failure_domain, candidates, count=settings.remote_links
    )
