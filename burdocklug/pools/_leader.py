"""The scheduling process: its endpoints' agents, and the jobs that other processes hand to it."""

import zlib

import structlog
from eventlet.event import Event

from burdocklug.pools._agent_orders import AgentOrders
from burdocklug.pools._capacity import why_impossible
from burdocklug.pools._endpoint import TOKEN_HOLDERS, EndpointAgent
from burdocklug.pools._following import FENCED
from burdocklug.pools._jobs import progress_of
from burdocklug.pools._load import dump_scheduler, load_of
from burdocklug.pools._messages import (
    AskJob,
    CancelJob,
    CountPending,
    JobAnswer,
    JobCounted,
    JobKnown,
    SubmitJob,
)
from burdocklug.pools._models import JobOutcome
from burdocklug.pools._retry_after import MAX_RETRY_S, bounded_retry_s
from burdocklug.pools._scheduler import Scheduler

__all__ = ["Leader"]

GATHER_S = 0.1  # for the processes to hand in their jobs, before endpoints are looked at
SETTLE_S = 1.2  # over a lease and the drift of its clock: what could not be looked at has lapsed
CALLER_LOST_S = 0.9  # longer than a process waits before it gives up a scheduler
STALE_S = 0.7  # shorter than that, so that no job is taken that was handed to another scheduler
UPKEEP_S = 0.1
LOAD_LOG_S = 1.0
FENCED_SHARE = 0.5  # of the endpoints; then another process schedules them
JOBS_A_SECOND = 50  # that a pool of today's size ends at least, of those that wait

log = structlog.get_logger(__name__)


