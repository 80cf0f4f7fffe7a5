"""The leader of a pool: runs the scheduler and its agents while this process has the role."""

import structlog

from burdocklug.pools._evacuations import mark_evacuated
from burdocklug.pools._job_server import JobServer
from burdocklug.pools.agents import (
    AgentOrders,
    AnswerTimes,
    EndpointAgent,
    fenced_domains,
    holder_number,
)
from burdocklug.pools.cells import MOVE_DELAY_S, CellView, EndpointShare
from burdocklug.pools.election import FENCED
from burdocklug.pools.scheduling import (
    Scheduler,
    dump_scheduler,
    find_placement_obstacle,
    scheduler_load,
)

__all__ = ["Leader"]

RESUBMIT_GRACE_S = 0.1  # wait before endpoints are contacted, for others to resubmit their jobs
# Exceeds a lease plus clock drift: runs on endpoints that gave no report by then have lapsed.
SETTLE_S = 1.2
FOLLOWER_TIMEOUT_S = 0.9  # longer than a follower waits for a scheduler that is lost
# Since the last reply that a follower received. It submits its jobs elsewhere, where they start
# `TAKEOVER_DELAY_S` after that reply; the difference is for the upkeep and the stops.
ACKNOWLEDGED_TIMEOUT_S = 1.0
ABSENT_AFTER_S = 0.3  # longer than a follower's heartbeat period and a round trip
UPKEEP_S = 0.1
LOAD_LOG_S = 1.0

log = structlog.get_logger(__name__)


