"""The claim that a process accepts as the greatest, and heartbeats with its scheduler."""

import structlog

from burdocklug.pools._evacuations import EvacuationView
from burdocklug.pools._messages import ClaimNotice, FollowerHeartbeat, HeartbeatReply
from burdocklug.pools.election._followers import Followers
from burdocklug.pools.election._leadership import greater_claim
from burdocklug.pools.submitting import CongestionControl

__all__ = ["SCHEDULER_TIMEOUT_S", "ClaimTracker"]

SCHEDULER_TIMEOUT_S = 0.8  # four heartbeats without a reply
LIVE_REPLY_S = 0.3  # age of its last reply up to which a scheduler is taken to be running

log = structlog.get_logger(__name__)


class ClaimTracker:
    """Tracks the scheduler that this process follows, which may be the process itself.

    Parameters
    ----------
    network : PeerNetwork
        Network to the other processes.
    timers : TimerService
        Clock and timers.
    on_change : callable
        Called with the new claim, or None, after each change.
    version : callable
        Returns the version of the configuration in force.
    usable_cores : callable
        Returns the usable cores of this process's host, 0 while it is overloaded.
    is_version_current : callable
        Returns whether that version was read from the store just now.
    loop_lag_s : callable
        Returns the recent lag of this process's event loop, in seconds.

    Attributes
    ----------
    claim : Claim or None
        Claim of the scheduler that is followed.
    reply_sequence : int
        Number of the last heartbeat that this scheduler replied to; 0 for none.
    last_reply_s : float
        Time of that reply, or of the change of scheduler if there was none since.
    heartbeat_sent_s : float
        Time of the last heartbeat sent to it.
    followers : Followers
        Processes that follow this one.
    congestion : CongestionControl
        Admission of jobs that this process sends to the scheduler.
    former_reply_s : dict
        Time until which each scheduler that was followed before may have acted on jobs of this
        process, as far as that is known here, by incarnation.
    learns_versions : bool
        Whether the scheduler that is followed reads new configurations and passes them on.
    on_newer_version : callable or None
        Called with the incarnation of a peer that has a newer configuration or plan of cells, or
        knows of a change of the evacuations.
    on_version_heard : callable or None
        Called before that with the incarnation of a peer and the version of its configuration, if
        that is newer than the one in force here.
    evacuations : callable
        Returns the `EvacuationView` of this process.
    plan_number : callable
        Returns the number of the plan of cells in force.
    operators_revision : callable
        Returns the revision of the store up to which this process knows all that operators wrote.
    on_peer_view : callable or None
        Called with the version, the digest of the evacuations and the operators' revision of each
        reply to a heartbeat.
    """

    def __init__(
        self,
        network,
        timers,
        *,
        on_change,
        version,
        is_version_current,
        usable_cores,
        loop_lag_s,
    ):
        self.claim = None
        self.reply_sequence = 0
        self.last_reply_s = 0.0
        self.heartbeat_sent_s = 0.0
        self.followers = Followers(timeout_s=SCHEDULER_TIMEOUT_S)
        self.congestion = CongestionControl(timers.now)
        self.former_reply_s = {}
        self.learns_versions = False
        self.on_newer_version = None
        self.on_version_heard = None
        self.evacuations = EvacuationView
        self.plan_number = int
        self.operators_revision = int
        self.on_peer_view = None
        self._network = network
        self._timers = timers
        self._on_change = on_change
        self._version = version
        self._is_version_current = is_version_current
        self._usable_cores = usable_cores
        self._loop_lag_s = loop_lag_s
        self._claim_since_s = 0.0
        self._sequence = 0
        self._greatest_claim = None
        network.register(FollowerHeartbeat, self._on_heartbeat, inline=True)
        network.register(HeartbeatReply, self._on_heartbeat_reply, inline=True)

    @property
    def incarnation(self):
        """Incarnation of this process."""
        return self._network.incarnation

    @property
    def is_scheduler(self):
        """Whether this process is the scheduler."""
        return self.claim is not None and self.claim.scheduler == self.incarnation

    def _set_claim(self, claim, reason):
        if claim == self.claim:
            return
        before, self.claim = self.claim, claim
        self._greatest_claim = greater_claim(self._greatest_claim, claim)
        if before is not None and claim is not None and before.scheduler == claim.scheduler:
            self._change_extent(before, claim, reason)
            return
        if before is not None:
            self._leave(before, claim)
        self.last_reply_s = self._claim_since_s = self._timers.now()
        self.reply_sequence = 0
        self.learns_versions = False
        self.congestion.reset()
        log.info(
            "scheduler_followed" if claim else "scheduler_lost",
            scheduler=claim.scheduler if claim else None,
            term=claim.term if claim else None,
            whole=claim.is_full if claim else None,
            before=before.scheduler if before else None,
            reason=reason,
        )
        self._on_change(claim)
        if claim is not None and not self.is_scheduler:
            self._send_heartbeat()

    def _change_extent(self, before, claim, reason):
        """Go on with the same scheduler, whose claim serves other failure domains than before."""
        log.info(
            "claim_changed",
            scheduler=claim.scheduler,
            term=claim.term,
            before=before.term,
            whole=claim.is_full,
            domains=list(claim.domains),
            reason=reason,
        )
        self._on_change(claim)

    def _leave(self, before, claim):
        """Record when the former scheduler last acted, and tell it of the claim that replaced it.

        A scheduler that others replaced, for instance after a partition, may not know it yet.
        """
        now = self._timers.now()
        is_running = before.scheduler == self.incarnation
        if claim is not None and claim.scheduler != before.scheduler and not is_running:
            self._network.send(before.scheduler, ClaimNotice(claim))
            is_running = now - self.last_reply_s <= LIVE_REPLY_S
        self.former_reply_s[before.scheduler] = now if is_running else self.last_reply_s

    @property
    def confirmed_claim(self):
        """The claim if its scheduler has replied, or is this process; None otherwise."""
        return self.claim if self.is_scheduler or self.reply_sequence else None

    def _send_heartbeat(self):
        self._sequence += 1
        self.heartbeat_sent_s = self._timers.now()
        evacuations = self.evacuations()
        heartbeat = FollowerHeartbeat(
            self._sequence,
            self.claim,
            self._version(),
            self._usable_cores(),
            self.reply_sequence,
            evacuations.revision,
            evacuations.digest,
            self.plan_number(),
        )
        self.congestion.note_sent(self._sequence)
        self._network.send(self.claim.scheduler, heartbeat)

    def _on_heartbeat(self, sender, message):
        self.followers.note_heartbeat(sender, message, self._timers.now())
        evacuations = self.evacuations()
        reply = HeartbeatReply(
            message.sequence,
            self.claim,
            self._version(),
            self._loop_lag_s(),
            self.is_scheduler and self._is_version_current(),
            evacuations.revision,
            evacuations.digest,
            self.plan_number(),
            self.operators_revision(),
        )
        self._network.send(sender, reply)
        self._note_version(sender, message)

    def _on_heartbeat_reply(self, sender, message):
        self._note_version(sender, message)
        if self.on_peer_view is not None:
            self.on_peer_view(
                message.configuration_version,
                message.evacuations_digest,
                message.operators_revision,
            )
        if self.claim is None or sender != self.claim.scheduler:
            return
        if message.claim is None or message.claim.scheduler != sender:
            self.last_reply_s = self._timers.now()  # it may have scheduled until it replied
            self._set_claim(None, "not_scheduling")
            return
        self._set_claim(message.claim, "heartbeat_reply")
        self.last_reply_s = self._timers.now()
        self.reply_sequence = max(self.reply_sequence, message.sequence)
        self.learns_versions = message.is_version_current
        self.congestion.note_reply(message.sequence, message.loop_lag_s)

    def _note_version(self, sender, message):
        evacuations = self.evacuations()
        knows_change = (
            message.evacuations_revision > evacuations.revision
            and message.evacuations_digest != evacuations.digest
        )
        has_newer_plan = message.plan_number > self.plan_number()
        has_newer_version = message.configuration_version > self._version()
        if has_newer_version and self.on_version_heard is not None:
            self.on_version_heard(sender, message.configuration_version)
        is_newer = has_newer_version or knows_change or has_newer_plan
        if is_newer and self.on_newer_version is not None:
            self.on_newer_version(sender)

    def _note_newest_version(self, replies):
        """Learn of a newer configuration while there is no scheduler that would pass it on."""
        version, sender = max(
            ((reply.configuration_version, sender) for sender, reply in replies.items()),
            default=(0, ""),
        )
        if version > self._version() and self.on_version_heard is not None:
            self.on_version_heard(sender, version)
            self.on_newer_version(sender)

    def dump(self):
        """Return the claim in force as plain data."""
        claim = self.claim
        return {
            "scheduler": claim.scheduler if claim else None,
            "term": claim.term if claim else None,
            "whole": claim.is_full if claim else None,
            "leads": self.is_scheduler,
        }
