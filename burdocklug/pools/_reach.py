"""Determines which processes and failure domains are reachable, and which claim that allows."""

import eventlet
import structlog

from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools._leadership import allowed_claim_kind
from burdocklug.pools._messages import ReachRequest

__all__ = ["candidate_cores", "evaluate_reach", "query_members"]

REACH_TIMEOUT_S = 0.2  # bound of one request; longer than the slowest between healthy peers

log = structlog.get_logger(__name__)


def query_members(network, members):
    """Ask all members at once and return the `ReachReply` of each that replied, by incarnation."""

    def ask(incarnation):
        try:
            return network.call(incarnation, ReachRequest(), timeout_s=REACH_TIMEOUT_S)
        except (PeerUnreachable, PeerOutcomeUnknown):
            return None  # counted as unreachable in the log line of `evaluate_reach`

    asked = {incarnation: eventlet.spawn(ask, incarnation) for incarnation in members}
    answers = {incarnation: thread.wait() for incarnation, thread in asked.items()}
    return {incarnation: answer for incarnation, answer in answers.items() if answer}


def candidate_cores(answers):
    """Return the usable cores of the processes that are not draining, by incarnation."""
    return {i: answer.usable_cores for i, answer in answers.items() if not answer.draining}


def evaluate_reach(own_domain, members, answers, unreachable_domains):
    """Return the kind of claim that a process may make, and the failure domains that it reaches.

    Parameters
    ----------
    own_domain : str
        Failure domain of the process.
    members : dict
        Failure domains of the other registered processes, by incarnation.
    answers : dict
        `ReachReply` of each member that replied, by incarnation.
    unreachable_domains : callable
        Takes failure domains and returns those without a reachable endpoint; it may block.

    Returns
    -------
    tuple of ClaimKind and set
    """
    domains = {*members.values(), own_domain}
    unreachable = unreachable_domains(domains) if len(answers) < len(members) else set()
    kind = allowed_claim_kind(own_domain, members, set(answers), unreachable_domains=unreachable)
    log.info(
        "claim_evaluated",
        kind=kind.value,
        members=len(members),
        reached=len(answers),
        cut=sorted(unreachable),
    )
    return kind, domains - unreachable
