"""Election of the scheduler: finds the current one, or claims the role."""

from burdocklug.pools._messages import (
    Claim,
    ClaimNotice,
    ReachReply,
    ReachRequest,
)
from burdocklug.pools.election._held_claim import SCHEDULER_TIMEOUT_S
from burdocklug.pools.election._leadership import ClaimKind, first_candidate
from burdocklug.pools.election._own_claim import OwnClaim
from burdocklug.pools.election._reach import candidate_cores, query_members
from burdocklug.pools.election._search import (
    MAX_ASKED,
    is_possible_candidate,
    search_period_s,
    search_sample,
)

__all__ = ["SchedulerElection"]

HEARTBEAT_S = 0.2  # period of heartbeats to the scheduler
MIN_HEARTBEAT_S = 0.05  # minimum period, while others search for a scheduler; ten round trips
SEARCH_S = 0.1  # period of the search while there is no scheduler
FRESH_REPLY_S = 0.5  # age of the last reply up to which the scheduler is reported to others
CANDIDATE_S = 0.7  # age of the last search after which its result says nothing of who may claim


class SchedulerElection(OwnClaim):
    """Finds the scheduler to follow, or makes this process the scheduler if there is none.

    Parameters
    ----------
    network, timers
        See `OwnClaim`, also for the named parameters.
    rank : int, optional
        Number of older eligible processes that this election passes over.

    Attributes
    ----------
    ready : bool
        Whether the members have been loaded, so that the search for a scheduler may begin.
    """

    def __init__(self, network, timers, *, rank=0, **options):
        super().__init__(network, timers, **options)
        self.ready = False
        self._rank = rank
        self._candidate_s = float("-inf")
        self._searched_s = float("-inf")
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
            self._keep_own_claim()
            return
        if self.claim is not None and now - self.last_reply_s > SCHEDULER_TIMEOUT_S:
            self._set_claim(None, "silent")
        if self.claim is not None:
            self._send_heartbeat()

    def _search(self):
        """Search for a scheduler if none is followed."""
        if self.claim is not None or not self.ready:
            return
        members = self._members()
        if len(members) <= MAX_ASKED:
            self._query_members(self._find_scheduler)
            return
        now = self._timers.now()
        if now - self._searched_s >= search_period_s(self.incarnation, members, least_s=SEARCH_S):
            self._searched_s = now
            self._query_members(self._find_in_sample, search_sample(self.incarnation, members))

    def _find_in_sample(self, members, replies):
        """Follow a claim that some members report, or ask all if this process may have to claim."""
        if self.claim is not None:
            return
        is_claimed = any(reply.claim is not None for reply in replies.values())
        cores = {self.incarnation: self._usable_cores(), **candidate_cores(replies)}
        if not is_claimed and is_possible_candidate(self.incarnation, cores, self._rank):
            replies = query_members(self._network, members)
        elif not is_claimed:
            return
        self._find_scheduler(members, replies)

    def failure_domain_of(self, incarnation):
        """Return the failure domain of a process; empty if it is not known."""
        if incarnation == self._network.incarnation:
            return self._network.failure_domain
        return self._members().get(incarnation, "")

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
            self._version(),
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

    def _make_claim(self, members, replies):
        kind, claim = self._propose_claim(members, replies)
        if self.claim is not None:
            return
        is_held = kind is ClaimKind.PARTIAL and self._sampling.held_domains.intersection(
            claim.domains
        )
        if kind is ClaimKind.NONE or is_held:
            self._candidate_s = self._timers.now()
            self._sampling.search(len(replies), self._on_sampled)
        else:
            self._is_claim_sampled = False
            self._set_own_claim(claim, "claimed")

    def _on_sampled(self, states):
        """Claim the free failure domains if this process was the first candidate just before."""
        if self.claim is None and self._timers.now() - self._candidate_s <= CANDIDATE_S:
            self._claim_free_domains(states)
