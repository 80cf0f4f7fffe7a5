"""Applies change tickets to the store and reports their outcome."""

import random
from dataclasses import dataclass, replace

import structlog

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran
from burdocklug.store import StoreUnavailable, StoreUncertain, VersionMismatch
from burdocklug.tickets._codec import decode_value, encode_value
from burdocklug.tickets._follow import CONFIGURATION_KEY
from burdocklug.tickets._loop import eventlet_loop
from burdocklug.tickets._merge import ConfigValue, OutcomeKind, apply_ticket, join, refusal_error
from burdocklug.tickets._models import ticket_digest
from burdocklug.tickets._wait import TicketReach, probe_processes

__all__ = ["TicketAnswer", "TicketService", "TicketView"]

MAX_ATTEMPTS = 12
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.5

log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class TicketAnswer:
    """Answer to an accepted ticket.

    Parameters
    ----------
    number : int
        The ticket's number.
    outcome : OutcomeKind
        ACCEPTED, PARTLY_SUPERSEDED or ALREADY_APPLIED.
    superseded : tuple of str
        Objects of the ticket that a ticket with a higher number has set.
    digest : str
        Digest of the ticket, in hex.
    """

    number: int
    outcome: OutcomeKind
    superseded: tuple[str, ...]
    digest: str


@dataclass(frozen=True, slots=True)
class TicketView:
    """Status of a ticket number, as far as this process can determine it.

    Parameters
    ----------
    number : int
        The ticket's number.
    accepted : bool or None
        Whether the ticket was accepted; None if unknown, because the number is not above the
        floor or the store can't be read.
    digest : str or None
        Digest of the accepted ticket, in hex; None if not accepted or unknown.
    objects : tuple of str
        Sorted names of the objects whose current state was set by the ticket.
    """

    number: int
    accepted: bool | None
    digest: str | None
    objects: tuple[str, ...]