class Leader:
    """Schedules while this process is the scheduler; idle otherwise.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages of other processes.
    timers : TimerService
        Source of time.
    directory : Directory
        Endpoints and configuration.
    protocol : EndpointOrders
        Carries orders to endpoints.
    following : Following
        Tells which other processes were heard.
    host : HostCapacity
        Tells by how much the loop was late.
    lease_s, distance_factor : float
        Longest lease of a run in seconds; times as long a task takes far from its data.
    """

    def __init__(
        self, network, timers, directory, protocol, following, host, *, lease_s, distance_factor
    ):
        self.scheduler = None
        self._network = network
        self._timers = timers
        self._directory = directory
        self._protocol = protocol
        self._following = following
        self._host = host
        self._lease_s = lease_s
        self._distance_factor = distance_factor
        self._agents = {}
        self._claim = None
        self._began_s = 0.0
        self._pump_due = False
        network.register(JobAnswer)
        network.register(JobCounted)
        network.register(JobKnown)
        network.register(SubmitJob, self._on_submit)
        network.register(CancelJob, self._on_cancel, inline=True)
        network.register(AskJob, self._on_ask, inline=True)
        network.register(CountPending, self._on_count, inline=True)
        directory.subscribe(self._follow_directory)
        timers.every(UPKEEP_S, self._upkeep)
        timers.every(LOAD_LOG_S, self._log_load)

    # Leadership

    def follow_claim(self, claim):
        """Begin, go on or end scheduling, as the claim in force says."""
        own = claim is not None and claim.scheduler == self._network.incarnation
        if not own:
            self._end()
        elif self.scheduler is None:
            self._begin(claim)
        else:
            self._claim = claim
            self._follow_directory()

    def _begin(self, claim):
        self._claim = claim
        self._began_s = self._timers.now()
        orders = AgentOrders()
        self.scheduler = Scheduler(
            orders, now=self._timers.now, distance_factor=self._distance_factor
        )
        self.scheduler.settled = False
        self._agents = orders.agents
        log.info("scheduling_begins", term=claim.term, whole=claim.whole)
        self._timers.after(GATHER_S, self._follow_directory)

    def _end(self):
        if self.scheduler is None:
            return
        scheduler, self.scheduler = self.scheduler, None
        for agent in self._agents.values():
            agent.close()
        self._agents = {}
        log.info("scheduling_ends", jobs=len(scheduler.jobs))
        for job in list(scheduler.jobs.values()):
            waiters, job.waiters = job.waiters, []
            for wake in waiters:
                wake(job)

    def _serves(self, entry):
        return self._claim.serves(entry.failure_domain)

    def _follow_directory(self):
        """Have an agent for each listed endpoint that this process schedules."""
        if self.scheduler is None or self._timers.now() < self._began_s + GATHER_S / 2:
            return
        wanted = {e.endpoint_id: e for e in self._directory.entries.values() if self._serves(e)}
        for endpoint_id in set(self._agents).difference(wanted):
            self._drop_agent(endpoint_id)
        for endpoint_id, entry in wanted.items():
            agent = self._agents.get(endpoint_id)
            if agent is not None and self._is_new_life(agent.room.entry, entry):
                self._drop_agent(endpoint_id)
                agent = None
            if agent is None:
                self._add_agent(entry)
            else:
                agent.note_entry(entry)
        self._pump_soon()

    @staticmethod
    def _is_new_life(before, entry):
        moved = before.address != entry.address
        return moved or (before.started_ms and before.started_ms != entry.started_ms)

    def _add_agent(self, entry):
        room = self.scheduler.add_endpoint(entry)
        agent = EndpointAgent(
            room,
            self.scheduler,
            self._protocol,
            now=self._timers.now,
            lease_s=self._lease_s,
            digit=zlib.crc32(self._network.incarnation.encode()) % TOKEN_HOLDERS,
            wake=self._pump_soon,
        )
        self._agents[entry.endpoint_id] = agent
        agent.begin()

    def _drop_agent(self, endpoint_id):
        agent = self._agents.pop(endpoint_id)
        agent.close()
        self._timers.after(
            max(0.0, agent.lapses_s - self._timers.now()),
            lambda scheduler=self.scheduler, room=agent.room: scheduler.lose_runs(
                room, reason="endpoint_gone"
            ),
        )
        self.scheduler.rooms.pop(endpoint_id, None)

    # Work

    def _pump_soon(self):
        if not self._pump_due:
            self._pump_due = True
            self._timers.after(0.0, self._pump)

    def _pump(self):
        self._pump_due = False
        if self.scheduler is not None:
            self.scheduler.pump()

    def _upkeep(self):
        if self.scheduler is None:
            return
        now = self._timers.now()
        if not self.scheduler.settled:
            looked = all(a.looked for a in self._agents.values()) and self._agents
            if (looked and now > self._began_s + GATHER_S) or now > self._began_s + SETTLE_S:
                log.info("scheduling_settled", after_s=round(now - self._began_s, 3))
                self.scheduler.settle()
        self._suspend_lost(now)
        self.scheduler.forget_ended()
        self.scheduler.pump()
        fenced = sum(a.fenced for a in self._agents.values())
        if fenced and fenced >= FENCED_SHARE * len(self._agents):
            self._following.weigh_claim(FENCED)

    def _log_load(self):
        if self.scheduler is not None:
            self.scheduler.review_slowness()
            late_ms = round(1000 * self._host.take_max_lag_s())
            load = load_of(self.scheduler, self._timers.now())
            log.info("pool_load", **load, loop_late_ms=late_ms)

    def _suspend_lost(self, now):
        heard = self._following.followers.last_heard
        for job in list(self.scheduler.jobs.values()):
            if job.outcome is not None or job.suspended or not job.callers:
                continue
            if all(self._is_lost(sender, heard, now) for sender in job.callers):
                self.scheduler.suspend(job)

    def _is_lost(self, sender, heard, now):
        if sender == self._network.incarnation:
            return False
        return now - max(heard.get(sender, 0.0), self._began_s) > CALLER_LOST_S

    # Jobs of other processes

    def _on_submit(self, sender, message):
        scheduler = self.scheduler
        if scheduler is None or self._is_stale(sender, message):
            return JobAnswer(moved=True)
        now = self._timers.now()
        spec = message.spec
        fault = why_impossible(spec, scheduler.rooms.values()) if scheduler.settled else None
        if fault is not None:
            log.info("job_impossible", job=spec.job_id, reason=fault)
            return JobAnswer(refused=fault, impossible=True, retry_after_s=MAX_RETRY_S)
        job = scheduler.submit(
            spec,
            received_s=now - message.age_s,
            wait_s=message.wait_s,
            quiet_s=message.quiet_s,
            progress=message.progress,
        )
        if job.outcome is not None:
            return JobAnswer(job.outcome)
        return self._wait_for(scheduler, job, sender)

    def _wait_for(self, scheduler, job, sender):
        done = Event()
        job.waiters.append(lambda _job: None if done.ready() else done.send(None))
        job.callers[sender] += 1
        scheduler.pump()
        try:
            done.wait()
        finally:
            job.callers[sender] -= 1
            job.callers += type(job.callers)()  # drops counts of zero
        if job.outcome is not None:
            return JobAnswer(job.outcome)
        if self.scheduler is not scheduler:
            return JobAnswer(moved=True, begun=job.started, progress=progress_of(job))
        return JobAnswer(refused="overload", retry_after_s=self._retry_after_s())

    def _is_stale(self, sender, message):
        if sender == self._network.incarnation:
            return False
        followers, now = self._following.followers, self._timers.now()
        age_s = followers.message_age_s(sender, message.heard_sequence, now)
        if age_s is not None and age_s < STALE_S:
            return False
        log.info("submission_stale", job=message.spec.job_id, sender=sender, age_s=age_s)
        return True

    def _retry_after_s(self):
        """Return when a refused job may come again: later, the more jobs wait."""
        return bounded_retry_s(self.scheduler.waiting_jobs / JOBS_A_SECOND)

    def _on_cancel(self, _sender, message):
        job = self.scheduler.jobs.get(message.job_id) if self.scheduler else None
        if job is None:
            return JobKnown("")
        self.scheduler.end_job(job, JobOutcome.CANCELLED, reason="cancelled")
        self._pump_soon()
        return JobKnown(str(job.outcome))

    def _on_ask(self, _sender, message):
        job = self.scheduler.jobs.get(message.job_id) if self.scheduler else None
        if job is None:
            return JobKnown("")
        if job.outcome is not None:
            return JobKnown(str(job.outcome))
        return JobKnown("running" if job.started else "queued")

    def _on_count(self, _sender, message):
        return JobCounted(self.scheduler.pending(message.queue) if self.scheduler else 0)

    def dump(self):
        """Return the scheduler's state as plain data, None while another process schedules."""
        return dump_scheduler(self.scheduler) if self.scheduler else None
