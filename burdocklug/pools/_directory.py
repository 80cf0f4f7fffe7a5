"""Endpoints and configuration known to a process."""

import msgspec
import structlog

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran
from burdocklug.pools._configuration import PoolConfiguration
from burdocklug.pools._differences import share_rules
from burdocklug.pools._evacuations import EvacuationView
from burdocklug.pools._version_lag import VersionLag
from burdocklug.pools._view_age import ViewAge

__all__ = ["Directory"]

COLD_CHANGE_S = 1.0  # later end of a cold time from which subscribers are notified
BEHIND_RETRY_S = 0.5  # a change of the configuration takes some tenths of a second to arrive

log = structlog.get_logger(__name__)


class Directory:
    """Latest known endpoints and configuration, with notification of changes.

    Attributes
    ----------
    configuration : PoolConfiguration
        Configuration with the highest version seen.
    entries : dict
        `EndpointEntry` by endpoint id, without the remaining cold time.
    cold_until_s : dict
        Monotonic time until which an endpoint is slow after its start, by endpoint id.
    evacuation_view : EvacuationView
        Failure domains in which nothing may be started.
    configuration_age, entries_age : ViewAge
        When each was last read from the store; the evacuations are read with the configuration.
    version_lag : VersionLag
        Versions of the configuration that other processes have and this one lacks.
    operators_revision : int
        Revision of the store up to which all that operators wrote is known, from the store itself
        or from a peer that knows it; 0 if it was never read.
    """

    def __init__(self):
        self.configuration = PoolConfiguration()
        self.entries = {}
        self.evacuation_view = EvacuationView()
        self.cold_until_s = {}
        self._cold_reports = {}  # incarnation and remaining cold time in the last entry, by id
        self.configuration_age = ViewAge()
        self.entries_age = ViewAge()
        self.version_lag = VersionLag()
        self.operators_revision = 0
        self._subscribers = []

    def subscribe(self, callback):
        """Call `callback` without arguments after each change."""
        self._subscribers.append(callback)

    def _notify(self):
        for callback in self._subscribers:
            callback()

    def priorities(self):
        """Return the set of priorities of the configured queues."""
        return self.configuration.priorities

    def longest_wait_s(self):
        """Return the longest time for which a caller of any queue waits, in seconds."""
        return self.configuration.longest_wait_s

    def resolve_queue(self, host, path):
        """Return the queue of a request.

        Raises
        ------
        BurdocklugError
            Of kind ``not_found`` if the newest configuration that is known to exist has no such
            queue, of kind ``no_configuration`` while there is none or a newer one has not arrived.
        """
        if not self.configuration.version:
            raise BurdocklugError(ErrorKind.NO_CONFIGURATION, "no configuration yet")
        queue = self.configuration.find_queue(host, path)
        if queue is not None:
            return queue
        where = f"{host[:80]}{path[:80]}"
        if self.version_lag.is_behind:
            raise BurdocklugError(
                ErrorKind.NO_CONFIGURATION,
                f"no queue at {where} in version {self.configuration.version}, "
                f"and version {self.version_lag.newest} has not arrived",
                retry_after_s=BEHIND_RETRY_S,
            )
        raise BurdocklugError(ErrorKind.NOT_FOUND, f"no queue at {where}", ran=Ran.NO)

    def note_version(self, version, *, source, now_s):
        """Record that another process has a version of the configuration."""
        if self.version_lag.note_heard(version, now_s):
            log.info(
                "configuration_behind",
                version=version,
                in_force=self.configuration.version,
                source=source,
            )

    def take_configuration(self, configuration, *, source, now_s=0.0):
        """Apply a configuration if its version is higher; return whether it was applied."""
        if configuration.version <= self.configuration.version:
            return False
        log.info(
            "configuration_in_force",
            version=configuration.version,
            before=self.configuration.version,
            source=source,
            queues=len(configuration.queues),
            behind_s=round(self.version_lag.behind_s(now_s), 3),
        )
        self.configuration = share_rules(self.configuration, configuration)
        self.version_lag.note_taken(configuration.version)
        self._notify()
        return True

    def note_peer_view(self, version, evacuations_digest, operators_revision):
        """Record up to which revision a peer knows all that operators wrote, if this process does.

        Parameters
        ----------
        version : int
            Version of the peer's configuration.
        evacuations_digest : int
            Digest of the peer's evacuations.
        operators_revision : int
            The revision.
        """
        if (
            operators_revision > self.operators_revision
            and version == self.configuration.version
            and evacuations_digest == self.evacuation_view.digest
        ):
            self.operators_revision = operators_revision

    @property
    def evacuations(self):
        """Revisions of the operators' requests, by evacuated failure domain."""
        return self.evacuation_view.requests

    def take_evacuations(self, view, *, source, age_s):
        """Replace the view of the evacuations by a newer one; return whether it changed any.

        Parameters
        ----------
        view : EvacuationView
            The present view after a change, or merged with another one.
        source : str
            Where it comes from, for the log.
        age_s : float or None
            Seconds since this process last read the evacuations, None if it never has; no change
            has waited here for longer.
        """
        before, self.evacuation_view = self.evacuations, view
        if view.requests == before:
            return False
        details = {"source": source, "age_s": None if age_s is None else round(age_s, 3)}
        for domain, revision in view.requests.items():
            if before.get(domain) != revision:
                log.info("failure_domain_evacuated", domain=domain, revision=revision, **details)
        for domain in sorted(set(before).difference(view.requests)):
            log.info(
                "failure_domain_taken_back",
                domain=domain,
                revision=before[domain],
                known_up_to=view.revision,
                **details,
            )
        self._notify()
        return True

    def put(self, entry, *, now_s=0.0):
        """Add or replace the entry of an endpoint that was read at a monotonic time.

        The remaining cold time differs in each entry that an endpoint writes, so subscribers are
        only notified if the cold time ends later than was known.
        """
        before = self.entries.get(entry.endpoint_id)
        is_colder = self._note_cold(entry, before, now_s)
        entry = msgspec.structs.replace(entry, cold_s=None)
        if before == entry and not is_colder:
            return
        self.entries[entry.endpoint_id] = entry
        if before is None or before.draining != entry.draining:
            log.info(
                "endpoint_listed",
                endpoint=entry.endpoint_id,
                service=entry.service,
                address=entry.address,
                draining=entry.draining,
            )
        self._notify()

    def _note_cold(self, entry, before, now_s):
        """Record until when an endpoint is cold; return whether that is later than was known.

        An entry that was read again says how long the endpoint was cold when it was written.
        """
        endpoint_id, report = entry.endpoint_id, (entry.started_ms, entry.cold_s)
        if self._cold_reports.get(endpoint_id) == report:
            return False
        self._cold_reports[endpoint_id] = report
        cold_s = entry.cold_s
        if cold_s is None and before is not None and before.started_ms != entry.started_ms:
            cold_s = self.configuration.find_service(entry.service).cold_start_s
        if not cold_s:
            return False
        known_s = max(self.cold_until_s.get(endpoint_id, 0.0), now_s)
        self.cold_until_s[endpoint_id] = now_s + cold_s
        if now_s + cold_s <= known_s + COLD_CHANGE_S:
            return False
        log.info("endpoint_cold", endpoint=endpoint_id, for_s=round(cold_s, 3))
        return True

    def remove(self, endpoint_id, *, reason):
        """Remove an endpoint."""
        self.cold_until_s.pop(endpoint_id, None)
        self._cold_reports.pop(endpoint_id, None)
        if self.entries.pop(endpoint_id, None) is not None:
            log.info("endpoint_unlisted", endpoint=endpoint_id, reason=reason)
            self._notify()

    def keep_only(self, endpoint_ids, *, reason):
        """Remove all endpoints except those named."""
        for endpoint_id in set(self.entries).difference(endpoint_ids):
            self.remove(endpoint_id, reason=reason)

    def dump(self):
        """Return the configuration's version and queues, and the endpoints, as plain data."""
        return {
            "configuration_version": self.configuration.version,
            "newest_known_version": self.version_lag.newest,
            "queues": [queue.name for queue in self.configuration.queues],
            "endpoints": sorted(self.entries),
            "evacuations": dict(sorted(self.evacuations.items())),
        }
