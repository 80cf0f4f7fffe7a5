"""Election of the scheduler: finds the current one, or claims the role."""

import eventlet
import msgspec
import structlog

from burdocklug.peers import PeerUnreachable
from burdocklug.pools._messages import (
    Claim,
    ClaimNotice,
    ReachReply,
    ReachRequest,
)
from burdocklug.pools.election._held_claim import SCHEDULER_TIMEOUT_S, ClaimTracker
from burdocklug.pools.election._leadership import (
    ClaimKind,
    choose_successor,
    eligible_processes,
    first_candidate,
    next_claim,
    should_yield,
)
from burdocklug.pools.election._reach import candidate_cores, evaluate_reach, query_members

__all__ = ["SchedulerElection"]

HEARTBEAT_S = 0.2  # period of heartbeats to the scheduler
MIN_HEARTBEAT_S = 0.05  # minimum period, while others search for a scheduler; ten round trips
CLAIM_NOTICE_S = 1.0  # period at which the scheduler sends its claim to all members
SEARCH_S = 0.1  # period of the search while there is no scheduler
MIN_TENURE_S = 2.0  # a new scheduler adopts endpoints and jobs before it yields to a larger host
# Time for which an overloaded scheduler keeps its role after no host could carry it better.
KEEP_ROLE_S = 30.0
FENCED = "fenced"  # reason to recheck the claim: endpoints obey a newer fencing token
FRESH_REPLY_S = 0.5  # age of the last reply up to which the scheduler is reported to others

log = structlog.get_logger(__name__)


