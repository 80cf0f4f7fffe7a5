"""The leader of a pool: runs the scheduler and its agents while this process has the role."""

import structlog

from burdocklug.pools._endpoint_holder import RESUBMIT_GRACE_S, EndpointHolder
from burdocklug.pools._job_server import DEFAULT_MAX_JOB_BYTES, JobServer
from burdocklug.pools._lease_times import ACKNOWLEDGED_TIMEOUT_S, UPKEEP_S
from burdocklug.pools.agents import AgentOrders, AnswerTimes, fenced_domains
from burdocklug.pools.election import FENCED
from burdocklug.pools.scheduling import Scheduler, dump_scheduler, scheduler_load

__all__ = ["Leader"]

# Exceeds a lease plus clock drift: runs on endpoints that gave no report by then have lapsed.
SETTLE_S = 1.2
FOLLOWER_TIMEOUT_S = 0.9  # longer than a follower waits for a scheduler that is lost
ABSENT_AFTER_S = 0.3  # longer than a follower's heartbeat period and a round trip
LOAD_LOG_S = 1.0

log = structlog.get_logger(__name__)


class Leader(EndpointHolder):
    """Runs a `Scheduler` while this process holds the claim in force; idle otherwise.

    Parameters
    ----------
    network : PeerNetwork
        Network to the other processes.
    timers : TimerService
        Clock and timers.
    directory : Directory
        Endpoints to schedule, and the configuration.
    protocol : EndpointOrders
        Protocol that carries orders to endpoints.
    election : SchedulerElection
        Source of the last heartbeats of other processes.
    host : HostCapacity
        Source of the event loop's lag.
    lease_s, distance_factor : float
        Longest lease of a run in seconds; run time of a task away from the rack of its data, as a
        multiple of the time on that rack.
    is_paused : callable
        Returns whether this process was paused and may have lost the scheduler's role meanwhile.
    cell : CellView, optional
        The endpoints and jobs of the cell; all of them by default.
    max_job_bytes : int, optional
        Memory for jobs, beyond which a new job is refused.
    """

    def __init__(
        self,
        network,
        timers,
        directory,
        protocol,
        election,
        host,
        *,
        lease_s,
        distance_factor,
        is_paused,
        cell=None,
        max_job_bytes=DEFAULT_MAX_JOB_BYTES,
    ):
        super().__init__(
            network,
            timers,
            directory,
            protocol,
            election,
            host,
            lease_s=lease_s,
            is_paused=is_paused,
            cell=cell,
        )
        self._distance_factor = distance_factor
        self._start_waiting_due = False
        self._is_view_usable = True
        self._server = JobServer(
            self,
            network,
            timers,
            directory,
            election,
            is_paused=is_paused,
            cell=self._cell,
            max_job_bytes=max_job_bytes,
        )
        timers.every(UPKEEP_S, self._upkeep)
        timers.every(LOAD_LOG_S, self._log_load)

    def apply_claim(self, claim):
        """Start, continue or stop scheduling according to the claim in force.

        Parameters
        ----------
        claim : Claim or None
            The claim in force, None if there is none.
        """
        own = claim is not None and claim.scheduler == self._network.incarnation
        if not own:
            self._stop_scheduling()
        elif self.scheduler is None:
            self._start_scheduling(claim)
        else:
            self._claim = claim
            self._sync_agents()

    def _start_scheduling(self, claim):
        self._claim = claim
        self._began_s = self._timers.now()
        self._orders = AgentOrders()
        self.scheduler = Scheduler(
            self._orders, now=self._timers.now, distance_factor=self._distance_factor
        )
        self.scheduler.is_reconciled = False
        self._agents = self._orders.agents
        self._times = AnswerTimes()
        log.info("scheduling_begins", term=claim.term, whole=claim.is_full)
        self._timers.after(RESUBMIT_GRACE_S, self._sync_agents)

    def _stop_scheduling(self):
        if self.scheduler is None:
            return
        scheduler, self.scheduler = self.scheduler, None
        self._stop_jobs_of_absent(scheduler)
        for agent in self._agents.values():
            agent.close()
        self._agents = {}
        log.info("scheduling_ends", jobs=len(scheduler.jobs))
        for job in list(scheduler.jobs.values()):
            scheduler.notify_callers(job)

    def _stop_jobs_of_absent(self, scheduler):
        """Stop the runs of jobs whose callers' processes may follow another scheduler already.

        They submit these jobs there without progress, and it starts them anew `TAKEOVER_DELAY_S`
        after they last heard this one: leases that were renewed since would outlast that.
        """
        now = self._timers.now()
        for job in scheduler.jobs.values():
            if job.outcome is None and all(
                self._is_lost(sender, now, timeout_s=ABSENT_AFTER_S) for sender in job.callers
            ):
                scheduler.suspend(job)

    def schedule_start_waiting(self):
        """Start the waiting tasks that fit, once for all calls in an iteration of the loop."""
        if not self._start_waiting_due:
            self._start_waiting_due = True
            self._timers.after(0.0, self._start_waiting)

    def _start_waiting(self):
        self._start_waiting_due = False
        if self.scheduler is not None and not self._is_paused():
            self._start_tasks()

    def _start_tasks(self):
        self._sync_if_due()
        now = self._timers.now()
        ages = self._directory.entries_age, self._directory.configuration_age
        is_usable = self._is_list_usable()
        if is_usable != self._is_view_usable:
            self._is_view_usable = is_usable
            entries_s, operators_s = (round(min(age.age_s(now), now), 3) for age in ages)
            log.info(
                "endpoint_view", usable=is_usable, age_s=entries_s, evacuations_age_s=operators_s
            )
        if is_usable:
            self.scheduler.listed_s = self._listed_s()
            self.scheduler.start_waiting()

    def _listed_s(self):
        """Return when the list was read by which this scheduler holds all endpoints; else -inf."""
        is_whole = self._claim.is_full and not self.is_moving and not self._orders.closed_agents
        return self._directory.entries_age.read_s if is_whole else float("-inf")

    def _upkeep(self):
        if self.scheduler is None or self._is_paused():
            return
        now = self._timers.now()
        if not self.scheduler.is_reconciled:
            all_contacted = all(a.is_synchronized for a in self._agents.values()) and self._agents
            if (
                all_contacted and now > self._began_s + RESUBMIT_GRACE_S
            ) or now > self._began_s + SETTLE_S:
                log.info("scheduling_settled", after_s=round(now - self._began_s, 3))
                self.scheduler.mark_reconciled()
                if self._directory.evacuations or self._cell.is_split:
                    self._refuse_unplaceable()
        self.scheduler.expire_overdue()
        self._suspend_abandoned(now)
        self.scheduler.forget_ended()
        self._start_tasks()
        if fenced := fenced_domains(self._agents.values(), lambda agent: agent.fenced):
            self._election.recheck_claim(FENCED, domains=fenced)

    def _log_load(self):
        if self.scheduler is not None:
            self.scheduler.update_median_slowness()
            self.scheduler.cancellations.forget(self._timers.now())
            self.scheduler.passed_on.forget(self._timers.now())
            lag_ms = round(1000 * self._host.take_max_lag_s())
            load = scheduler_load(self.scheduler, self._timers.now())
            log.info("pool_load", **load, loop_late_ms=lag_ms)
            self._log_followers_behind()

    def _log_followers_behind(self):
        version = self._directory.configuration.version
        versions = self._election.followers.versions_behind(version, self._timers.now())
        if versions:
            log.info(
                "followers_behind", version=version, followers=len(versions), oldest=versions[0]
            )

    def _suspend_abandoned(self, now):
        for job in list(self.scheduler.jobs.values()):
            if job.outcome is not None or job.suspended or not job.callers:
                continue
            self.update_contact(job)
            if all(self._is_lost(sender, now) for sender in job.callers):
                self.scheduler.suspend(job)

    def update_contact(self, job):
        """Update until when the processes of a job's callers are known to have heard this one."""
        job.contact_s = max(self._acknowledged_s(sender) for sender in job.callers)

    def _acknowledged_s(self, sender):
        """Return when the last reply was sent that a process is known to have received."""
        if sender == self._network.incarnation:
            return float("inf")
        acknowledged_s = self._election.followers.acknowledged_s
        return max(acknowledged_s.get(sender, 0.0), self._began_s)

    def _is_lost(self, sender, now, *, timeout_s=FOLLOWER_TIMEOUT_S):
        if sender == self._network.incarnation:
            return False
        followers = self._election.followers
        heard_s = max(followers.last_heartbeat_s.get(sender, 0.0), self._began_s)
        is_unacknowledged = now - self._acknowledged_s(sender) > ACKNOWLEDGED_TIMEOUT_S
        return now - heard_s > timeout_s or is_unacknowledged

    def dump(self):
        """Return the scheduler's state as plain data, None while this process does not lead."""
        return dump_scheduler(self.scheduler, self._timers.now()) if self.scheduler else None
