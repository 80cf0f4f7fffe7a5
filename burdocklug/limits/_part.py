"""Team quotas as a part of a process: shares, loans, and the registration of the process's name.

A process may use its base shares at once only if nothing of an earlier process of its name can
still run. Only the platform knows that: a record under the process's name, created if absent,
holds the handover of the last graceful shutdown or says that a process is running.
"""

import eventlet
import structlog

from burdocklug.kernel import BurdocklugError, part
from burdocklug.limits._messages import QuotaMessage
from burdocklug.limits._quotas import QuotaShares
from burdocklug.limits._registration import NameRegistration

__all__ = ["LimitsPart"]

log = structlog.get_logger(__name__)

TICK_S = 0.05
IDLE_TICK_S = 0.5  # between ticks while no task waits
REGISTER_PAUSE_S = 1.0
SETTLE_PAUSE_S = 0.1


class LimitsPart:
    """Whether a team may start another task in this process.

    Parameters
    ----------
    process : Process
        The process with its parts.
    """

    def __init__(self, process):
        settings = process.settings
        self._name = settings.process.name
        self._configuration = process["tickets"].configuration
        self._peers = process["peers"]
        self._timers = process.timers
        self._fleet = settings.process.fleet or [self._name]
        self._longest_task_s = settings.jobs.longest_task_s
        self._names = NameRegistration(
            process["platform"],
            self._peers,
            name=self._name,
            fleet=self._fleet,
            now=process.timers.now,
            wall_clock=process.wall_clock,
        )
        self._is_held = False
        self._running = {}
        self._ticked_s = 0.0
        self._stopped = False
        self.waiting = dict
        self.shares = self._new_shares(None, first_request=1)
        for message_type in QuotaMessage.__args__:
            self._peers.register(message_type, self._receive, inline=True)

    def _new_shares(self, handover, *, first_request):
        return QuotaShares(
            process=self._name,
            fleet=self._fleet,
            started_s=self._timers.now(),
            longest_task_s=self._longest_task_s,
            handover=handover,
            first_request=first_request,
        )

    def start(self):
        """Subscribe to the timer service and register the process's name."""
        self._configuration.subscribe(self._set_quotas)
        self._set_quotas()
        self._timers.every(TICK_S, self._tick)
        eventlet.spawn_n(self._register)

    def _register(self):
        """Register the name; until then, and after a kill, base shares rest.

        Notes
        -----
        Without the platform, and with no other living process of the name, base shares are used
        once they have rested as after a kill.
        """
        while not self._stopped:
            taken = None
            try:
                taken = self._names.take()
            except BurdocklugError as exc:
                log.info("process_name_not_registered", fault=exc.message)
            self._follow_holder()
            if taken is not None:
                if taken.handover is not None:
                    self._adopt(taken.handover)
                return
            eventlet.sleep(SETTLE_PAUSE_S if self._names.is_taken else REGISTER_PAUSE_S)

    def _follow_holder(self):
        """Use no base share while another process holds the name; rest as after a kill then."""
        holder = self._names.held_by
        if holder is not None:
            if not self._is_held:
                log.error("process_name_held", name=self._name, holder=holder)
            self.shares.hold_base()
        elif self._is_held:
            self._adopt(None)
        self._is_held = holder is not None

    @property
    def name_held_by(self):
        """The living process that holds this process's name, or None."""
        return self._names.held_by

    def _adopt(self, handover):
        """Start over with a handover; nothing can have run on shares that rested until now."""
        first_request = self.shares.last_request + 1
        self.shares = self._new_shares(handover, first_request=first_request)
        self._set_quotas()
        now = self._timers.now()
        for team, count in self._running.items():
            for _ in range(count):
                self.shares.started(now, team)

    def _set_quotas(self):
        now = self._timers.now()
        for team in self._configuration.teams():
            self.shares.set_quota(now, team, self._configuration.team(team).max_running)

    def _tick(self):
        now = self._timers.now()
        waiting = self.waiting()
        if not waiting and now - self._ticked_s < IDLE_TICK_S:
            return
        self._ticked_s = now
        peers = {
            member.name: member.incarnation for member in self._peers.members() if member.takes_work
        }
        self._send(self.shares.tick(now, waiting, peers))

    def _receive(self, sender, message):
        self._send(self.shares.receive(self._timers.now(), sender, message))

    def _send(self, outgoing):
        for item in outgoing:
            self._peers.send(item.to, item.message)

    def may_start(self, team):
        """Return whether a team is under its share of its quota."""
        if self._configuration.team(team) is None:
            return False
        return self.shares.may_start(self._timers.now(), team)

    def note_started(self, team):
        """Count a started task."""
        self._running[team] = self._running.get(team, 0) + 1
        self.shares.started(self._timers.now(), team)

    def note_ended(self, team):
        """Count a task as no longer running."""
        self._running[team] -= 1
        self.shares.ended(self._timers.now(), team)

    def stop(self):
        """Return loans and leave a record for the next process of this name."""
        self._stopped = True
        now = self._timers.now()
        if any(self._running.values()) or not self._names.is_taken:
            return
        returns, handover = self.shares.leave(now)
        self._send(returns)
        try:
            self._names.release(handover)
        except BurdocklugError as exc:
            log.info("process_name_not_released", fault=exc.message)

    def dump(self):
        """Return running tasks and shares by team."""
        now = self._timers.now()
        return {
            team: {"running": self._running.get(team, 0), "share": self.shares.share(now, team)}
            for team in self._configuration.teams()
        }


@part("limits", needs=("tickets", "peers", "platform"))
def build_limits(process):
    """Return the limits part of a process."""
    return LimitsPart(process)
