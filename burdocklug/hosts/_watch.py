"""The newest known list of hosts, kept up to date in every process.

One process of each failure domain polls the platform. The others receive its version with the
heartbeats and fetch a newer list from the peer that has it. An older list never replaces a newer
one; lists of equal version are united.
"""

import eventlet
import structlog

from burdocklug.hosts._messages import GetHosts, Hosts
from burdocklug.kernel import BurdocklugError
from burdocklug.peers import choose_platform_reader
from burdocklug.store import HostList, merge_host_lists

__all__ = ["HostWatch"]

log = structlog.get_logger(__name__)

POLL_PERIOD_S = 1.0
FALLBACK_POLL_PERIOD_S = 10.0  # of processes that are not their failure domain's poller
FETCH_TIMEOUT_S = 1.0
PURPOSE = "hosts"


class HostWatch:
    """Polls and shares the list of hosts, and tells which of them are leaving.

    Parameters
    ----------
    store : Store
        Store of the platform, which holds the list.
    peers : PeerNetwork
        Exchanges versions and lists with the peers.
    timers : TimerService
        Schedules the polls; source of time.
    """

    def __init__(self, store, peers, timers):
        self._store = store
        self._peers = peers
        self._timers = timers
        self.hosts = HostList(version=0, live=frozenset(), leaving=frozenset())
        self._fetching = False
        self._polling = False
        self._last_poll_s = timers.now()
        self._counts = {"polls": 0, "poll_failures": 0, "fetches": 0, "changes": 0, "older": 0}
        peers.register(Hosts)
        peers.register(GetHosts, self._on_get, inline=True)
        peers.add_heartbeat_part("hosts", lambda: self.hosts.version or None, self._on_version)

    def start(self):
        """Start polling."""
        self._timers.every(POLL_PERIOD_S, self._poll_when_due)

    def is_leaving(self, host):
        """Return whether the host with this IP address is leaving."""
        return host in self.hosts.leaving

    def merge(self, hosts):
        """Merge a list into the current one; see `merge_host_lists`."""
        merged = merge_host_lists(self.hosts, hosts)
        if merged == self.hosts:
            return
        self.hosts = merged
        self._counts["changes"] += 1
        log.info("hosts_changed", version=merged.version, leaving=sorted(merged.leaving))

    def _poll_when_due(self):
        now = self._timers.now()
        own = self._peers.incarnation
        poller = choose_platform_reader(own, self._peers.failure_domain, self._peers.members())
        if self._polling or not (
            poller == own or now - self._last_poll_s >= FALLBACK_POLL_PERIOD_S
        ):
            return
        self._polling = True
        self._last_poll_s = now
        eventlet.spawn_n(self._poll)

    def _poll(self):
        self._counts["polls"] += 1
        try:
            received = self._store.hosts(purpose=PURPOSE)
            self._count_if_older(received)
            self.merge(received)
        except BurdocklugError as exc:
            self._counts["poll_failures"] += 1
            log.debug("hosts_not_read", fault=exc.message)
        finally:
            self._polling = False

    def _count_if_older(self, received):
        """Count a list older than the current one: a stale read, or restarted version numbers."""
        if received.version >= self.hosts.version:
            return
        if not self._counts["older"]:
            log.warning(
                "host_list_older_than_current",
                version=received.version,
                in_force=self.hosts.version,
            )
        self._counts["older"] += 1

    def _on_version(self, member, version):
        if isinstance(version, int) and version > self.hosts.version and not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch, member.incarnation)

    def _fetch(self, incarnation):
        self._counts["fetches"] += 1
        try:
            received = self._peers.call(incarnation, GetHosts(), timeout_s=FETCH_TIMEOUT_S)
            live, leaving = frozenset(received.live), frozenset(received.leaving)
            self.merge(HostList(received.version, live, leaving))
        except BurdocklugError as exc:
            log.debug("hosts_not_fetched", fault=exc.message)
        finally:
            self._fetching = False

    def _on_get(self, _sender, _message):
        hosts = self.hosts
        return Hosts(hosts.version, sorted(hosts.live), sorted(hosts.leaving))

    def dump(self):
        """Return the state as plain data."""
        return {
            "version": self.hosts.version,
            "live": len(self.hosts.live),
            "leaving": sorted(self.hosts.leaving),
            "counts": self.counts(),
        }

    def counts(self):
        """Return counters by name."""
        return dict(self._counts)
