"""Messages between peers about the configuration, and its part of a heartbeat."""

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
    """State of the sender's configuration in a heartbeat.

    Parameters
    ----------
    digest : bytes
        Digest of the value in force at the sender.
    highest : int
        The highest ticket number that the value reflects.
    contact_age_s : float or None
        Seconds since the sender's last answer from the store; None if there was none or if its
        last call failed.
    """

    digest: bytes
    highest: int
    contact_age_s: float | None


class KnownVersion(msgspec.Struct, array_like=True, frozen=True):
    """Version of an object at the requester; a digest prefix tells equal ticket numbers apart."""

    name: str
    number: int
    digest: bytes


class EncodedDelta(msgspec.Struct, array_like=True, frozen=True):
    """A `Delta` in encoded form.

    Parameters
    ----------
    value : bytes
        Encoded configuration value that holds the newer objects and the sender's floor.
    removed : list of str
        Names of removed objects whose tombstones the sender has dropped.
    """

    value: bytes
    removed: list[str]


class TicketPush(msgspec.Struct, array_like=True, tag="ticket_push", frozen=True):
    """A change; a receiver merges it only if the merged value then has the sender's `digest`."""

    digest: bytes
    delta: EncodedDelta


class TicketFetch(msgspec.Struct, array_like=True, tag="ticket_fetch", frozen=True):
    """Request for all objects that are newer than the requester's known versions."""

    known: list[KnownVersion]


class TicketDelta(msgspec.Struct, array_like=True, tag="ticket_delta", frozen=True):
    """Reply to `TicketFetch`: the newer objects, and the digest of the sender's whole value."""

    digest: bytes
    delta: EncodedDelta


class TicketProbe(msgspec.Struct, array_like=True, tag="ticket_probe", frozen=True):
    """Question whether the named objects are in force with at least the given ticket numbers."""

    numbers: dict[str, int]


class TicketProbeReply(msgspec.Struct, array_like=True, tag="ticket_probe_reply", frozen=True):
    """Reply to `TicketProbe`, with the digest and highest ticket number of the value in force."""

    in_force: bool
    digest: bytes
    highest: int