class Leader:
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
    ):
        self.scheduler = None
        self._network = network
        self._timers = timers
        self._directory = directory
        self._protocol = protocol
        self._election = election
        self._host = host
        self._lease_s = lease_s
        self._distance_factor = distance_factor
        self._is_paused = is_paused
        self._cell = cell or CellView(0)
        self._agents = {}
        self._times = AnswerTimes()
        self._claim = None
        self._began_s = 0.0
        self._start_waiting_due = False
        self._is_view_usable = True
        self._moves = 0  # changes of the plan whose endpoints still end their runs
        self._server = JobServer(
            self, network, timers, directory, election, is_paused=is_paused, cell=self._cell
        )
        directory.subscribe(self._sync_agents)
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
        orders = AgentOrders()
        self.scheduler = Scheduler(
            orders, now=self._timers.now, distance_factor=self._distance_factor
        )
        self.scheduler.is_reconciled = False
        self._agents = orders.agents
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

    def note_plan(self):
        """Apply a change of the pool's division into cells.

        Jobs that have gone to another cell are given up, and their callers' processes submit them
        there; endpoints that have gone end their runs first.
        """
        self._moves += 1
        self._timers.after(MOVE_DELAY_S, self._finish_move)
        if self.scheduler is None:
            return
        self.scheduler.passed_on.clear()
        for job in list(self.scheduler.jobs.values()):
            if job.outcome is None and not self._cell.has_job(job.job_id):
                self.scheduler.suspend(job)
        self._sync_agents()

    @property
    def is_moving(self):
        """Whether endpoints may still change their cell after a change of the plan."""
        return self._moves > 0

    def _finish_move(self):
        self._moves -= 1
        self._sync_agents()
        self._refuse_unplaceable()

    def _refuse_unplaceable(self):
        """Refuse the waiting jobs that no endpoint can hold, if all endpoints are known here.

        If there are other cells, jobs that have started elsewhere are given up, to be passed on.
        """
        if self.scheduler is None or not self.scheduler.is_reconciled or self.is_moving:
            return
        self.scheduler.refuse_unplaceable(self.find_obstacle)
        if self._cell.is_split:
            self.scheduler.suspend_unplaceable(self.find_obstacle)

    def _serves(self, entry):
        """Return whether this scheduler holds an endpoint, if only until its runs have ended."""
        if not self._claim.serves(entry.failure_domain):
            return False
        share = self._cell.endpoint_share(entry.endpoint_id, self._timers.now())
        is_held = entry.endpoint_id in self._agents
        return share is EndpointShare.OWN or (share is EndpointShare.LEAVING and is_held)

    def _sync_agents(self):
        """Add and drop agents so that each listed endpoint of this scheduler has one."""
        if self.scheduler is None or self._timers.now() < self._began_s + RESUBMIT_GRACE_S / 2:
            return
        wanted = {e.endpoint_id: e for e in self._directory.entries.values() if self._serves(e)}
        for endpoint_id in set(self._agents).difference(wanted):
            self._drop_agent(endpoint_id)
        for endpoint_id, entry in wanted.items():
            agent = self._agents.get(endpoint_id)
            if agent is not None and self._is_restarted(agent.endpoint.entry, entry):
                self._drop_agent(endpoint_id)
                agent = None
            if agent is None:
                self._add_agent(entry)
            else:
                agent.note_entry(entry)
            self._agents[endpoint_id].set_leaving(self._is_leaving(endpoint_id))
            self._apply_cold_time(self._agents[endpoint_id].endpoint)
        self._apply_evacuations()
        self.schedule_start_waiting()

    def _apply_cold_time(self, endpoint):
        rule = self._directory.configuration.find_service(endpoint.entry.service)
        endpoint.cold_pace.rate_per_s = rule.cold_starts_per_s
        now = self._timers.now()
        until_s = self._directory.cold_until_s.get(endpoint.entry.endpoint_id, 0.0)
        if until_s > now:
            endpoint.warm_up(now, for_s=until_s - now)

    def _is_leaving(self, endpoint_id):
        share = self._cell.endpoint_share(endpoint_id, self._timers.now())
        return share is EndpointShare.LEAVING

    def _apply_evacuations(self):
        endpoints = self.scheduler.endpoints.values()
        if mark_evacuated(endpoints, self._directory.evacuations, self._timers.now()):
            self._refuse_unplaceable()

    def find_obstacle(self, spec):
        """Return why no endpoint can ever run a job, or None if one can.

        An endpoint that goes to another cell doesn't count.
        """
        endpoints = [agent.endpoint for agent in self._agents.values() if not agent.is_leaving]
        return find_placement_obstacle(spec, endpoints, has_others=not self._claim.is_full)

    @staticmethod
    def _is_restarted(before, entry):
        has_moved = before.address != entry.address
        return has_moved or (before.started_ms and before.started_ms != entry.started_ms)

    def _add_agent(self, entry):
        endpoint = self.scheduler.add_endpoint(entry)
        agent = EndpointAgent(
            endpoint,
            self.scheduler,
            self._protocol,
            now=self._timers.now,
            lease_s=self._lease_s,
            holder_number=holder_number(self._network.incarnation),
            wake=self.schedule_start_waiting,
            is_paused=self._is_paused,
            times=self._times,
            loop_lag_s=lambda: self._host.recent_lag_s,
            is_contested=lambda: entry.failure_domain in self._election.contested,
            is_list_usable=self._is_list_usable,
            is_widely_fenced=lambda: self._is_widely_fenced(entry.failure_domain),
        )
        self._agents[entry.endpoint_id] = agent
        agent.begin()

    def _drop_agent(self, endpoint_id):
        agent = self._agents.pop(endpoint_id)
        agent.close()
        self._timers.after(
            max(0.0, agent.leases_lapse_s - self._timers.now()),
            lambda scheduler=self.scheduler, endpoint=agent.endpoint: scheduler.requeue_runs(
                endpoint, reason="endpoint_gone"
            ),
        )
        self.scheduler.endpoints.pop(endpoint_id, None)

    def schedule_start_waiting(self):
        """Start the waiting tasks that fit, once for all calls in an iteration of the loop."""
        if not self._start_waiting_due:
            self._start_waiting_due = True
            self._timers.after(0.0, self._start_waiting)

    def _start_waiting(self):
        self._start_waiting_due = False
        if self.scheduler is not None and not self._is_paused():
            self._start_tasks()

    def _is_list_usable(self):
        """Return whether the views of the endpoints and of the evacuations allow starts now."""
        ages = self._directory.entries_age, self._directory.configuration_age
        now = self._timers.now()
        return all(age.is_usable(now, since_s=self._began_s) for age in ages)

    def _start_tasks(self):
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
            self.scheduler.start_waiting()

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

    def _is_widely_fenced(self, domain):
        """Return whether many endpoints of a failure domain obeyed another process just before."""
        return domain in fenced_domains(self._agents.values(), lambda a: a.was_fenced)

    def _log_load(self):
        if self.scheduler is not None:
            self.scheduler.update_median_slowness()
            self.scheduler.cancellations.forget(self._timers.now())
            self.scheduler.passed_on.forget(self._timers.now())
            lag_ms = round(1000 * self._host.take_max_lag_s())
            load = scheduler_load(self.scheduler, self._timers.now())
            log.info("pool_load", **load, loop_late_ms=lag_ms)

    def _suspend_abandoned(self, now):
        for job in list(self.scheduler.jobs.values()):
            if job.outcome is not None or job.suspended or not job.callers:
                continue
            if all(self._is_lost(sender, now) for sender in job.callers):
                self.scheduler.suspend(job)

    def _is_lost(self, sender, now, *, timeout_s=FOLLOWER_TIMEOUT_S):
        if sender == self._network.incarnation:
            return False
        followers = self._election.followers
        heard_s = max(followers.last_heartbeat_s.get(sender, 0.0), self._began_s)
        acknowledged_s = max(followers.acknowledged_s.get(sender, 0.0), self._began_s)
        return now - heard_s > timeout_s or now - acknowledged_s > ACKNOWLEDGED_TIMEOUT_S

    def dump(self):
        """Return the scheduler's state as plain data, None while this process does not lead."""
        return dump_scheduler(self.scheduler, self._timers.now()) if self.scheduler else None
