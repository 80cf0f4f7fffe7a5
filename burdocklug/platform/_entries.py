"""Decoding of the workers' registrations and of what the operator writes in the store."""

import ipaddress
import re

import msgspec

from burdocklug.kernel import MalformedValue, decode_json
from burdocklug.platform._ranges import Amount, Duration, Moment, Number, Share
from burdocklug.pools import EndpointEntry, PoolConfiguration, QueueRule, Resources, ServiceRule

__all__ = [
    "CONFIG_KEY",
    "EVACUATE_PREFIX",
    "OPERATOR_PREFIX",
    "SERVERS_PREFIX",
    "decode_configuration",
    "decode_entry",
    "evacuated_domain",
    "is_evacuation_value",
    "worker_id",
]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"
WORKER_ID = re.compile(r"[!-~]{1,200}")  # sent as a header
MAX_PORT = 65_535


class _Capacity(msgspec.Struct, frozen=True):
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0

    def to_resources(self):
        return Resources(self.cpu, self.mem_mb, self.gpu)


class _Worker(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str  # failure domain
    state: str
    capacity: _Capacity
    slots: Amount = 1
    labels: list[str] = []
    born: Moment = 0  # start of the current incarnation, Unix milliseconds
    cold_remaining_ms: Duration | None = None  # remaining time of being slow after the start


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: Duration = 30_000
    target_duration_ms: Duration = 0.0
    priority: Amount = 0
    max_attempts: Amount = 1
    stretch_factor: Share = 1.0
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
    max_conns: Amount = 1
    enforce_capacity: bool = True
    cold_start_s: Share = 0.0
    cold_per_s: Share = 0.0

    def to_rule(self):
        return ServiceRule(
            self.name,
            self.enforce_capacity,
            self.max_conns,
            cold_start_s=self.cold_start_s,
            cold_starts_per_s=self.cold_per_s,
        )


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: Amount = 16_384
    max_body_bytes: Amount = 262_144
    header_timeout_ms: Duration = 10_000
    idle_timeout_ms: Duration = 15_000


class _Config(msgspec.Struct, frozen=True):
    version: Number
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


def evacuated_domain(key):
    """Return the failure domain that a key of the operator evacuates; empty if it names none.

    Examples
    --------
    >>> evacuated_domain("op/evacuate/perg"), evacuated_domain("op/wave/1")
    ('perg', '')
    """
    return key.removeprefix(EVACUATE_PREFIX) if key.startswith(EVACUATE_PREFIX) else ""


def is_evacuation_value(value):
    """Return whether the value of a request to evacuate is an object, as it should be."""
    try:
        decode_json(value, dict)
    except MalformedValue:
        return False
    return True


def decode_entry(key, value):
    """Return the endpoint that a store entry describes, or None if the entry is not valid.

    Other programs may write entries too, so fields can be missing, out of range or of another type,
    the state can be unknown, and the value may not be JSON.
    """
    try:
        worker = decode_json(value, _Worker)
    except MalformedValue:
        return None
    endpoint_id = worker_id(key)
    is_valid = WORKER_ID.fullmatch(endpoint_id) and worker.service and _is_address(worker.address)
    if not is_valid or worker.state not in ("ready", "draining"):
        return None
    cold_ms = worker.cold_remaining_ms
    return EndpointEntry(
        endpoint_id,
        worker.service,
        worker.address,
        worker.zone,
        worker.capacity.to_resources(),
        labels=tuple(worker.labels),
        slots=worker.slots,
        draining=worker.state == "draining",
        started_ms=worker.born,
        cold_s=None if cold_ms is None else cold_ms / 1000,
    )


def _is_address(text):
    """Return whether a text is an IP number and a port.

    Examples
    --------
    >>> _is_address("10.1.0.1:8080"), _is_address("10.1.0.1:99999"), _is_address("worker:80")
    (True, False, False)
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT


def decode_configuration(value):
    """Return the operator's configuration.

    Raises
    ------
    ValueError
        If the value is not a valid configuration.
    """
    try:
        config = decode_json(value, _Config)
    except MalformedValue as exc:
        raise ValueError(f"configuration is not valid: {exc}") from exc
    limits = config.limits
    return PoolConfiguration(
        config.version,
        tuple(route.to_rule() for route in config.routes),
        tuple(service.to_rule() for service in config.services),
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=limits.max_header_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )
