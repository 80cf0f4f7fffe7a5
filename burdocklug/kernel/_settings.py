"""Settings of one process: the models, and a check that reports every fault at once."""

import types
import typing
from pathlib import Path

import msgspec
import yaml

from burdocklug.kernel._errors import BurdocklugError, ErrorKind

__all__ = [
    "JobSettings",
    "ListenSettings",
    "PeerSettings",
    "PlatformSettings",
    "PoolSettings",
    "ProcessSettings",
    "Settings",
    "SettingsError",
    "check_settings",
    "load_settings",
]

MIN_SECRET_CHARS = 16  # shorter secrets can be guessed by online attempts
BYTES_PER_MB = 1024 * 1024
REQUESTS_SHARE = 8  # clients' requests hold at most this part of the memory
JOBS_SHARE = 4  # the jobs of a scheduler hold at most this part of the memory
CONNECTIONS_SHARE = 2  # callers' connections take at most this part of memory and descriptors
CONNECTION_BYTES = 131_072  # of a connection with its socket's buffers and its green thread
MIN_DESCRIPTORS = 400  # files, peers, endpoints, and the connections of operators
POOL_MAX_BODY_BYTES = 262_144  # a configuration's default

Address = typing.Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")]
Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,62})\Z")]
Secret = typing.Annotated[str, msgspec.Meta(min_length=MIN_SECRET_CHARS)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Descriptors = typing.Annotated[int, msgspec.Meta(ge=MIN_DESCRIPTORS)]
Cores = typing.Annotated[float, msgspec.Meta(gt=0, le=1000)]


class ProcessSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Identity of this process, the process names of its fleet, its resources, and the log level.

    The host gives this process `memory_mb` megabytes; an eighth of them is for clients' requests,
    and a quarter for the jobs of a scheduler.
    It may open `max_fds` file descriptors, of which callers' connections take up at most half.
    """

    name: Name
    failure_domain: Name
    fleet: list[Name] = []
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"
    memory_mb: Count = 256
    max_fds: Descriptors = 4096

    @property
    def max_request_bytes(self):
        """Largest sum of the bytes that clients' requests hold at a time."""
        return self.memory_mb * BYTES_PER_MB // REQUESTS_SHARE

    @property
    def max_job_bytes(self):
        """Largest number of bytes that the jobs of a scheduler take up."""
        return self.memory_mb * BYTES_PER_MB // JOBS_SHARE

    @property
    def max_caller_connections(self):
        """Largest number of callers' connections for which there are memory and descriptors."""
        by_memory = self.memory_mb * BYTES_PER_MB // CONNECTIONS_SHARE // CONNECTION_BYTES
        return max(1, min(by_memory, self.max_fds // CONNECTIONS_SHARE))


class ListenSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Listening addresses, each an IP address and a TCP port, and connection and request limits.

    ``advertised_peers`` is the address at which peers reach the listener ``peers``, where that
    differs from the address listened on.
    """

    callers: Address
    operators: Address
    peers: Address
    advertised_peers: Address | None = None
    max_connections: Count = 1000
    header_timeout_s: Seconds = 10.0
    body_timeout_s: Seconds = 10.0
    max_body_bytes: Count = 8_000_000


class PeerSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Discovery, authentication and failure detection of peers; times in seconds."""

    shared_key: Secret
    seeds: list[Address] = []
    heartbeat_s: Seconds = 0.5
    suspect_after_s: Seconds = 2.0
    dead_after_s: Seconds = 5.0
    forget_after_s: Seconds = 600.0
    remote_links: Count = 4


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The platform's key-value service: its addresses and the call budget.

    `fleet_calls_per_s` is divided among the live processes; `calls_per_s` is the budget of a
    process that has found no other.
    """

    addresses: list[Address]
    timeout_s: Seconds = 2.0
    calls_per_s: Seconds = 20.0
    fleet_calls_per_s: Seconds = 1000.0


class PoolSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Settings of the processes of an endpoint pool, which have the profile ``pool``.

    `readiness` is the address that the balancer's health checks use; `records` and `orders` name
    the registered clients of the store and of endpoints. A run ends after `max_lease_ms` unless
    its lease is renewed. Away from the rack of its data a task takes `distance_factor` times as
    long. A graceful shutdown takes `grace_s` seconds at most. The host gives this process
    `cpu_share` cores, each `cpu_speed` times as fast as a usual one. A job with more than
    `max_tasks` tasks over all its steps is refused.
    """

    readiness: Address
    records: str
    orders: str
    max_lease_ms: Count
    distance_factor: float = 1.5
    grace_s: Seconds = 6.0
    max_tasks: Count = 10_000
    cpu_share: Cores | None = None
    cpu_speed: Cores | None = None


class JobSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Limits of the submission ledger and of jobs."""

    max_tasks: Count = 1700
    max_sessions: Count = 10_000
    max_records_per_session: Count = 1000
    max_ledger_bytes: Count = 64_000_000
    max_job_bytes: Count = 64_000_000
    session_idle_s: Seconds = 900.0
    default_deadline_s: Seconds = 60.0
    max_deadline_s: Seconds = 3600.0
    claim_window_s: Seconds = 3600.0
    shutdown_s: Seconds = 30.0
    longest_task_s: Seconds = 30.0


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """All settings of one process."""

    process: ProcessSettings
    listen: ListenSettings
    peers: PeerSettings
    platform: PlatformSettings
    operator_token: Secret
    jobs: JobSettings = JobSettings()
    profile: typing.Literal["own", "pool"] = "own"
    pool: PoolSettings | None = None


class SettingsError(BurdocklugError):
    """Raised for invalid settings; `faults` holds one line for each fault.

    Parameters
    ----------
    faults : list of str
        Lines of the form ``path: fault``.
    """

    def __init__(self, faults):
        super().__init__(ErrorKind.SETTINGS_INVALID, "; ".join(faults))
        self.faults = faults


def check_settings(data, model=Settings, path="$"):
    """Validate `data` against `model` and yield one line for each fault.

    Parameters
    ----------
    data : object
        Plain data as read from YAML.
    model : type, optional
        The msgspec model to check against.
    path : str, optional
        Path of `data` in the whole document, put before each fault.

    Examples
    --------
    >>> list(check_settings({"name": "p1", "colour": 3}, model=ProcessSettings))
    ['$.failure_domain: missing', '$.colour: unknown field']
    """
    if not isinstance(data, dict):
        yield f"{path}: expected a mapping, got {type(data).__name__}"
        return
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    for name, field in fields.items():
        if name in data:
            yield from _check_field(data[name], field.type, f"{path}.{name}")
        elif field.required:
            yield f"{path}.{name}: missing"
    for name in data:
        if name not in fields:
            yield f"{path}.{name}: unknown field"


def _check_field(value, kind, path):
    if value is not None:
        kind = without_none(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from check_settings(value, kind, path)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        fault, _, inner = str(exc).partition(" - at `$")
        yield f"{path}{inner.rstrip('`')}: {fault}"


def without_none(kind):
    """Return ``T`` for a type ``T | None``, and any other type unchanged."""
    others = [option for option in typing.get_args(kind) if option is not types.NoneType]
    is_optional = isinstance(kind, types.UnionType) and len(others) == 1
    return others[0] if is_optional else kind


def load_settings(path):
    """Read and check a YAML file.

    Parameters
    ----------
    path : str or Path
        The file to read.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    SettingsError
        If the file can't be read or has faults; every fault is listed.
    """
    try:
        data = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc
    faults = list(check_settings(data))
    if not faults and data.get("profile") == "pool" and not data.get("pool"):
        faults = ["$.pool: missing; required by the profile pool"]
    if faults:
        raise SettingsError(faults)
    settings = msgspec.convert(data, Settings)
    if faults := list(_check_memory(settings)):
        raise SettingsError(faults)
    return settings


def _check_memory(settings):
    """Yield a fault if not even one body of the largest size fits into the memory for requests."""
    is_pool = settings.profile == "pool"
    largest = POOL_MAX_BODY_BYTES if is_pool else settings.listen.max_body_bytes
    if settings.process.max_request_bytes < largest:
        needed_mb = -(-largest * REQUESTS_SHARE // BYTES_PER_MB)
        yield (
            f"$.process.memory_mb: {settings.process.memory_mb} is too little for a body of "
            f"{largest} bytes, which needs {needed_mb}"
        )
