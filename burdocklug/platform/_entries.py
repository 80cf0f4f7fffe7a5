"""Decoding of the workers' registrations and the operator's configuration in the store."""

import msgspec

from burdocklug.pools import EndpointEntry, PoolConfiguration, QueueRule, Resources, ServiceRule

__all__ = ["CONFIG_KEY", "SERVERS_PREFIX", "decode_configuration", "decode_entry", "worker_id"]

CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"


class _Capacity(msgspec.Struct, frozen=True):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def to_resources(self):
        return Resources(self.cpu, self.mem_mb, self.gpu)


class _Worker(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str  # failure domain
    state: str
    capacity: _Capacity
    slots: int = 1
    labels: list[str] = []
    born: int = 0  # start of the current incarnation, Unix milliseconds


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int = 30_000
    target_duration_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    stretch_factor: float = 1.0
    # If not empty, tasks need a permission to start; not supported, so jobs are refused.
    advice: dict | None = None

    def to_rule(self):
        return QueueRule(
            self.name,
            self.host,
            self.prefix,
            self.service,
            priority=self.priority,
            max_attempts=self.max_attempts,
            objective_factor=self.stretch_factor,
            target_s=self.target_duration_ms / 1000,
            timeout_s=self.timeout_ms / 1000,
            needs_advice=bool(self.advice),
        )


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: int = 1
    enforce_capacity: bool = True


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()


def worker_id(key):
    """Return the id of the worker that is registered under a key.

    Examples
    --------
    >>> worker_id("servers/i-7f3a91c2")
    'i-7f3a91c2'
    """
    return key.removeprefix(SERVERS_PREFIX)


def decode_entry(key, value):
    """Return the endpoint that a store entry describes, or None if the entry is not valid.

    Other programs may write entries too, so fields can be missing or have another type, the state
    can be unknown, and the value may not be JSON.
    """
    try:
        worker = msgspec.json.decode(value, type=_Worker)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    host, _, port = worker.address.rpartition(":")
    if worker.state not in ("ready", "draining") or not port.isdigit() or not host:
        return None
    return EndpointEntry(
        worker_id(key),
        worker.service,
        worker.address,
        worker.zone,
        worker.capacity.to_resources(),
        labels=tuple(worker.labels),
        slots=worker.slots,
        draining=worker.state == "draining",
        started_ms=worker.born,
    )


def decode_configuration(value):
    """Return the operator's configuration.

    Raises
    ------
    ValueError
        If the value is not a valid configuration.
    """
    try:
        config = msgspec.json.decode(value, type=_Config)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ValueError(f"configuration is not valid: {exc}") from exc
    limits = config.limits
    return PoolConfiguration(
        config.version,
        tuple(route.to_rule() for route in config.routes),
        tuple(ServiceRule(s.name, s.enforce_capacity, s.max_conns) for s in config.services),
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=limits.max_header_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )
