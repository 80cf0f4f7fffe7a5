"""What the scheduler does with its own claim: announces, checks, extends and hands it over."""

import eventlet
import msgspec
import structlog

from burdocklug.peers import PeerUnreachable
from burdocklug.pools._messages import Claim, ClaimNotice
from burdocklug.pools.agents import HolderState
from burdocklug.pools.election._held_claim import ClaimTracker
from burdocklug.pools.election._holders import HolderSampling, domains_in
from burdocklug.pools.election._leadership import (
    ClaimKind,
    choose_successor,
    eligible_processes,
    next_claim,
    should_yield,
)
from burdocklug.pools.election._reach import candidate_cores, evaluate_reach, query_members

__all__ = ["FENCED", "OwnClaim"]

CLAIM_NOTICE_S = 1.0  # period at which the scheduler sends its claim to all members
MIN_TENURE_S = 2.0  # a new scheduler adopts endpoints and jobs before it yields to a larger host
# Time for which an overloaded scheduler keeps its role after no host could carry it better.
KEEP_ROLE_S = 30.0
FENCED = "fenced"  # reason to recheck the claim: endpoints obey a newer fencing token
REFUSAL_MEMORY_S = 3.0  # time after a refused connection in which a process counts as ended

log = structlog.get_logger(__name__)