class TicketService:
    """Operators' interface to change tickets: apply, show, wait.

    Parameters
    ----------
    store : Store
        The platform's store.
    spread : TicketReplicator
        Puts accepted tickets in force.
    network : PeerNetwork
        Asks peers which tickets are in force there.
    timers : TimerService
        Source of time.
    name : str
        Name of this process.
    loop : Loop, optional
        The eventlet loop by default.
    rng : random.Random, optional
        Source of jitter.

    Notes
    -----
    A ticket is accepted only once the store has accepted the write. If the store loses accepted
    writes, for instance by a restore from an older copy, they can be written back: every value that
    a process holds was in the store once, so this reverts nothing. It happens only when an operator
    applies a ticket. The ticket is applied to the join of the stored value and the one in force,
    and the result is written conditionally on the stored value's version, so that a stale read
    can't overwrite a newer value. No process writes back on its own, because it can't distinguish
    a store that lost writes from one that serves a stale read.
    """

    def __init__(self, store, spread, network, timers, *, name, loop=None, rng=None):
        self._store = store
        self._spread = spread
        self._cfg = spread.configuration
        self._network = network
        self._timers = timers
        self._name = name
        self._loop = loop or eventlet_loop()
        self._rng = rng or random.Random()

    def apply(self, ticket):
        """Write a ticket to the store and put it in force here and at the peers.

        Parameters
        ----------
        ticket : Ticket
            A validated ticket.

        Returns
        -------
        TicketAnswer
            Outcome of the ticket.

        Raises
        ------
        BurdocklugError
            TICKET_CONFLICT, TICKET_SUPERSEDED, TICKET_TOO_OLD or TICKET_TOO_LARGE: the ticket was
            refused and nothing was written. PLATFORM_UNAVAILABLE: nothing was written.
            TICKET_UNCERTAIN: a write may have taken effect; the same ticket may be applied again.
        """
        uncertain = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._loop.sleep(self._retry_delay_s(attempt))
            try:
                answer = self._try_apply(ticket)
                return _with_outcome_of_lost_write(answer) if uncertain else answer
            except VersionMismatch:
                log.info("ticket_write_raced", number=ticket.number, attempt=attempt)
            except StoreUncertain as exc:
                uncertain = True
                log.warning("ticket_write_uncertain", number=ticket.number, fault=exc.message)
            except StoreUnavailable as exc:
                if not uncertain:
                    raise _write_error(
                        ticket, exc.message, uncertain=False, retry_after_s=exc.retry_after_s
                    ) from exc
            except BurdocklugError as exc:
                exc.ran = Ran.UNKNOWN if uncertain else exc.ran
                raise
        raise _write_error(ticket, f"{MAX_ATTEMPTS} attempts failed", uncertain=uncertain)

    def _try_apply(self, ticket):
        entry = self._store.get(CONFIGURATION_KEY, purpose="ticket_apply")
        stored = ConfigValue() if entry is None else self._decode(entry)
        changed, outcome = apply_ticket(join(stored, self._cfg.value), ticket)
        refused = refusal_error(ticket, outcome)
        if refused is not None:
            raise refused
        if changed != stored:
            version = 0 if entry is None else entry.version
            raw = encode_value(changed)
            self._store.put(
                CONFIGURATION_KEY, raw, expected_version=version, purpose="ticket_apply"
            )
        self._spread.publish(changed)
        log.info("ticket_accepted", number=ticket.number, outcome=outcome.kind)
        digest = ticket_digest(ticket).hex()
        return TicketAnswer(ticket.number, outcome.kind, outcome.superseded, digest)

    def _decode(self, entry):
        return decode_value(entry.value, known=self._cfg.value)

    def _retry_delay_s(self, attempt):
        max_delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**attempt)
        return self._rng.uniform(RETRY_MIN_S, max_delay_s)

    def show(self, number):
        """Return the status of a ticket number.

        Parameters
        ----------
        number : int
            The ticket's number.

        Returns
        -------
        TicketView
            Taken from the configuration in force if it contains the number, otherwise after a read
            of the store.
        """
        known = self._cfg.value.digest_of(number) is not None
        certain = known or self._read_store()
        return _ticket_view(self._cfg.value, number, certain=certain)

    def reach(self, number):
        """Return the processes and failure domains in which a ticket is in force now.

        Parameters
        ----------
        number : int
            The ticket's number.

        Returns
        -------
        TicketReach
            Covers all known processes; lists the failure domains that were not reached.
        """
        view = self.show(number)
        if not view.accepted:
            return TicketReach(number, view.accepted, (), (), False)
        return probe_processes(
            number,
            self._cfg,
            self._network,
            name=self._name,
            failure_domain=self._spread.failure_domain,
            loop=self._loop,
        )

    def _read_store(self):
        try:
            entry = self._store.get(CONFIGURATION_KEY, purpose="ticket_show")
            if entry is not None:
                self._spread.exchange.adopt(self._decode(entry))
        except BurdocklugError as exc:
            log.info("ticket_show_without_store", fault=exc.message)
            return False
        return True


def _with_outcome_of_lost_write(answer):
    """Replace ALREADY_APPLIED by the outcome of the call's own write whose response was lost."""
    if answer.outcome is not OutcomeKind.ALREADY_APPLIED:
        return answer
    outcome = OutcomeKind.PARTLY_SUPERSEDED if answer.superseded else OutcomeKind.ACCEPTED
    return replace(answer, outcome=outcome)


def _write_error(ticket, fault, *, uncertain, retry_after_s=None):
    if uncertain:
        message = f"ticket {ticket.number} may have been written: {fault}; apply it again"
        return BurdocklugError(ErrorKind.TICKET_UNCERTAIN, message)
    message = f"ticket {ticket.number} was not written: {fault}"
    return BurdocklugError(
        ErrorKind.PLATFORM_UNAVAILABLE, message, ran=Ran.NO, retry_after_s=retry_after_s
    )


def _ticket_view(value, number, *, certain):
    digest = value.digest_of(number)
    objects = tuple(sorted(n for n, v in value.objects.items() if v.number == number))
    if digest is not None:
        return TicketView(number, True, digest.hex(), objects)
    refused = certain and number > value.floor
    return TicketView(number, False if refused else None, None, objects)
