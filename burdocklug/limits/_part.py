"""Team quotas as a part of a process: shares, loans, and the registration of the process's name.

A process may use its base shares at once only if nothing of an earlier process of its name can
still run. Only the platform knows that: a record under the process's name, created if absent,
holds the handover of the last graceful shutdown or says that a process is running.
"""

import eventlet
import msgspec
import structlog

from burdocklug.kernel import BurdocklugError, part
from burdocklug.limits._handover import LentShare, QuotaHandover
from burdocklug.limits._messages import QuotaMessage
from burdocklug.limits._quotas import QuotaShares
from burdocklug.peers import MemberState
from burdocklug.platform import VersionMismatch

__all__ = ["LimitsPart", "NameRecord"]

log = structlog.get_logger(__name__)

TICK_S = 0.05
IDLE_TICK_S = 0.5  # between ticks while no task waits
REGISTER_PAUSE_S = 1.0
PURPOSE = "process_name"


class NameRecord(msgspec.Struct, frozen=True):
    """Value of a process's name in the store.

    Parameters
    ----------
    incarnation : str
        The process that wrote it.
    left : bool
        Whether that process shut down gracefully; then the two others hold its handover.
    left_at_s : float
        Wall-clock time of the shutdown, in seconds since 1970.
    rest_s : float
        Seconds from then on for which base shares rest.
    lent : list of tuple
        Loans not yet over: team, amount, seconds left.
    """

    incarnation: str
    left: bool = False
    left_at_s: float = 0.0
    rest_s: float = 0.0
    lent: list[tuple[str, int, float]] = []


def store_key(name):
    """Return the store's key of a process's name."""
    return f"processes/{name}"


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
        self._store = process["platform"]
        self._peers = process["peers"]
        self._timers = process.timers
        self._wall_clock = process.wall_clock
        self._fleet = settings.process.fleet or [self._name]
        self._longest_task_s = settings.jobs.longest_task_s
        self._version = 0
        self._running = {}
        self._ticked_s = 0.0
        self._stopped = False
        self.waiting = dict
        self.shares = self._new_shares(None)
        for message_type in QuotaMessage.__args__:
            self._peers.register(message_type, self._receive, inline=True)

    def _new_shares(self, handover):
        return QuotaShares(
            process=self._name,
            fleet=self._fleet,
            started_s=self._timers.now(),
            longest_task_s=self._longest_task_s,
            handover=handover,
        )

    def start(self):
        """Subscribe to the timer service and register the process's name."""
        self._configuration.subscribe(self._set_quotas)
        self._set_quotas()
        self._timers.every(TICK_S, self._tick)
        eventlet.spawn_n(self._register)

    def _register(self):
        """Write the name's record; until then, and after a kill, base shares rest."""
        while not self._stopped:
            try:
                handover = self._take_over_name()
            except BurdocklugError as exc:
                log.info("process_name_not_registered", fault=exc.message)
                eventlet.sleep(REGISTER_PAUSE_S)
                continue
            if handover is not None:
                self._adopt(handover)
            return

    def _take_over_name(self):
        """Return the handover of the last process of this name, or None after a kill."""
        own = msgspec.msgpack.encode(NameRecord(self._peers.incarnation))
        key = store_key(self._name)
        handover = QuotaHandover()
        try:
            entry = self._store.put(key, own, expected_version=0, purpose=PURPOSE)
        except VersionMismatch as exc:
            if exc.current is None:
                raise
            record = msgspec.msgpack.decode(exc.current.value, type=NameRecord)
            version = exc.current.version
            entry = self._store.put(key, own, expected_version=version, purpose=PURPOSE)
            handover = self._handover_of(record)
        self._version = entry.version
        return handover

    def _handover_of(self, record):
        if not record.left:
            return None
        age_s = max(0.0, self._wall_clock() - record.left_at_s)
        lent = (LentShare(team, amount, left_s - age_s) for team, amount, left_s in record.lent)
        return QuotaHandover(
            max(0.0, record.rest_s - age_s), tuple(item for item in lent if item.left_s > 0)
        )

    def _adopt(self, handover):
        """Start over with a handover; nothing can have run on shares that rested until now."""
        self.shares = self._new_shares(handover)
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
            member.name: member.incarnation
            for member in self._peers.members()
            if member.state is MemberState.ALIVE and not member.draining
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
        if any(self._running.values()) or not self._version:
            return
        returns, handover = self.shares.leave(now)
        self._send(returns)
        lent = [(item.team, item.amount, item.left_s) for item in handover.lent]
        record = NameRecord(
            self._peers.incarnation, True, self._wall_clock(), handover.rest_s, lent
        )
        try:
            self._store.put(
                store_key(self._name),
                msgspec.msgpack.encode(record),
                expected_version=self._version,
                purpose=PURPOSE,
            )
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
