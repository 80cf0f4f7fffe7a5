"""Which processes are reached, and what may be claimed on that ground."""

import eventlet
import structlog

from burdocklug.peers import PeerNotReached, PeerSilent
from burdocklug.pools._leadership import claim_kind
from burdocklug.pools._messages import ReachQuestion

__all__ = ["ask_members", "powers_of", "weigh_reach"]

REACH_S = 0.2  # for an answer to a question; over the slowest exchange of healthy peers

log = structlog.get_logger(__name__)


def ask_members(network, members):
    """Return the `ReachAnswer` of each member that is reached, by incarnation."""

    def ask(incarnation):
        try:
            return network.call(incarnation, ReachQuestion(), timeout_s=REACH_S)
        except (PeerNotReached, PeerSilent):
            return None  # counted as not reached, which the claim's log line shows

    asked = {incarnation: eventlet.spawn(ask, incarnation) for incarnation in members}
    answers = {incarnation: thread.wait() for incarnation, thread in asked.items()}
    return {incarnation: answer for incarnation, answer in answers.items() if answer}


def powers_of(answers):
    """Return what the hosts of processes that go on can carry, by incarnation."""
    return {i: answer.power for i, answer in answers.items() if not answer.draining}


def weigh_reach(own_domain, members, answers, cut_domains):
    """Return what a process may claim, and the failure domains that it reaches.

    Parameters
    ----------
    own_domain : str
        Failure domain of the process.
    members : dict
        Failure domains of the others that are thought to live, by incarnation.
    answers : dict
        Answers of those that are reached.
    cut_domains : callable
        Takes failure domains and returns those whose endpoints are not reached; it may wait.

    Returns
    -------
    tuple of ClaimKind and set
    """
    domains = {*members.values(), own_domain}
    cut = cut_domains(domains) if len(answers) < len(members) else set()
    kind = claim_kind(own_domain, members, set(answers), cut_domains=cut)
    log.info(
        "claim_weighed",
        kind=kind.value,
        members=len(members),
        reached=len(answers),
        cut=sorted(cut),
    )
    return kind, domains - cut
