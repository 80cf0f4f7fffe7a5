"""Asks every live process whether a ticket is in force there."""

from dataclasses import dataclass

import structlog

from burdocklug.kernel import BurdocklugError
from burdocklug.tickets._decisions import live_members
from burdocklug.tickets._exchange import probe
from burdocklug.tickets._messages import TicketProbe

__all__ = ["ProcessTicketState", "WaitState", "wait_state"]

PROBE_TIMEOUT_S = 1.0
CHECK_PERIOD_S = 0.02

log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ProcessTicketState:
    """Whether a ticket is in force at one process.

    Parameters
    ----------
    name, incarnation, failure_domain : str
        Which process.
    in_force : bool or None
        None if the process did not answer.
    digest : str or None
        Digest of what is in force there, in hex.
    """

    name: str
    incarnation: str
    failure_domain: str
    in_force: bool | None
    digest: str | None


@dataclass(frozen=True, slots=True)
class WaitState:
    """Where a ticket is in force.

    Parameters
    ----------
    number : int
        The ticket's number.
    accepted : bool or None
        Whether the store took the ticket; None where that is not known.
    processes : tuple of ProcessTicketState
        Every known process, in order of failure domain and name.
    domains_not_reached : tuple of str
        Failure domains of which no process confirmed the ticket.
    complete : bool
        Whether every known process confirmed it and no failure domain is left.
    """

    number: int
    accepted: bool | None
    processes: tuple[ProcessTicketState, ...]
    domains_not_reached: tuple[str, ...]
    complete: bool


def wait_state(number, configuration, network, *, name, failure_domain, loop):
    """Ask every known process for a ticket.

    Parameters
    ----------
    number : int
        A ticket that is in force here.
    configuration : Configuration
        What is in force here.
    network : PeerNetwork
        Reaches the peers.
    name, failure_domain : str
        Of this process.
    loop : Loop
        Runs the calls.

    Returns
    -------
    WaitState
        After at most `PROBE_TIMEOUT_S` seconds and a margin.

    Notes
    -----
    Failure domains are those of the known members and of the configured endpoints, so one that
    is cut off is named even after its members are forgotten.
    """
    message = TicketProbe(numbers_of(configuration.value, number))
    members = network.members()
    replies = _ask(network, live_members(members), message, loop)
    own = probe(configuration, message)
    states = [_to_state(name, network.incarnation, failure_domain, own, own)]
    states += [
        _to_state(m.name, m.incarnation, m.failure_domain, replies.get(m.incarnation), own)
        for m in members
        if m.state.is_living
    ]
    states.sort(key=lambda state: (state.failure_domain, state.name, state.incarnation))
    domains = {m.failure_domain for m in members} | configuration.failure_domains()
    domains.add(failure_domain)
    missing = domains - {state.failure_domain for state in states if state.in_force}
    complete = not missing and all(state.in_force for state in states)
    return WaitState(number, True, tuple(states), tuple(sorted(missing)), complete)


def numbers_of(value, number):
    """Return which objects must be in force with which number at a process that has a ticket.

    Parameters
    ----------
    value : ConfigValue
        A value that reflects the ticket.
    number : int
        The ticket's number.

    Returns
    -------
    dict of str to int
        The objects that the ticket holds; once others superseded it wholly, those of all
        later tickets.
    """
    held = {name: number for name, v in value.objects.items() if v.number == number}
    return held or {n: v.number for n, v in value.objects.items() if v.number > number}


def _ask(network, members, message, loop):
    replies = {}

    def ask(incarnation):
        try:
            replies[incarnation] = network.call(incarnation, message, timeout_s=PROBE_TIMEOUT_S)
        except BurdocklugError as exc:
            replies[incarnation] = None
            log.info("ticket_probe_failed", peer=incarnation, fault=exc.message)

    for member in members:
        loop.spawn(ask, member.incarnation)
    checks = round(2 * PROBE_TIMEOUT_S / CHECK_PERIOD_S)
    for _check in range(checks):
        if len(replies) == len(members):
            break
        loop.sleep(CHECK_PERIOD_S)
    return replies


def _to_state(name, incarnation, failure_domain, reply, own):
    if reply is None:
        return ProcessTicketState(name, incarnation, failure_domain, None, None)
    in_force = reply.in_force or reply.digest == own.digest
    return ProcessTicketState(name, incarnation, failure_domain, in_force, reply.digest.hex())
