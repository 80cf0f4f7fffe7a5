"""The configuration that is in force in this process."""

import structlog

from burdocklug.tickets._codec import value_digest
from burdocklug.tickets._merge import ConfigValue, join

__all__ = ["Configuration"]

log = structlog.get_logger(__name__)


class Configuration:
    """The configuration in force in this process; the ticket number of an object never decreases.

    Attributes
    ----------
    value : ConfigValue
        The value in force; replaced as a whole, never modified.
    digest : bytes
        Digest of `value`, which peers compare with their own.

    Examples
    --------
    >>> cfg = Configuration()
    >>> cfg.is_empty(), cfg.team("vat-crew")
    (True, None)
    """

    def __init__(self):
        self.value = ConfigValue()
        self.digest = value_digest(self.value)
        self._subscribers = []

    def service(self, name):
        """Return the state of a service, or None."""
        return self._state(f"service/{name}")

    def endpoints(self, service):
        """Return the endpoints of a service, sorted by name; empty if it has none."""
        state = self._state(f"endpoints/{service}")
        return () if state is None else state.endpoints

    def team(self, name):
        """Return the limits of a team, or None."""
        return self._state(f"team/{name}")

    def services(self):
        """Return the sorted names of all services."""
        return self._names("service/")

    def teams(self):
        """Return the sorted names of all teams."""
        return self._names("team/")

    def failure_domains(self):
        """Return the set of failure domains of all endpoints."""
        return {
            endpoint.failure_domain
            for service in self._names("endpoints/")
            for endpoint in self.endpoints(service)
        }

    def is_empty(self):
        """Return whether this process has received no configuration yet."""
        return not self.value.objects and self.value.floor == 0

    def subscribe(self, callback):
        """Call `callback()` once after each change, however many objects changed together."""
        self._subscribers.append(callback)

    def merge(self, value):
        """Join a value into the one in force and notify each subscriber once if an object changed.

        Parameters
        ----------
        value : ConfigValue
            A value from the store, from a peer or from an accepted ticket.

        Returns
        -------
        frozenset of str
            Names of the objects whose versions changed.

        Notes
        -----
        Doesn't yield to other greenlets before the whole new value is in force.
        """
        old = self.value
        joined = join(old, value)
        if joined == old:
            return frozenset()
        self.value = joined
        self.digest = value_digest(joined)
        names = old.objects.keys() | joined.objects.keys()
        changed = frozenset(n for n in names if old.objects.get(n) != joined.objects.get(n))
        if changed:
            self._notify()
        return changed

    def _notify(self):
        for callback in tuple(self._subscribers):
            try:
                callback()
            except Exception:
                log.exception("configuration_subscriber_failed", callback=repr(callback))

    def _state(self, name):
        version = self.value.objects.get(name)
        return None if version is None else version.state

    def _names(self, prefix):
        objects = self.value.objects.items()
        return sorted(
            name.removeprefix(prefix)
            for name, version in objects
            if name.startswith(prefix) and version.state is not None
        )
