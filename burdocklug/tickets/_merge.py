"""Versioned objects, the whole configuration value, its join and the effect of one ticket.

A value is a join-semilattice: per object the highest ticket number wins, so processes that
joined the same values hold the same result whatever the order, path or repetition.

Removed objects stay as tombstones while their number is over `ConfigValue.floor`. A value
reflects every accepted ticket up to its floor, so an object that a value lacks and whose
number is at or under that value's floor was removed, and the join drops it.
"""

import enum
from dataclasses import dataclass, field

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.tickets._models import (
    EndpointSet,
    ServiceState,
    TeamState,
    ticket_digest,
)

__all__ = [
    "MAX_RECENT_TICKETS",
    "MAX_TOMBSTONES",
    "ConfigValue",
    "ObjectVersion",
    "Outcome",
    "OutcomeKind",
    "apply_ticket",
    "join",
    "refusal",
]

MAX_RECENT_TICKETS = 500
RECENT_TICKETS_KEPT = 400
MAX_TOMBSTONES = 1000
TOMBSTONES_KEPT = 800


@dataclass(frozen=True, slots=True)
class ObjectVersion:
    """One object's state as one ticket set it.

    Parameters
    ----------
    number : int
        Number of that ticket.
    digest : bytes
        Digest of that ticket.
    state : ServiceState, EndpointSet, TeamState or None
        None for a removal.
    """

    number: int
    digest: bytes
    state: ServiceState | EndpointSet | TeamState | None

    @property
    def rank(self):
        """Order in which versions win; equal numbers of other content rank by digest."""
        return (self.number, self.digest)


@dataclass(frozen=True, slots=True)
class ConfigValue:
    """The whole configuration.

    Parameters
    ----------
    objects : dict of str to ObjectVersion
        Live objects, and tombstones with a number over `floor`.
    recent_tickets : dict of int to bytes
        Digest by number of the accepted tickets over `floor`, at most `MAX_RECENT_TICKETS`.
    floor : int
        The highest ticket number that is no longer remembered.
    """

    objects: dict[str, ObjectVersion] = field(default_factory=dict)
    recent_tickets: dict[int, bytes] = field(default_factory=dict)
    floor: int = 0

    def number_of(self, name):
        """Return the number up to which the state of an object is known."""
        version = self.objects.get(name)
        return self.floor if version is None else version.number

    def digest_of(self, number):
        """Return the digest of the accepted ticket of a number, or None if it is not known."""
        known = self.recent_tickets.get(number)
        if known is None:
            versions = self.objects.values()
            known = next((v.digest for v in versions if v.number == number), None)
        return known

    def highest_number(self):
        """Return the highest ticket number that the value reflects."""
        numbers = [version.number for version in self.objects.values()]
        return max([self.floor, *self.recent_tickets, *numbers])


def join(a, b):
    """Return the least value that is at or over both.

    Parameters
    ----------
    a, b : ConfigValue
        Values of one history of accepted tickets.

    Returns
    -------
    ConfigValue
        Per object the version with the highest number.

    Notes
    -----
    Commutative, associative and idempotent over the values of one history. Two tickets of one
    number can only meet where the store lost an accepted write; the greater digest then wins
    everywhere, for all objects of the ticket alike.

    Examples
    --------
    >>> old = ConfigValue({"team/a": ObjectVersion(1, b"x", None)})
    >>> new = ConfigValue({"team/a": ObjectVersion(2, b"y", None)})
    >>> join(old, new) == join(new, old) == new
    True
    """
    if a is b:
        return a
    floor = max(a.floor, b.floor)
    recent = {
        number: max(a.recent_tickets.get(number, b""), b.recent_tickets.get(number, b""))
        for number in a.recent_tickets.keys() | b.recent_tickets.keys()
    }
    objects = {}
    for name in a.objects.keys() | b.objects.keys():
        version = _newest(a, b, name)
        if version is not None:
            objects[name] = version
    return _value_over_floor(objects, recent, floor)


def _newest(a, b, name):
    ours, theirs = a.objects.get(name), b.objects.get(name)
    if ours is None:
        return theirs if theirs.number > a.floor else None
    if theirs is None:
        return ours if ours.number > b.floor else None
    return max(ours, theirs, key=lambda version: version.rank)


