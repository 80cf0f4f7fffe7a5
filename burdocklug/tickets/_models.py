"""Validated models of change tickets and of the objects that they change."""

import hashlib
import typing

import msgspec

__all__ = [
    "DIGEST_BYTES",
    "MAX_OBJECTS_PER_TICKET",
    "EndpointSet",
    "EndpointState",
    "ServiceState",
    "TeamState",
    "Ticket",
    "state_model",
    "ticket_digest",
]

DIGEST_BYTES = 8
MAX_NUMBER = 2**53 - 1  # largest integer that all JSON parsers represent exactly
MAX_OBJECTS_PER_TICKET = 1000
MAX_ENDPOINTS_PER_SET = 5000

_NAME = r"[a-z0-9][a-z0-9-]{0,62}"
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
_IP = rf"{_OCTET}(\.{_OCTET}){{3}}"

Name = typing.Annotated[str, msgspec.Meta(pattern=rf"\A{_NAME}\Z")]
HostIp = typing.Annotated[str, msgspec.Meta(pattern=rf"\A{_IP}\Z")]
Address = typing.Annotated[str, msgspec.Meta(pattern=rf"\A{_IP}:{_PORT}\Z")]
Operator = typing.Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9][A-Za-z0-9._@-]{0,63}\Z")]
TicketNumber = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=3600)]


class ServiceState(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Complete state of a service.

    Parameters
    ----------
    weight : {"latency", "messages"}
        Whether latency or the number of messages matters more to the service's users.
    max_queue : int
        Maximum number of tasks that wait in one process.
    max_tasks : int
        Maximum number of tasks of one job.
    task_timeout_s : float
        Seconds after which a running task is considered lost.
    """

    weight: typing.Literal["latency", "messages"]
    max_queue: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
    max_tasks: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    task_timeout_s: Seconds


class EndpointState(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Complete state of one endpoint of a service.

    Parameters
    ----------
    name : str
        Name, unique within the service.
    address : str
        Address at which the endpoint accepts tasks, ``IP:port``.
    host : str
        IP address of its host, as in the platform's host list.
    failure_domain, rack : str
        Failure domain and rack of the host.
    slots : int
        Maximum number of concurrent tasks.
    max_connections : int
        Maximum number of open connections, over all processes together.
    accelerators : int
        Number of accelerators.
    """

    name: Name
    address: Address
    host: HostIp
    failure_domain: Name
    rack: Name
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    max_connections: typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1_000)] = 0


class EndpointSet(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """All endpoints of a service, sorted by name."""

    endpoints: typing.Annotated[
        tuple[EndpointState, ...], msgspec.Meta(max_length=MAX_ENDPOINTS_PER_SET)
    ]


class TeamState(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Limits of a team.

    Parameters
    ----------
    max_running : int
        Maximum number of the team's tasks that run concurrently, in the whole fleet.
    weight : int
        Relative share of capacity when teams compete for it.
    """

    max_running: typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    weight: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000)]


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """A numbered change: the complete new state of each object that it changes.

    Parameters
    ----------
    number : int
        Number of the ticket; the highest number wins for each object.
    operator : str
        Name of the operator who requests the change.
    objects : dict of str to ServiceState, EndpointSet, TeamState or None
        New state by object name; None removes the object.

    Notes
    -----
    Create tickets with `parse_ticket` or `ticket_from_data`, which validate them.
    """

    number: int
    operator: str
    objects: dict[str, ServiceState | EndpointSet | TeamState | None]


STATE_MODELS = {"service": ServiceState, "endpoints": EndpointSet, "team": TeamState}


def state_model(name):
    """Return the model of an object's state, given by the prefix of its name.

    Parameters
    ----------
    name : str
        An object name, such as ``team/vat-crew``.

    Raises
    ------
    KeyError
        If the prefix isn't a kind of object.

    Examples
    --------
    >>> state_model("team/vat-crew").__name__
    'TeamState'
    """
    return STATE_MODELS[name.partition("/")[0]]


_canonical = msgspec.msgpack.Encoder(order="deterministic")


def ticket_digest(ticket):
    """Return the digest of a ticket's content.

    Parameters
    ----------
    ticket : Ticket
        A validated ticket.

    Returns
    -------
    bytes
        `DIGEST_BYTES` bytes that do not depend on the order of objects or endpoints.
    """
    return hashlib.blake2b(_canonical.encode(ticket), digest_size=DIGEST_BYTES).digest()
