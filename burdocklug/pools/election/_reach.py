"""Determines which processes and failure domains are reachable, and which claim that allows."""

import eventlet
import structlog

from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools._messages import ReachRequest
from burdocklug.pools.election._leadership import allowed_claim_kind

__all__ = ["candidate_cores", "evaluate_reach", "query_members"]

REACH_TIMEOUT_S = 0.2  # timeout of one request; healthy peers reply sooner

log = structlog.get_logger(__name__)


def query_members(network, members):
    """Ask all members at once and return the `ReachReply` of each that replied, by incarnation."""

    def query(incarnation):
        try:
            return network.call(incarnation, ReachRequest(), timeout_s=REACH_TIMEOUT_S)
        except (PeerUnreachable, PeerOutcomeUnknown):
            return None  # counted as unreachable in the log line of `evaluate_reach`

    threads = {incarnation: eventlet.spawn(query, incarnation) for incarnation in members}
    replies = {incarnation: thread.wait() for incarnation, thread in threads.items()}
    return {incarnation: reply for incarnation, reply in replies.items() if reply}


def candidate_cores(replies):
    """Return the usable cores of the processes that are not draining, by incarnation."""
    return {i: reply.usable_cores for i, reply in replies.items() if not reply.draining}


def evaluate_reach(own_domain, members, replies, unreachable_domains, *, ended=frozenset()):
    """Return the kind of claim that a process may make, and the failure domains that it reaches.

    Parameters
    ----------
    own_domain : str
        Failure domain of the process.
    members : dict
        Failure domains of the other registered processes, by incarnation.
    replies : dict
        `ReachReply` of each member that replied, by incarnation.
    unreachable_domains : callable
        Takes failure domains and returns those without a reachable endpoint; it may block.
    ended : set of str
        Incarnations at whose addresses connections are refused.

    Notes
    -----
    A process that refuses connections has ended, so it is not missing, unless its failure domain
    cannot be reached: a cut may refuse connections too. A process that reaches no other relies on
    no such refusal, as it may be the one that is cut off.

    Returns
    -------
    tuple of ClaimKind and set
    """
    domains = {*members.values(), own_domain}
    unreachable = unreachable_domains(domains) if len(replies) < len(members) else set()
    gone = {
        incarnation
        for incarnation, domain in members.items()
        if replies and incarnation in ended and incarnation not in replies
        if domain not in unreachable
    }
    present = {i: domain for i, domain in members.items() if i not in gone}
    kind = allowed_claim_kind(own_domain, present, set(replies), unreachable_domains=unreachable)
    log.info(
        "claim_evaluated",
        kind=kind.value,
        members=len(members),
        reached=len(replies),
        ended=len(gone),
        cut=sorted(unreachable),
    )
    return kind, domains - unreachable