def _bounded(objects, recent, floor):
    """Return a value within the bounds; what it forgets raises the floor."""
    removed = [version.number for version in objects.values() if version.state is None]
    floor = max(
        floor,
        _highest_forgotten(recent, most=MAX_RECENT_TICKETS, kept=RECENT_TICKETS_KEPT),
        _highest_forgotten(removed, most=MAX_TOMBSTONES, kept=TOMBSTONES_KEPT),
    )
    return _value_over_floor(objects, recent, floor)


def _highest_forgotten(numbers, *, most, kept):
    return sorted(numbers)[-kept - 1] if len(numbers) > most else 0


def _value_over_floor(objects, recent, floor):
    return ConfigValue(
        {n: v for n, v in objects.items() if v.state is not None or v.number > floor},
        {number: digest for number, digest in recent.items() if number > floor},
        floor,
    )


class OutcomeKind(enum.StrEnum):
    """What became of a ticket."""

    ACCEPTED = "accepted"
    PARTLY_SUPERSEDED = "partly_superseded"
    WHOLLY_SUPERSEDED = "wholly_superseded"
    ALREADY_APPLIED = "already_applied"
    CONFLICT = "conflict"
    TOO_OLD = "too_old"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a ticket.

    Parameters
    ----------
    kind : OutcomeKind
        The outcome as a whole.
    superseded : tuple of str
        Sorted names of the objects that a higher number holds.
    floor : int
        The highest number that is no longer remembered.
    """

    kind: OutcomeKind
    superseded: tuple[str, ...] = ()
    floor: int = 0


def apply_ticket(value, ticket):
    """Return the value after a ticket, and the ticket's outcome.

    Parameters
    ----------
    value : ConfigValue
        The value that the store holds.
    ticket : Ticket
        A validated ticket.

    Returns
    -------
    tuple of ConfigValue and Outcome
        The given value itself where the ticket changes nothing.
    """
    digest = ticket_digest(ticket)
    known = value.digest_of(ticket.number)
    superseded = _superseded(value, ticket)
    if known is not None:
        kind = OutcomeKind.ALREADY_APPLIED if known == digest else OutcomeKind.CONFLICT
        return value, Outcome(kind, superseded, value.floor)
    if ticket.number <= value.floor:
        return value, Outcome(OutcomeKind.TOO_OLD, superseded, value.floor)
    if len(superseded) == len(ticket.objects):
        return value, Outcome(OutcomeKind.WHOLLY_SUPERSEDED, superseded, value.floor)
    objects = dict(value.objects)
    for name, state in ticket.objects.items():
        if name not in superseded:
            objects[name] = ObjectVersion(ticket.number, digest, state)
    recent = {**value.recent_tickets, ticket.number: digest}
    changed = _bounded(objects, recent, value.floor)
    kind = OutcomeKind.PARTLY_SUPERSEDED if superseded else OutcomeKind.ACCEPTED
    return changed, Outcome(kind, superseded, changed.floor)


def _superseded(value, ticket):
    held = value.objects
    names = [n for n in ticket.objects if n in held and held[n].number > ticket.number]
    return tuple(sorted(names))


def refusal(ticket, outcome):
    """Return the error that a refused ticket is answered with, or None for one in force.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    outcome : Outcome
        What became of it.

    Returns
    -------
    BurdocklugError or None
        The error names the ticket's number and why it was refused.
    """
    number = ticket.number
    if outcome.kind is OutcomeKind.CONFLICT:
        message = f"ticket {number} was accepted with other content"
        return BurdocklugError(ErrorKind.TICKET_CONFLICT, message)
    if outcome.kind is OutcomeKind.WHOLLY_SUPERSEDED:
        names = ", ".join(outcome.superseded)
        message = f"ticket {number}: higher numbers hold all its objects: {names}"
        return BurdocklugError(ErrorKind.TICKET_SUPERSEDED, message)
    if outcome.kind is OutcomeKind.TOO_OLD:
        message = f"ticket {number} is not over {outcome.floor}, the highest number forgotten"
        return BurdocklugError(ErrorKind.TICKET_TOO_OLD, message)
    return None
