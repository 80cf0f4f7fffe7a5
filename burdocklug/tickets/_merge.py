"""Configuration values of versioned objects, their join, and the effect of a ticket on a value.

Values form a join-semilattice: the highest ticket number wins for each object, so processes that
joined the same values hold the same result, whatever the order, grouping or repetition.

Removed objects are kept as tombstones while their ticket number is above `ConfigValue.floor`. A
value reflects every accepted ticket up to its floor. So if a value lacks an object that another
value holds with a number not above that floor, the object was removed, and the join drops it.
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
    "refusal_error",
]

# Exceeding MAX_* prunes down to *_KEPT in one step, so that the floor (the highest pruned ticket
# number) rises rarely.
MAX_RECENT_TICKETS = 500
RECENT_TICKETS_KEPT = 400
MAX_TOMBSTONES = 1000
TOMBSTONES_KEPT = 800


@dataclass(frozen=True, slots=True)
class ObjectVersion:
    """State of an object as set by a ticket.

    Parameters
    ----------
    number : int
        Number of the ticket.
    digest : bytes
        Digest of the ticket.
    state : ServiceState, EndpointSet, TeamState or None
        State of the object, or None if the ticket removed it.
    """

    number: int
    digest: bytes
    state: ServiceState | EndpointSet | TeamState | None

    @property
    def rank(self):
        """Sort key: the version with the higher rank wins; the digest breaks ties of numbers."""
        return (self.number, self.digest)


@dataclass(frozen=True, slots=True)
class ConfigValue:
    """A whole configuration.

    Parameters
    ----------
    objects : dict of str to ObjectVersion
        Versions of the existing objects by name, and tombstones with a number above `floor`.
    recent_tickets : dict of int to bytes
        Digest by number of the accepted tickets above `floor`, at most `MAX_RECENT_TICKETS`.
    floor : int
        Highest ticket number that was pruned; the digests and tombstones of all tickets up to it
        are dropped.
    """

    objects: dict[str, ObjectVersion] = field(default_factory=dict)
    recent_tickets: dict[int, bytes] = field(default_factory=dict)
    floor: int = 0

    def number_of(self, name):
        """Return the number of the ticket that set an object; `floor` if the value lacks it."""
        version = self.objects.get(name)
        return self.floor if version is None else version.number

    def digest_of(self, number):
        """Return the digest of the accepted ticket with a number, or None if it is unknown."""
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
    """Return the least upper bound of two values.

    Parameters
    ----------
    a, b : ConfigValue
        Values from the same history of accepted tickets.

    Returns
    -------
    ConfigValue
        Holds the version with the highest number of each object.

    Notes
    -----
    Commutative, associative and idempotent over the values of one history. Two accepted tickets
    can have the same number only if the store lost an accepted write. The greater digest then wins
    in every process and for all objects of the ticket.

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
    return _value_above_floor(objects, recent, floor)


def _newest(a, b, name):
    ours, theirs = a.objects.get(name), b.objects.get(name)
    if ours is None:
        return theirs if theirs.number > a.floor else None
    if theirs is None:
        return ours if ours.number > b.floor else None
    return max(ours, theirs, key=lambda version: version.rank)


def _prune(objects, recent, floor):
    """Return a value within the bounds, its floor raised to the highest number that was dropped."""
    removed = [version.number for version in objects.values() if version.state is None]
    floor = max(
        floor,
        _highest_dropped(recent, most=MAX_RECENT_TICKETS, kept=RECENT_TICKETS_KEPT),
        _highest_dropped(removed, most=MAX_TOMBSTONES, kept=TOMBSTONES_KEPT),
    )
    return _value_above_floor(objects, recent, floor)


def _highest_dropped(numbers, *, most, kept):
    return sorted(numbers)[-kept - 1] if len(numbers) > most else 0


def _value_above_floor(objects, recent, floor):
    return ConfigValue(
        {n: v for n, v in objects.items() if v.state is not None or v.number > floor},
        {number: digest for number, digest in recent.items() if number > floor},
        floor,
    )


class OutcomeKind(enum.StrEnum):
    """Outcome of applying a ticket."""

    ACCEPTED = "accepted"
    PARTLY_SUPERSEDED = "partly_superseded"
    WHOLLY_SUPERSEDED = "wholly_superseded"
    ALREADY_APPLIED = "already_applied"
    CONFLICT = "conflict"
    TOO_OLD = "too_old"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of applying a ticket, with its details.

    Parameters
    ----------
    kind : OutcomeKind
        Kind of the outcome.
    superseded : tuple of str
        Sorted names of the ticket's objects that a ticket with a higher number has set.
    floor : int
        Floor of the resulting value.
    """

    kind: OutcomeKind
    superseded: tuple[str, ...] = ()
    floor: int = 0


def apply_ticket(value, ticket):
    """Apply a ticket to a value and return the new value and the outcome.

    Parameters
    ----------
    value : ConfigValue
        The value to apply the ticket to; not modified.
    ticket : Ticket
        A validated ticket.

    Returns
    -------
    tuple of ConfigValue and Outcome
        The new value, or `value` itself if the ticket changes nothing, and the outcome.
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
    changed = _prune(objects, recent, value.floor)
    kind = OutcomeKind.PARTLY_SUPERSEDED if superseded else OutcomeKind.ACCEPTED
    return changed, Outcome(kind, superseded, changed.floor)


def _superseded(value, ticket):
    held = value.objects
    names = [n for n in ticket.objects if n in held and held[n].number > ticket.number]
    return tuple(sorted(names))


def refusal_error(ticket, outcome):
    """Return the error that reports a refused ticket, or None if the ticket was not refused.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    outcome : Outcome
        Outcome of applying it.

    Returns
    -------
    BurdocklugError or None
        The message contains the ticket's number and the reason.
    """
    number = ticket.number
    if outcome.kind is OutcomeKind.CONFLICT:
        message = f"another ticket {number} with different content was already accepted"
        return BurdocklugError(ErrorKind.TICKET_CONFLICT, message)
    if outcome.kind is OutcomeKind.WHOLLY_SUPERSEDED:
        names = ", ".join(outcome.superseded)
        message = f"ticket {number}: tickets with higher numbers set all its objects: {names}"
        return BurdocklugError(ErrorKind.TICKET_SUPERSEDED, message)
    if outcome.kind is OutcomeKind.TOO_OLD:
        message = f"ticket {number} is too old: its number has to be above {outcome.floor}"
        return BurdocklugError(ErrorKind.TICKET_TOO_OLD, message)
    return None
