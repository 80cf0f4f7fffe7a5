"""The jobs part of a process: ledger, dispatcher, job service and graceful shutdown."""

import eventlet
import structlog

from burdocklug.jobs._claims import Claims
from burdocklug.jobs._context import DispatchContext
from burdocklug.jobs._dispatch import Dispatcher
from burdocklug.jobs._handover import HandOverSender, register_handover
from burdocklug.jobs._ledger import Ledger
from burdocklug.jobs._service import JobService
from burdocklug.kernel import part
from burdocklug.routing import SlotMessage

__all__ = ["JobsPart"]

log = structlog.get_logger(__name__)

DRAIN_POLL_S = 0.02


class JobsPart:
    """Builds and connects the components for submissions and jobs in one process.

    Parameters
    ----------
    process : Process
        The process, with the parts that this one needs.
    """

    def __init__(self, process):
        self._process = process
        self._peers = process["peers"]
        self._settings = process.settings.jobs
        self.ledger = Ledger(
            max_sessions=self._settings.max_sessions,
            max_records=self._settings.max_records_per_session,
            max_bytes=self._settings.max_ledger_bytes,
            idle_s=self._settings.session_idle_s,
        )
        self.dispatcher = Dispatcher(self._dispatch_context())
        self.service = self._job_service()
        process["limits"].waiting_by_team = self.dispatcher.waiting_by_team
        register_handover(self._peers, self.ledger, now=process.timers.now)
        for message_type in SlotMessage.__args__:
            self._peers.register(message_type, self.dispatcher.receive_slot_message, inline=True)
        self._peers.add_heartbeat_part(
            "slots", self.dispatcher.slot_loads, self.dispatcher.receive_slot_loads
        )

    def _dispatch_context(self):
        process = self._process
        endpoints = process["endpoints"]
        return DispatchContext(
            settings=self._settings,
            timers=process.timers,
            configuration=process["tickets"].configuration,
            peers=self._peers,
            ledger=self.ledger,
            incarnation=self._peers.incarnation,
            failure_domain=process.settings.process.failure_domain,
            run_attempt=endpoints.run_attempt,
            cancel_attempt=endpoints.cancel_attempt,
            endpoint_view=endpoints.view,
            endpoint_usable=endpoints.usable,
            endpoint_changes=endpoints.changes,
            live_members=self._live_members,
            team_may_start=process["limits"].may_start,
            note_team_started=process["limits"].note_started,
            note_team_ended=process["limits"].note_ended,
            retry_budget=endpoints.budget,
            retry_delay_s=endpoints.retry_delay_s,
        )

    def _job_service(self):
        process = self._process
        claims = Claims(
            process["platform"],
            self._peers.incarnation,
            window_s=self._settings.claim_window_s,
            now=process.timers.now,
        )
        return JobService(
            self._settings,
            incarnation=self._peers.incarnation,
            ledger=self.ledger,
            dispatcher=self.dispatcher,
            claims=claims,
            peers=self._peers,
            clock=process.timers.now,
            wall_clock=process.wall_clock,
        )

    def _live_members(self):
        return [
            member
            for member in self._peers.members()
            if member.state.is_alive_or_suspect and not member.draining
        ]

    def start(self):
        """Start the dispatcher."""
        self.dispatcher.start_timers()

    def drain(self):
        """Refuse new jobs, wait for running jobs to end, then hand the ledger to a successor."""
        self.service.draining = True
        self._peers.draining = True
        now = self._process.timers.now
        until_s = now() + self._settings.shutdown_s
        while self.dispatcher.jobs and now() < until_s:
            eventlet.sleep(DRAIN_POLL_S)
        self.service.freeze()
        if self.dispatcher.jobs:
            log.warning(
                "jobs_left_at_shutdown",
                jobs=sorted(self.dispatcher.jobs),
                lanes={name: lane.dump() for name, lane in self.dispatcher.lanes.items()},
                limits=self._process["limits"].dump(),
            )
            self.dispatcher.abandon_all()
        successor = HandOverSender(self._peers, self.ledger).hand_over()
        self.service.unfreeze(successor)
        self._peers.leave(successor)

    def dump(self):
        """Return the state of submissions and queues as plain data."""
        return {
            "sessions": len(self.ledger.sessions),
            "claims": len(self.ledger.caller_key_records),
            "ledger_bytes": self.ledger.bytes,
            "running_jobs": len(self.dispatcher.jobs),
            "counts": self.counts(),
            "lanes": {name: lane.dump() for name, lane in self.dispatcher.lanes.items()},
        }

    def counts(self):
        """Return counters by name."""
        return {**self.service.counts, **self.dispatcher.counts()}


@part("jobs", needs=("peers", "tickets", "endpoints", "limits", "platform"))
def build_jobs(process):
    """Return the jobs part of a process."""
    return JobsPart(process)
