"""Messages about the configuration between peers, and the part of a heartbeat."""

import msgspec

__all__ = [
    "EncodedDelta",
    "HeartbeatPart",
    "KnownVersion",
    "TicketDelta",
    "TicketFetch",
    "TicketProbe",
    "TicketProbeReply",
    "TicketPush",
]


class HeartbeatPart(msgspec.Struct, array_like=True, frozen=True):
    """What a heartbeat says of the sender's configuration.

    Parameters
    ----------
    digest : bytes
        Digest of the value in force.
    highest : int
        The highest ticket number that the value reflects.
    contact_age_s : float or None
        Seconds since the sender last had an answer from the store; None if never, or if its last
        call failed.
    """

    digest: bytes
    highest: int
    contact_age_s: float | None


class KnownVersion(msgspec.Struct, array_like=True, frozen=True):
    """Which version of an object the requester holds; a digest prefix tells equal numbers apart."""

    name: str
    number: int
    digest: bytes


class EncodedDelta(msgspec.Struct, array_like=True, frozen=True):
    """Newer objects and the floor as an encoded value, and the names of removed objects."""

    value: bytes
    removed: list[str]


class TicketPush(msgspec.Struct, array_like=True, tag="ticket_push", frozen=True):
    """A change; who applies it and reaches `digest` holds all that the sender holds."""

    digest: bytes
    delta: EncodedDelta


class TicketFetch(msgspec.Struct, array_like=True, tag="ticket_fetch", frozen=True):
    """Asks for every object that is newer than the known ones."""

    known: list[KnownVersion]


class TicketDelta(msgspec.Struct, array_like=True, tag="ticket_delta", frozen=True):
    """Reply to `TicketFetch`: what is newer, and the digest of the sender's whole value."""

    digest: bytes
    delta: EncodedDelta


class TicketProbe(msgspec.Struct, array_like=True, tag="ticket_probe", frozen=True):
    """Asks whether objects are in force at least with these ticket numbers."""

    numbers: dict[str, int]


class TicketProbeReply(msgspec.Struct, array_like=True, tag="ticket_probe_reply", frozen=True):
    """Reply to `TicketProbe`, with the digest and the highest number in force."""

    in_force: bool
    digest: bytes
    highest: int
