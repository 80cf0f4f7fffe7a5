"""Asks all live processes whether a ticket is in force there."""

from dataclasses import dataclass

import structlog

from burdocklug.kernel import BurdocklugError
from burdocklug.tickets._decisions import live_members
from burdocklug.tickets._exchange import answer_probe
from burdocklug.tickets._messages import TicketProbe

__all__ = ["ProcessReach", "TicketReach", "probe_processes"]

PROBE_TIMEOUT_S = 1.0
CHECK_PERIOD_S = 0.02  # between two checks whether all replies have arrived

log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ProcessReach:
    """Whether a ticket is in force at one process.

    Parameters
    ----------
    name, incarnation, failure_domain : str
        Name, incarnation and failure domain of the process.
    in_force : bool or None
        Whether the ticket is in force; None if the process did not reply.
    digest : str or None
        Hex digest of the configuration in force there; None if the process did not reply.
    """

    name: str
    incarnation: str
    failure_domain: str
    in_force: bool | None
    digest: str | None


@dataclass(frozen=True, slots=True)
class TicketReach:
    """Processes and failure domains in which a ticket is in force.

    Parameters
    ----------
    number : int
        The ticket's number.
    accepted : bool or None
        Whether the store accepted the ticket; None if unknown.
    processes : tuple of ProcessReach
        All known processes, sorted by failure domain and name.
    domains_not_reached : tuple of str
        Failure domains in which no process confirmed that the ticket is in force.
    complete : bool
        Whether every known process confirmed the ticket and `domains_not_reached` is empty.
    """

    number: int
    accepted: bool | None
    processes: tuple[ProcessReach, ...]
    domains_not_reached: tuple[str, ...]
    complete: bool


def probe_processes(number, configuration, network, *, name, failure_domain, loop):
    """Ask every known process whether a ticket is in force there.

    Parameters
    ----------
    number : int
        Number of a ticket that is in force in this process.
    configuration : Configuration
        The configuration in force in this process.
    network : PeerNetwork
        Sends the probes to peers.
    name, failure_domain : str
        Name and failure domain of this process.
    loop : Loop
        Runs the probes concurrently.

    Returns
    -------
    TicketReach
        Returned after at most twice `PROBE_TIMEOUT_S` seconds.

    Notes
    -----
    The failure domains are those of this process, of the known members and of the configured
    endpoints. So a partitioned domain is reported even after its members left the member table.
    """
    message = TicketProbe(expected_numbers(configuration.value, number))
    members = network.members()
    replies = _probe_members(network, live_members(members), message, loop)
    own = answer_probe(configuration, message)
    states = [_process_state(name, network.incarnation, failure_domain, own, own)]
    states += [
        _process_state(m.name, m.incarnation, m.failure_domain, replies.get(m.incarnation), own)
        for m in members
        if m.state.is_alive_or_suspect
    ]
    states.sort(key=lambda state: (state.failure_domain, state.name, state.incarnation))
    domains = {m.failure_domain for m in members} | configuration.failure_domains()
    domains.add(failure_domain)
    missing = domains - {state.failure_domain for state in states if state.in_force}
    complete = not missing and all(state.in_force for state in states)
    return TicketReach(number, True, tuple(states), tuple(sorted(missing)), complete)


def expected_numbers(value, number):
    """Return the minimum ticket numbers of objects in a process where a ticket is in force.

    Parameters
    ----------
    value : ConfigValue
        A value that reflects the ticket.
    number : int
        The ticket's number.

    Returns
    -------
    dict of str to int
        Ticket number by name of the objects whose state the ticket set. If later tickets
        superseded all of them, the objects of all later tickets instead.
    """
    held = {name: number for name, v in value.objects.items() if v.number == number}
    return held or {n: v.number for n, v in value.objects.items() if v.number > number}


def _probe_members(network, members, message, loop):
    replies = {}

    def probe_member(incarnation):
        try:
            replies[incarnation] = network.call(incarnation, message, timeout_s=PROBE_TIMEOUT_S)
        except BurdocklugError as exc:
            replies[incarnation] = None
            log.info("ticket_probe_failed", peer=incarnation, fault=exc.message)

    for member in members:
        loop.spawn(probe_member, member.incarnation)
    checks = round(2 * PROBE_TIMEOUT_S / CHECK_PERIOD_S)
    for _check in range(checks):
        if len(replies) == len(members):
            break
        loop.sleep(CHECK_PERIOD_S)
    return replies


def _process_state(name, incarnation, failure_domain, reply, own):
    if reply is None:
        return ProcessReach(name, incarnation, failure_domain, None, None)
    in_force = reply.in_force or reply.digest == own.digest
    return ProcessReach(name, incarnation, failure_domain, in_force, reply.digest.hex())
