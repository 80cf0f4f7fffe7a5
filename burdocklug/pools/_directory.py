"""Endpoints and configuration known to a process."""

import structlog

from burdocklug.pools._models import PoolConfiguration
from burdocklug.pools._view_age import ViewAge

__all__ = ["Directory"]

log = structlog.get_logger(__name__)


class Directory:
    """Latest known endpoints and configuration, with notification of changes.

    Attributes
    ----------
    configuration : PoolConfiguration
        Configuration with the highest version seen.
    entries : dict
        `EndpointEntry` by endpoint id.
    configuration_age, entries_age : ViewAge
        When each was last read from the store.
    """

    def __init__(self):
        self.configuration = PoolConfiguration()
        self.entries = {}
        self.configuration_age = ViewAge()
        self.entries_age = ViewAge()
        self._subscribers = []

    def subscribe(self, callback):
        """Call `callback` without arguments after each change."""
        self._subscribers.append(callback)

    def _notify(self):
        for callback in self._subscribers:
            callback()

    def priorities(self):
        """Return the set of priorities of the configured queues."""
        return {queue.priority for queue in self.configuration.queues}

    def failure_domains(self):
        """Return the failure domains of the known endpoints, as a set."""
        return {entry.failure_domain for entry in self.entries.values()}

    def longest_wait_s(self):
        """Return the longest time for which a caller of any queue waits, in seconds."""
        return max((queue.timeout_s for queue in self.configuration.queues), default=0.0)

    def take_configuration(self, configuration, *, source):
        """Apply a configuration if its version is higher; return whether it was applied."""
        if configuration.version <= self.configuration.version:
            return False
        log.info(
            "configuration_in_force",
            version=configuration.version,
            before=self.configuration.version,
            source=source,
            queues=len(configuration.queues),
        )
        self.configuration = configuration
        self._notify()
        return True

    def put(self, entry):
        """Add or replace the entry of an endpoint."""
        before = self.entries.get(entry.endpoint_id)
        if before == entry:
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

    def remove(self, endpoint_id, *, reason):
        """Remove an endpoint."""
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
            "queues": [queue.name for queue in self.configuration.queues],
            "endpoints": sorted(self.entries),
        }