class SchedulerElection(ClaimTracker):
    """Finds the scheduler to follow, or makes this process the scheduler if there is none.

    Parameters
    ----------
    network, timers, on_change, version, is_version_current, usable_cores, loop_lag_s
        See `ClaimTracker`.
    members : callable
        Returns the failure domains of the other registered processes, by incarnation.
    unreachable_domains : callable
        Takes failure domains and returns those without a reachable endpoint; it may block.
    rank : int, optional
        Number of older eligible processes that this election passes over.

    Attributes
    ----------
    draining : bool
        Whether this process is shutting down and must not make a claim.
    ready : bool
        Whether the members have been loaded, so that the search for a scheduler may begin.
    """

    def __init__(
        self,
        network,
        timers,
        *,
        members,
        unreachable_domains,
        on_change,
        version,
        is_version_current,
        usable_cores,
        loop_lag_s,
        rank=0,
    ):
        super().__init__(
            network,
            timers,
            on_change=on_change,
            version=version,
            is_version_current=is_version_current,
            usable_cores=usable_cores,
            loop_lag_s=loop_lag_s,
        )
        self.draining = False
        self.ready = False
        self._members = members
        self._rank = rank
        self._unreachable_domains = unreachable_domains
        self._announced_s = 0.0
        self._full_cores = 0.0
        self._keep_role_until_s = float("-inf")
        self._is_querying = False
        network.on_connection_refused(self.note_not_reached)
        network.register(ReachReply)
        network.register(ReachRequest, self._on_reach_request, inline=True)
        network.register(ClaimNotice, self._on_notice, inline=True)

    def start(self):
        """Start the heartbeats and the search for a scheduler."""
        self._timers.every(HEARTBEAT_S, self._tick)
        self._timers.every(SEARCH_S, self._search)

    def _tick(self):
        now = self._timers.now()
        self._full_cores = max(self._full_cores, self._usable_cores())
        if self.is_scheduler:
            if now - self._announced_s >= CLAIM_NOTICE_S:
                self._announce(self.claim)
                members = self._members()
                live_followers = self.followers.count_live(members, now)
                if self.claim.is_full and 2 * (1 + live_followers) <= 1 + len(members):
                    self.recheck_claim("few_followers")
                elif now >= max(self._claim_since_s + MIN_TENURE_S, self._keep_role_until_s):
                    if not self._is_eligible(self.followers.live_cores(now)):
                        self._query_members(self._yield_to_stronger)
            return
        if self.claim is not None and now - self.last_reply_s > SCHEDULER_TIMEOUT_S:
            self._set_claim(None, "silent")
        if self.claim is not None:
            self._send_heartbeat()

    def _search(self):
        """Search for a scheduler if none is followed."""
        if self.claim is None and self.ready:
            self._query_members(self._find_scheduler)

    def _query_members(self, handle):
        """Query all members in the background and call ``handle(members, replies)``.

        Does nothing while an earlier query is under way.
        """
        if not self._is_querying:
            self._is_querying = True
            eventlet.spawn(self._run_query, handle)

    def _run_query(self, handle):
        try:
            members = self._members()
            handle(members, query_members(self._network, members))
        finally:
            self._is_querying = False

    def failure_domain_of(self, incarnation):
        """Return the failure domain of a process; empty if it is not known."""
        if incarnation == self._network.incarnation:
            return self._network.failure_domain
        return self._members().get(incarnation, "")

    def _announce(self, claim):
        self._announced_s = self._timers.now()
        for incarnation in self._members():
            try:
                self._network.send(incarnation, ClaimNotice(claim))
            except PeerUnreachable as exc:
                log.warning("claim_notice_not_sent", member=incarnation, error=str(exc)[:120])

    def _on_notice(self, sender, message):
        self._consider_claim(message.claim, sender)

    def _consider_claim(self, claim, sender):
        if claim.scheduler == self.incarnation:
            if (
                not self.is_scheduler
                and claim > (self.claim or Claim(False, 0, ""))
                and not self.draining
            ):
                self._set_claim(claim, "appointed")
                self._announce(claim)
            return
        if self.claim is None or claim > self.claim:
            if sender == claim.scheduler or self.claim is not None:
                self._set_claim(claim, f"notice of {sender}")
        elif self.is_scheduler and claim < self.claim:
            self._network.send(sender, ClaimNotice(self.claim))

    def _on_reach_request(self, _sender, _message):
        now = self._timers.now()
        is_fresh = self.is_scheduler or now - self.last_reply_s < FRESH_REPLY_S
        if (
            self.claim is not None
            and not self.is_scheduler
            and now - self.heartbeat_sent_s >= MIN_HEARTBEAT_S
        ):
            # The sender lost the scheduler: check at once whether it is still reachable.
            self._send_heartbeat()
        return ReachReply(
            self.claim if is_fresh else None,
            self.draining or not self.ready,
            self._usable_cores(),
        )

    def _find_scheduler(self, members, replies):
        """Follow the greatest claim that members report, or make one if none is reported.

        Only claims of schedulers that replied themselves count as live.
        """
        if self.claim is not None:
            return
        claims = [a.claim for a in replies.values() if a.claim is not None]
        live = [c for c in claims if c.scheduler in replies and c.scheduler != self.incarnation]
        if live:
            self._set_claim(max(live), "told")
        elif not claims and not self.draining and self._is_first_candidate(replies):
            self._make_claim(members, replies)

    def _is_first_candidate(self, replies):
        cores = {self.incarnation: self._usable_cores(), **candidate_cores(replies)}
        return first_candidate(cores, self._rank) == self.incarnation

    def _propose_claim(self, members, replies):
        """Return the kind of claim that this process may make, and the claim itself."""
        own_domain = self._network.failure_domain
        kind, served = evaluate_reach(own_domain, members, replies, self._unreachable_domains)
        return kind, next_claim(kind, self.incarnation, self._greatest_claim, served)

    def _make_claim(self, members, replies):
        kind, claim = self._propose_claim(members, replies)
        if kind is not ClaimKind.NONE and self.claim is None:
            self._set_claim(claim, "claimed")
            self._announce(claim)

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

    def recheck_claim(self, reason):
        """Check this process's claim against its peers: follow a greater one, or reduce or drop it.

        Parameters
        ----------
        reason : str
            Why the claim is in doubt; without a greater claim, it is dropped for `FENCED` only.
        """
        if self.is_scheduler:
            self._query_members(
                lambda members, replies: self._recheck_own_claim(members, replies, reason)
            )

    def _recheck_own_claim(self, members, replies, reason):
        if not self.is_scheduler:
            return
        greater = [a.claim for a in replies.values() if a.claim and a.claim > self.claim]
        if greater:
            self._set_claim(max(greater), reason)
            return
        kind, claim = self._propose_claim(members, replies)
        if kind is ClaimKind.NONE and reason == FENCED:
            self._set_claim(None, reason)
        elif kind is ClaimKind.PARTIAL and self.claim.is_full:
            self._set_claim(msgspec.structs.replace(claim, term=self.claim.term), reason)

    def note_not_reached(self, scheduler):
        """Drop the claim of a scheduler that refuses connections or whose address is reused."""
        if self.claim is not None and self.claim.scheduler == scheduler and not self.is_scheduler:
            self._set_claim(None, "not_reached")

    def step_down(self, reason):
        """Stop being the scheduler, for instance after a pause in which another was elected."""
        if self.is_scheduler:
            self._set_claim(None, reason)
