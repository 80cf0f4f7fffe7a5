"""What a process knows of endpoints and configuration; newer knowledge replaces older."""

import structlog

from burdocklug.pools._models import PoolConfiguration

__all__ = ["Directory"]

log = structlog.get_logger(__name__)


class Directory:
    """Endpoints and configuration of one process.

    Attributes
    ----------
    configuration : PoolConfiguration
        The one with the highest version that was seen.
    entries : dict
        `EndpointEntry` by endpoint id.
    """

    def __init__(self):
        self.configuration = PoolConfiguration()
        self.entries = {}
        self._subscribers = []

    def subscribe(self, callback):
        """Call `callback` after each change."""
        self._subscribers.append(callback)

    def _tell(self):
        for callback in self._subscribers:
            callback()

    def priorities(self):
        """Return the priorities of the queues in force, as a set."""
        return {queue.priority for queue in self.configuration.queues}

    def take_configuration(self, configuration, *, source):
        """Put a configuration in force, unless its version is not higher than the present one."""
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
        self._tell()
        return True

    def put(self, entry):
        """Take in what an endpoint says of itself."""
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
        self._tell()

    def remove(self, endpoint_id, *, reason):
        """Forget an endpoint."""
        if self.entries.pop(endpoint_id, None) is not None:
            log.info("endpoint_unlisted", endpoint=endpoint_id, reason=reason)
            self._tell()

    def keep_only(self, endpoint_ids, *, reason):
        """Forget all endpoints but those named."""
        for endpoint_id in set(self.entries).difference(endpoint_ids):
            self.remove(endpoint_id, reason=reason)

    def dump(self):
        """Return the version and the endpoints as plain data."""
        return {
            "configuration_version": self.configuration.version,
            "queues": [queue.name for queue in self.configuration.queues],
            "endpoints": sorted(self.entries),
        }
