"""Team quotas as a part of a process: shares, loans, and the registration of the process's name.

A process may use its base shares at once only if no task or loan of an earlier process of its name
can still be in use. Only the platform's store can tell: the record under the process's name, which
is created if absent, holds the handover of the last graceful shutdown, or shows that a process has
registered since.
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
IDLE_TICK_S = 0.5  # time between ticks while no task waits
REGISTER_PAUSE_S = 1.0  # time between attempts to write the record of the name
CONVERGENCE_POLL_S = 0.1  # time between checks of the member table once the record is written


class LimitsPart:
    """Enforces the team quotas in one process.

    Parameters
    ----------
    process : Process
        The process that this part belongs to.
    """

    def __init__(self, process):
        settings = process.settings
        self._name = settings.process.name
        self._configuration = process["tickets"].configuration
        self._peers = process["peers"]
        self._timers = process.timers
        self._fleet = settings.process.fleet or [self._name]
        self._longest_task_s = settings.jobs.longest_task_s
        self._registration = NameRegistration(
            process["platform"],
            self._peers,
            name=self._name,
            fleet=self._fleet,
            now=process.timers.now,
            wall_clock=process.wall_clock,
        )
        self._is_name_held = False
        self._running = {}
        self._ticked_s = 0.0
        self._stopped = False
        self.waiting_by_team = dict
        self.shares = self._new_shares(None, first_request_id=1)
        for message_type in QuotaMessage.__args__:
            self._peers.register(message_type, self._receive, inline=True)

    def _new_shares(self, handover, *, first_request_id):
        return QuotaShares(
            process=self._name,
            fleet=self._fleet,
            started_s=self._timers.now(),
            longest_task_s=self._longest_task_s,
            handover=handover,
            first_request_id=first_request_id,
        )

    def start(self):
        """Follow the configured quotas, start the ticks and register the process's name."""
        self._configuration.subscribe(self._set_quotas)
        self._set_quotas()
        self._timers.every(TICK_S, self._tick)
        eventlet.spawn_n(self._register)

    def _register(self):
        """Register the name and apply the handover; retry until registered or stopped.

        Notes
        -----
        Until a handover is applied, base shares are withheld for the same time as after a crash. If
        the platform is unreachable and no other living process holds the name, they are used after
        that time without a registration.
        """
        while not self._stopped:
            registered = None
            try:
                registered = self._registration.register()
            except BurdocklugError as exc:
                log.info("process_name_not_registered", fault=exc.message)
            self._apply_holder()
            if registered is not None:
                if registered.handover is not None:
                    self._replace_shares(registered.handover)
                return
            eventlet.sleep(
                CONVERGENCE_POLL_S if self._registration.is_registered else REGISTER_PAUSE_S
            )

    def _apply_holder(self):
        """Withhold base shares while another process holds the name.

        Once the name is free, the shares are replaced by new ones, as after a crash.
        """
        holder = self._registration.held_by
        if holder is not None:
            if not self._is_name_held:
                log.error("process_name_held", name=self._name, holder=holder)
            self.shares.withhold_base_shares()
        elif self._is_name_held:
            self._replace_shares(None)
        self._is_name_held = holder is not None

    @property
    def name_held_by(self):
        """Incarnation of another process that holds this process's name, or None."""
        return self._registration.held_by

    def _replace_shares(self, handover):
        """Replace the shares by new ones with a handover, and keep the count of running tasks.

        This is safe because the old base shares were withheld: no task can have started on them.
        """
        first_request_id = self.shares.last_request_id + 1
        self.shares = self._new_shares(handover, first_request_id=first_request_id)
        self._set_quotas()
        now = self._timers.now()
        for team, count in self._running.items():
            for _ in range(count):
                self.shares.note_started(now, team)

    def _set_quotas(self):
        now = self._timers.now()
        for team in self._configuration.teams():
            self.shares.set_quota(now, team, self._configuration.team(team).max_running)

    def _tick(self):
        now = self._timers.now()
        waiting = self.waiting_by_team()
        if not waiting and now - self._ticked_s < IDLE_TICK_S:
            return
        self._ticked_s = now
        peers = {
            member.name: member.incarnation
            for member in self._peers.members()
            if member.accepts_work
        }
        self._send(self.shares.tick(now, waiting, peers))

    def _receive(self, sender, message):
        self._send(self.shares.receive(self._timers.now(), sender, message))

    def _send(self, outgoing):
        for item in outgoing:
            self._peers.send(item.to, item.message)

    def may_start(self, team):
        """Return whether a team is below this process's share of its quota."""
        if self._configuration.team(team) is None:
            return False
        return self.shares.may_start(self._timers.now(), team)

    def note_started(self, team):
        """Count a started task."""
        self._running[team] = self._running.get(team, 0) + 1
        self.shares.note_started(self._timers.now(), team)

    def note_ended(self, team):
        """Count a task as no longer running."""
        self._running[team] -= 1
        self.shares.note_ended(self._timers.now(), team)

    def stop(self):
        """Return loans, and write the handover for the next process of this name."""
        self._stopped = True
        now = self._timers.now()
        if any(self._running.values()) or not self._registration.is_registered:
            return
        returns, handover = self.shares.hand_over(now)
        self._send(returns)
        try:
            self._registration.release(handover)
        except BurdocklugError as exc:
            log.info("process_name_not_released", fault=exc.message)

    def dump(self):
        """Return the number of running tasks and the share of each team."""
        now = self._timers.now()
        return {
            team: {"running": self._running.get(team, 0), "share": self.shares.share(now, team)}
            for team in self._configuration.teams()
        }


@part("limits", needs=("tickets", "peers", "platform"))
def build_limits(process):
    """Return the limits part of a process."""
    return LimitsPart(process)
