"""Data model of a pool's configuration: queues, services and limits."""

import functools

import msgspec

__all__ = ["PoolConfiguration", "QueueRule", "ServiceRule"]


class QueueRule(msgspec.Struct, frozen=True):
    """Configuration of one queue.

    Parameters
    ----------
    name : str
        Name of the queue.
    host, prefix : str
        Host and path prefix of the requests that go to it.
    service : str
        Service whose endpoints run its tasks.
    priority : int
        Priority of its jobs; 0 is the highest.
    max_attempts : int
        Number of failed runs of one task after which its job fails.
    objective_factor : float
        Factor on a job's critical path, which gives the time that the job may take.
    target_s : float
        Seconds that a job may take in addition.
    timeout_s : float
        Seconds that a caller waits for an answer.
    needs_advice : bool
        Whether starts need a permission, which this version does not request.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    target_s: float = 0.0
    timeout_s: float = 30.0
    needs_advice: bool = False


class ServiceRule(msgspec.Struct, frozen=True):
    """Configuration of a service.

    `guards_capacity` states whether its endpoints refuse tasks that do not fit; `max_connections`
    limits the connections to each of them. An endpoint is slow for `cold_start_s` after its start,
    and then gets `cold_starts_per_s` tasks a second at most; 0 if these are not known.
    """

    name: str
    guards_capacity: bool = True
    max_connections: int = 1
    cold_start_s: float = 0.0
    cold_starts_per_s: float = 0.0


class PoolConfiguration(msgspec.Struct, frozen=True, dict=True):
    """The operators' configuration; a higher version supersedes a lower one.

    Parameters
    ----------
    version : int
        Version of the configuration; 0 if there is none.
    queues, services : tuple
        All queues and services.
    max_body_bytes, max_header_bytes : int
        Limits on the size of a request.
    header_timeout_s, idle_timeout_s : float
        Limits on the time for the headers of a request and on the idle time of a connection.
    """

    version: int = 0
    queues: tuple[QueueRule, ...] = ()
    services: tuple[ServiceRule, ...] = ()
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0

    def find_queue(self, host, path):
        """Return the queue whose host matches and whose prefix is the longest match, or None."""
        candidates = self._longest_prefix_first.get(host, ())
        return next((queue for queue in candidates if path.startswith(queue.prefix)), None)

    @functools.cached_property
    def _longest_prefix_first(self):
        by_host = {}
        for queue in sorted(self.queues, key=lambda queue: len(queue.prefix), reverse=True):
            by_host.setdefault(queue.host, []).append(queue)
        return by_host

    @functools.cached_property
    def priorities(self):
        """Priorities of all queues, as a set."""
        return frozenset(queue.priority for queue in self.queues)

    @functools.cached_property
    def longest_wait_s(self):
        """Longest time for which a caller of any queue waits, in seconds."""
        return max((queue.timeout_s for queue in self.queues), default=0.0)

    def find_service(self, name):
        """Return the configuration of a service, with its defaults if none is given."""
        return next((s for s in self.services if s.name == name), None) or ServiceRule(name)
