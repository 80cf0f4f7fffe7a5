"""Which scheduler this process looks for, and when it claims to be it."""

import eventlet
import msgspec
import structlog

from burdocklug.pools._held_claim import LOST_S, HeldClaim
from burdocklug.pools._leadership import (
    ClaimKind,
    first_to_claim,
    fit_ones,
    next_claim,
    successor_of,
)
from burdocklug.pools._messages import (
    Claim,
    ClaimNotice,
    ReachAnswer,
    ReachQuestion,
)
from burdocklug.pools._reach import ask_members, powers_of, weigh_reach

__all__ = ["Following"]

FOLLOW_S = 0.2  # period of the exchange with the scheduler
HASTENED_S = 0.05  # the shortest, while others look for a scheduler: some ten trips
NOTICE_S = 1.0  # period in which a scheduler tells all members of its claim
ASK_AGAIN_S = 0.1  # from one look for a scheduler to the next
TENURE_S = 2.0  # a scheduler takes up its endpoints and jobs before it yields to a stronger host
FENCED = "fenced"  # why a scheduler looks whether another one is in its place
FRESH_S = 0.5  # a scheduler that was not heard for longer is not named to others

log = structlog.get_logger(__name__)


class Following(HeldClaim):
    """Finds the scheduler to follow, and claims to be it where there is none.

    Parameters
    ----------
    network, timers, on_change, version, power, late_s
        As for `HeldClaim`.
    members : callable
        Returns failure domains by incarnation of the other processes that are thought to live.
    cut_domains : callable
        Takes failure domains and returns those whose endpoints are not reached; it may wait.

    Attributes
    ----------
    draining : bool
        Whether this process ends, and must not claim.
    ready : bool
        Whether the members are known, so that this process may look for a scheduler.
    """

    def __init__(self, network, timers, *, members, cut_domains, on_change, version, power, late_s):
        super().__init__(
            network, timers, on_change=on_change, version=version, power=power, late_s=late_s
        )
        self.draining = False
        self.ready = False
        self._members = members
        self._cut_domains = cut_domains
        self._noticed_s = 0.0
        self._asking = False
        network.on_refused(self.note_not_reached)
        network.register(ReachAnswer)
        network.register(ReachQuestion, self._on_question, inline=True)
        network.register(ClaimNotice, self._on_notice, inline=True)

    def start(self):
        """Begin the exchange."""
        self._timers.every(FOLLOW_S, self._tick)
        self._timers.every(ASK_AGAIN_S, self._look)

    def _tick(self):
        now = self._timers.now()
        if self.leads:
            if now - self._noticed_s >= NOTICE_S:
                self._tell_all(self.claim)
                members = self._members()
                heard = self.followers.count(members, now)
                if self.claim.whole and 2 * (1 + heard) <= 1 + len(members):
                    self.weigh_claim("few_followers")
                elif now - self._claimed_s >= TENURE_S:
                    if not self._is_fit(self.followers.powers(now)):
                        self._ask_members(self._yield_to_stronger)
            return
        if self.claim is not None and now - self.heard_s > LOST_S:
            self._set_claim(None, "silent")
        if self.claim is not None:
            self._send_follow()

    def _look(self):
        """Look for a scheduler where there is none."""
        if self.claim is None and self.ready:
            self._ask_members(self._find_scheduler)

    def _ask_members(self, weigh):
        """Ask the members, then call `weigh` with them and their answers; one at a time."""
        if not self._asking:
            self._asking = True
            eventlet.spawn(self._weigh_answers, weigh)

    def _weigh_answers(self, weigh):
        try:
            members = self._members()
            weigh(members, ask_members(self._network, members))
        finally:
            self._asking = False

    def _tell_all(self, claim):
        self._noticed_s = self._timers.now()
        for incarnation in self._members():
            self._network.send(incarnation, ClaimNotice(claim))

    # Claims

    def _on_notice(self, sender, message):
        self._consider(message.claim, sender)

    def _consider(self, claim, sender):
        if claim.scheduler == self.own:
            if not self.leads and claim > (self.claim or Claim(False, 0, "")) and not self.draining:
                self._set_claim(claim, "appointed")
                self._tell_all(claim)
            return
        if self.claim is None or claim > self.claim:
            if sender == claim.scheduler or self.claim is not None:
                self._set_claim(claim, f"notice of {sender}")
        elif self.leads and claim < self.claim:
            self._network.send(sender, ClaimNotice(self.claim))

    def _on_question(self, _sender, _message):
        now = self._timers.now()
        fresh = self.leads or now - self.heard_s < FRESH_S
        if self.claim is not None and not self.leads and now - self.followed_s >= HASTENED_S:
            self._send_follow()  # the sender has lost the scheduler, which may be gone
        return ReachAnswer(self.claim if fresh else None, self.draining, self._power())

    def _find_scheduler(self, members, answers):
        """Follow the greatest claim that the reached members know, or make one."""
        if self.claim is not None:
            return
        claims = [a.claim for a in answers.values() if a.claim is not None]
        live = [c for c in claims if c.scheduler in answers and c.scheduler != self.own]
        if live:
            self._set_claim(max(live), "told")
        elif not claims and not self.draining and self._goes_first(answers):
            self._make_claim(members, answers)

    def _goes_first(self, answers):
        return first_to_claim({self.own: self._power(), **powers_of(answers)}) == self.own

    def _weigh(self, members, answers):
        """Return what this process may claim, and the claim."""
        own_domain = self._network.failure_domain
        kind, served = weigh_reach(own_domain, members, answers, self._cut_domains)
        return kind, next_claim(kind, self.own, self._greatest, served)

    def _make_claim(self, members, answers):
        kind, claim = self._weigh(members, answers)
        if kind is not ClaimKind.NOTHING and self.claim is None:
            self._set_claim(claim, "claimed")
            self._tell_all(claim)

    def hand_over(self):
        """Appoint another process before this one ends; return whether there is one."""
        self.draining = True
        return self.leads and self._appoint(
            ask_members(self._network, self._members()), "handed_over"
        )

    def _is_fit(self, powers):
        """Return whether the own host carries about as much as the strongest of others."""
        return self.own in fit_ones({self.own: self._power(), **powers})

    def _yield_to_stronger(self, _members, answers):
        if not self._is_fit(powers_of(answers)):
            self._appoint(answers, "stronger_host")

    def _appoint(self, answers, reason):
        """Name one of the processes that answered as scheduler; return whether there is one."""
        powers = powers_of(answers)
        if not powers or not self.leads:
            return False
        successor = successor_of(powers)
        claim = Claim(self.claim.whole, self.claim.term + 1, successor, self.claim.domains)
        log.info("handing_over", successor=successor, term=claim.term, reason=reason)
        self._tell_all(claim)
        self._set_claim(claim, reason)
        return True

    def weigh_claim(self, reason):
        """Look whether this process still reaches enough to schedule, and yield if it doesn't."""
        if self.leads:
            self._ask_members(lambda members, answers: self._weigh_own(members, answers, reason))

    def _weigh_own(self, members, answers, reason):
        if not self.leads:
            return
        greater = [a.claim for a in answers.values() if a.claim and a.claim > self.claim]
        if greater:
            self._set_claim(max(greater), reason)
            return
        kind, claim = self._weigh(members, answers)
        if kind is ClaimKind.NOTHING and reason == FENCED:
            self._set_claim(None, reason)
        elif kind is ClaimKind.PART and self.claim.whole:
            self._set_claim(msgspec.structs.replace(claim, term=self.claim.term), reason)

    def note_not_reached(self, scheduler):
        """Note that a scheduler refuses connections or was replaced by a new process."""
        if self.claim is not None and self.claim.scheduler == scheduler and not self.leads:
            self._set_claim(None, "not_reached")

    def give_up(self, reason):
        """Schedule no more, as after a pause in which others may have taken over."""
        if self.leads:
            self._set_claim(None, reason)
