"""The claim that a process holds for the greatest one, and its exchange with that scheduler."""

import structlog

from burdocklug.pools._congestion import CongestionControl
from burdocklug.pools._followers import Followers
from burdocklug.pools._leadership import greater_claim
from burdocklug.pools._messages import Follow, Followed

__all__ = ["LOST_S", "HeldClaim"]

LOST_S = 0.8  # four exchanges without an answer

log = structlog.get_logger(__name__)


class HeldClaim:
    """The scheduler that a process follows, or is.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages.
    timers : TimerService
        Source of time.
    on_change : callable
        Takes the new claim, or None, after each change.
    version : callable
        Returns the version of the configuration in force.
    power : callable
        Returns what the own host can carry, in cores.
    late_s : callable
        Returns by how much the own loop was late lately, in seconds.

    Attributes
    ----------
    claim : Claim or None
        The claim of the scheduler that is followed.
    heard_sequence : int
        Last answer of that scheduler.
    heard_s : float
        When that was.
    followed_s : float
        When it was asked last.
    followers : Followers
        The processes that follow this one.
    congestion : CongestionControl
        Whether the scheduler keeps up with what this process sends it.
    lost_heard_s : dict
        When schedulers that are not followed any more were heard last.
    on_newer_version : callable or None
        Takes a peer that has a newer configuration.
    """

    def __init__(self, network, timers, *, on_change, version, power, late_s):
        self.claim = None
        self.heard_sequence = 0
        self.heard_s = 0.0
        self.followed_s = 0.0
        self.followers = Followers(keep_s=LOST_S)
        self.congestion = CongestionControl(timers.now)
        self.lost_heard_s = {}
        self.on_newer_version = None
        self._network = network
        self._timers = timers
        self._on_change = on_change
        self._version = version
        self._power = power
        self._late_s = late_s
        self._claimed_s = 0.0
        self._sequence = 0
        self._greatest = None
        network.register(Follow, self._on_follow, inline=True)
        network.register(Followed, self._on_followed, inline=True)

    @property
    def own(self):
        """Own incarnation."""
        return self._network.incarnation

    @property
    def leads(self):
        """Whether this process is the scheduler."""
        return self.claim is not None and self.claim.scheduler == self.own

    def _set_claim(self, claim, reason):
        if claim == self.claim:
            return
        before, self.claim = self.claim, claim
        if before is not None:
            own = before.scheduler == self.own
            self.lost_heard_s[before.scheduler] = self._timers.now() if own else self.heard_s
        self._greatest = greater_claim(self._greatest, claim)
        self.heard_s = self._claimed_s = self._timers.now()
        self.heard_sequence = 0
        self.congestion.reset()
        log.info(
            "scheduler_followed" if claim else "scheduler_lost",
            scheduler=claim.scheduler if claim else None,
            term=claim.term if claim else None,
            whole=claim.whole if claim else None,
            before=before.scheduler if before else None,
            reason=reason,
        )
        self._on_change(claim)
        if claim is not None and not self.leads:
            self._send_follow()

    @property
    def reached_claim(self):
        """The claim of a scheduler that has answered this process, or of itself; else None."""
        return self.claim if self.leads or self.heard_sequence else None

    def _send_follow(self):
        self._sequence += 1
        self.followed_s = self._timers.now()
        follow = Follow(self._sequence, self.claim, self._version(), self._power())
        self.congestion.note_sent(self._sequence)
        self._network.send(self.claim.scheduler, follow)

    def _on_follow(self, sender, message):
        self.followers.note(sender, message, self._timers.now())
        followed = Followed(message.sequence, self.claim, self._version(), self._late_s())
        self._network.send(sender, followed)
        self._note_version(sender, message.configuration_version)

    def _on_followed(self, sender, message):
        self._note_version(sender, message.configuration_version)
        if self.claim is None or sender != self.claim.scheduler:
            return
        if message.claim is None or message.claim.scheduler != sender:
            self._set_claim(None, "not_scheduling")
            return
        self.claim = message.claim
        self.heard_s = self._timers.now()
        self.heard_sequence = max(self.heard_sequence, message.sequence)
        self.congestion.note_answered(message.sequence, message.late_s)

    def _note_version(self, sender, version):
        if version > self._version() and self.on_newer_version is not None:
            self.on_newer_version(sender)

    def dump(self):
        """Return the claim that is followed as plain data."""
        claim = self.claim
        return {
            "scheduler": claim.scheduler if claim else None,
            "term": claim.term if claim else None,
            "whole": claim.whole if claim else None,
            "leads": self.leads,
        }