class OwnClaim(ClaimTracker):
    """Announces, checks, extends and hands over the claim of this process.

    Parameters
    ----------
    network, timers
        See `ClaimTracker`, also for the named parameters that are not listed here.
    members : callable
        Returns the failure domains of the other registered processes, by incarnation.
    unreachable_domains : callable
        Takes failure domains and returns those without a reachable endpoint; it may block.
    endpoint_domains : callable
        Returns the failure domains of the known endpoints, as a set.
    sample_holders : callable
        See `HolderSampling`.

    Attributes
    ----------
    draining : bool
        Whether this process is shutting down and must not make a claim.
    contested : frozenset
        Failure domains whose endpoints obey another process, while it is found out whether that
        one schedules them; no endpoint there is to be taken back meanwhile.
    """

    def __init__(
        self,
        network,
        timers,
        *,
        members,
        unreachable_domains,
        endpoint_domains,
        sample_holders,
        **tracker_options,
    ):
        super().__init__(network, timers, **tracker_options)
        self.draining = False
        self.contested = frozenset()
        self._members = members
        self._unreachable_domains = unreachable_domains
        self._known_domains = endpoint_domains
        self._sampling = HolderSampling(timers, sample_holders)
        self._announced_s = 0.0
        self._full_cores = 0.0
        self._keep_role_until_s = float("-inf")
        self._is_querying = False
        self._is_claim_sampled = False  # whether the claim follows from what endpoints say
        self._refused_s = {}
        network.on_connection_refused(self._note_refused)

    def _note_refused(self, incarnation):
        self._refused_s[incarnation] = self._timers.now()
        self.note_not_reached(incarnation)

    def note_not_reached(self, scheduler):
        """Drop the claim of a scheduler that refuses connections or whose address is reused."""
        if self.claim is not None and self.claim.scheduler == scheduler and not self.is_scheduler:
            self._set_claim(None, "not_reached")

    def _ended_members(self):
        """Return the processes at whose addresses nothing seems to listen."""
        since_s = self._timers.now() - REFUSAL_MEMORY_S
        self._refused_s = {i: s for i, s in self._refused_s.items() if s >= since_s}
        return set(self._refused_s)

    def _keep_own_claim(self):
        """Announce and check the claim each `CLAIM_NOTICE_S`, and hand it over if it has to be."""
        now = self._timers.now()
        if now - self._announced_s < CLAIM_NOTICE_S:
            return
        self._announce(self.claim)
        members = self._members()
        live_followers = self.followers.count_live(members, now)
        has_majority = 2 * (1 + live_followers) > 1 + len(members)
        if self.claim.is_full and not has_majority:
            self.recheck_claim("few_followers")
        elif not self.claim.is_full:
            self._query_members(self._extend_claim)
        elif self._is_to_yield():
            self._query_members(self._yield_to_stronger)

    def _is_to_yield(self):
        """Return whether followers have larger hosts, and this process may hand over to them."""
        now = self._timers.now()
        if now < max(self._claim_since_s + MIN_TENURE_S, self._keep_role_until_s):
            return False
        return not self._is_eligible(self.followers.live_cores(now))

    def _query_members(self, handle, asked=None):
        """Query members in the background and call ``handle(members, replies)``.

        Does nothing while an earlier query is under way.

        Parameters
        ----------
        handle : callable
            Takes the failure domains of all members, by incarnation, and the replies.
        asked : list of str, optional
            The members to query; all by default.
        """
        if not self._is_querying:
            self._is_querying = True
            eventlet.spawn(self._run_query, handle, asked)

    def _run_query(self, handle, asked):
        try:
            members = self._members()
            replies = query_members(self._network, members if asked is None else asked)
            self._note_newest_version(replies)
            handle(members, replies)
        finally:
            self._is_querying = False

    def _announce(self, claim):
        self._announced_s = self._timers.now()
        for incarnation in self._members():
            try:
                self._network.send(incarnation, ClaimNotice(claim))
            except PeerUnreachable as exc:
                log.warning("claim_notice_not_sent", member=incarnation, error=str(exc)[:120])

    def _propose_claim(self, members, replies):
        """Return the kind of claim that this process may make, and the claim itself."""
        kind, served = evaluate_reach(
            self._network.failure_domain,
            members,
            replies,
            self._unreachable_domains,
            ended=self._ended_members(),
        )
        return kind, self._next_claim(kind, served)

    def _next_claim(self, kind, served):
        """Return a claim above all known ones of its kind, and above the present one."""
        claim = next_claim(kind, self.incarnation, self._greatest_claim, served)
        if self.claim is None:
            return claim
        return msgspec.structs.replace(claim, term=max(claim.term, 1 + self.claim.term))

    def _follow_greater(self, replies, reason):
        """Follow the greatest claim that members report if it is greater; return whether."""
        greater = [a.claim for a in replies.values() if a.claim and a.claim > self.claim]
        if greater:
            self._set_claim(max(greater), reason)
        return bool(greater)

    def _extend_claim(self, members, replies):
        """Extend a partial claim to all failure domains, or to those that no one else holds.

        The scheduler and its jobs stay; the term rises, so that the extended claim takes precedence
        over the one before.
        """
        if not self.is_scheduler or self.claim.is_full:
            return
        if self._follow_greater(replies, "greater_claim"):
            return
        kind, claim = self._propose_claim(members, replies)
        if kind is ClaimKind.FULL:
            self._set_own_claim(claim, "majority_reached")
            return
        unserved = self._known_domains().difference(self.claim.domains)
        if unserved and self._is_claim_sampled:
            self._sampling.begin(unserved.__contains__, self._claim_free_domains)
        if self._is_to_yield():
            self._yield_to_stronger(members, replies)

    def _set_own_claim(self, claim, reason):
        self._set_claim(claim, reason)
        self._announce(claim)

    def _claim_free_domains(self, states):
        """Claim, or add to the claim, the failure domains in which no scheduler holds endpoints."""
        free = domains_in(states, HolderState.FREE)
        if not free or self.draining:
            return
        if self.claim is None:
            claim = self._next_claim(ClaimKind.PARTIAL, free)
        elif self.is_scheduler and not self.claim.is_full and not free <= set(self.claim.domains):
            served = free.union(self.claim.domains)
            claim = self._next_claim(ClaimKind.PARTIAL, served)
        else:
            return
        self._is_claim_sampled = True
        self._set_own_claim(claim, "endpoints_free")

    def hand_over(self):
        """Start draining and appoint another scheduler; return whether one was appointed."""
        self.draining = True
        return self.is_scheduler and self._appoint(
            query_members(self._network, self._members()), "handed_over"
        )

    def _is_eligible(self, cores):
        """Return whether this host has about the capacity of the largest host, or more."""
        return self.incarnation in eligible_processes(
            {self.incarnation: self._usable_cores(), **cores}
        )

    def _yield_to_stronger(self, _members, replies):
        own_cores, others = self._usable_cores(), candidate_cores(replies).values()
        if should_yield(own_cores, self._full_cores, others):
            self._appoint(replies, "stronger_host")
        elif not own_cores:
            self._keep_role_until_s = self._timers.now() + KEEP_ROLE_S
            log.warning("overloaded_scheduler_stays", members=len(replies))

    def _appoint(self, replies, reason):
        """Appoint a process that replied, if this one still schedules; return whether it did."""
        cores = candidate_cores(replies)
        if not cores or not self.is_scheduler:
            return False
        successor = choose_successor(cores)
        claim = Claim(self.claim.is_full, self.claim.term + 1, successor, self.claim.domains)
        log.info("handing_over", successor=successor, term=claim.term, reason=reason)
        self._announce(claim)
        self._set_claim(claim, reason)
        return True

    def recheck_claim(self, reason, *, domains=frozenset()):
        """Check this process's claim against its peers: follow a greater one, or reduce or drop it.

        Parameters
        ----------
        reason : str
            Why the claim is in doubt; without a greater claim, it is dropped for `FENCED` only.
        domains : frozenset of str
            Failure domains whose endpoints obey another process; empty for all.
        """
        if self.is_scheduler:
            self._query_members(
                lambda members, replies: self._recheck_own_claim(members, replies, reason, domains)
            )

    def _recheck_own_claim(self, members, replies, reason, domains):
        if not self.is_scheduler or self._follow_greater(replies, reason):
            return
        kind, claim = self._propose_claim(members, replies)
        if kind is ClaimKind.PARTIAL and self.claim.is_full:
            self._set_claim(msgspec.structs.replace(claim, term=self.claim.term), reason)
        elif kind is not ClaimKind.FULL and reason == FENCED:
            self._contest(domains or self._served_domains())

    def _served_domains(self):
        known = self._known_domains()
        return known if self.claim.is_full else known.intersection(self.claim.domains)

    def _contest(self, domains):
        """Find out whether another scheduler holds these failure domains, and leave them to it."""
        if self._sampling.is_running:
            return
        self.contested = frozenset(domains)
        claim = self.claim
        log.warning("claim_contested", domains=sorted(domains), term=claim.term)
        self._sampling.force(domains.__contains__, lambda s: self._end_contest(claim, s))

    def _end_contest(self, claim, states):
        lost = self.contested.difference(domains_in(states, HolderState.FREE))
        self.contested = frozenset()
        if self.claim != claim or not self.is_scheduler or not lost:
            return
        kept = self._served_domains().difference(lost)
        if kept:
            self._is_claim_sampled = True
            self._set_own_claim(self._next_claim(ClaimKind.PARTIAL, kept), FENCED)
        else:
            self._set_claim(None, FENCED)

    def dump(self):
        """Return the claim in force, and what the endpoints showed last, as plain data."""
        return {**super().dump(), "holders": self._sampling.dump()}

    def step_down(self, reason):
        """Stop being the scheduler, for instance after a pause in which another was elected."""
        if self.is_scheduler:
            self._set_claim(None, reason)
