"""The endpoints that a scheduler holds: one agent for each, kept in line with the directory."""

from burdocklug.pools._evacuations import mark_evacuated
from burdocklug.pools.agents import (
    AgentOrders,
    AnswerTimes,
    EndpointAgent,
    fenced_domains,
    holder_number,
)
from burdocklug.pools.cells import MOVE_DELAY_S, CellView, EndpointShare
from burdocklug.pools.scheduling import find_placement_obstacle

__all__ = ["RESUBMIT_GRACE_S", "EndpointHolder"]

RESUBMIT_GRACE_S = 0.1  # wait before endpoints are contacted, for others to resubmit their jobs


class EndpointHolder:
    """Adds and drops agents so that each endpoint of the scheduler has one; base of `Leader`.

    Parameters
    ----------
    network, timers, directory, protocol, election, host, lease_s, is_paused, cell
        See `Leader`.

    Attributes
    ----------
    scheduler : Scheduler or None
        The scheduler that holds the endpoints, None while this process is not the scheduler.
    """

    def __init__(
        self, network, timers, directory, protocol, election, host, *, lease_s, is_paused, cell
    ):
        self.scheduler = None
        self._network = network
        self._timers = timers
        self._directory = directory
        self._protocol = protocol
        self._election = election
        self._host = host
        self._lease_s = lease_s
        self._is_paused = is_paused
        self._cell = cell or CellView(0)
        self._orders = AgentOrders()
        self._agents = self._orders.agents
        self._times = AnswerTimes()
        self._claim = None
        self._began_s = 0.0
        self._sync_due = False
        self._moves = 0  # changes of the plan whose endpoints still end their runs
        directory.subscribe(self._schedule_sync)

    def schedule_start_waiting(self):
        """Start the waiting tasks that fit; defined by `Leader`."""
        raise NotImplementedError

    def _schedule_sync(self):
        """Bring the agents in line once for all changes in an iteration of the event loop."""
        if self.scheduler is not None and not self._sync_due:
            self._sync_due = True
            self._timers.after(0.0, self._sync_if_due)

    def _sync_if_due(self):
        """Apply the changes of the directory; call this before tasks are placed."""
        if self._sync_due:
            self._sync_due = False
            self._sync_agents()

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
        self._orders.closed_agents.append(agent)
        self._timers.after(
            max(0.0, agent.leases_lapse_s - self._timers.now()),
            lambda orders=self._orders: self._forget_agent(orders, agent),
        )
        self.scheduler.endpoints.pop(endpoint_id, None)

    @staticmethod
    def _forget_agent(orders, agent):
        """Requeue the tasks of a closed agent, as the leases that it granted have expired."""
        orders.closed_agents.remove(agent)
        agent.scheduler.requeue_runs(agent.endpoint, reason="endpoint_gone")
        agent.strays.clear("endpoint_gone")

    @staticmethod
    def _is_restarted(before, entry):
        has_moved = before.address != entry.address
        return has_moved or (before.started_ms and before.started_ms != entry.started_ms)

    def _is_leaving(self, endpoint_id):
        share = self._cell.endpoint_share(endpoint_id, self._timers.now())
        return share is EndpointShare.LEAVING

    def _apply_cold_time(self, endpoint):
        rule = self._directory.configuration.find_service(endpoint.entry.service)
        endpoint.cold_pace.rate_per_s = rule.cold_starts_per_s
        now = self._timers.now()
        until_s = self._directory.cold_until_s.get(endpoint.entry.endpoint_id, 0.0)
        if until_s > now:
            endpoint.warm_up(now, for_s=until_s - now)

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

    def _refuse_unplaceable(self):
        """Refuse the waiting jobs that no endpoint can hold, if all endpoints are known here.

        If there are other cells, jobs that have started elsewhere are given up, to be passed on.
        """
        if self.scheduler is None or not self.scheduler.is_reconciled or self.is_moving:
            return
        self.scheduler.refuse_unplaceable(self.find_obstacle)
        if self._cell.is_split:
            self.scheduler.suspend_unplaceable(self.find_obstacle)

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

    def _is_list_usable(self):
        """Return whether the views of the endpoints and of the evacuations allow starts now."""
        ages = self._directory.entries_age, self._directory.configuration_age
        now = self._timers.now()
        return all(age.is_usable(now, since_s=self._began_s) for age in ages)

    def _is_widely_fenced(self, domain):
        """Return whether many endpoints of a failure domain obeyed another process just before."""
        return domain in fenced_domains(self._agents.values(), lambda a: a.was_fenced)
