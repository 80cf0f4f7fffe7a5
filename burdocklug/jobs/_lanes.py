"""Dispatch state of one service in this process: its queue, router and run time estimates."""

from burdocklug.limits import FairQueue, RunTimes
from burdocklug.peers import MemberState
from burdocklug.routing import SLOW_WEIGHT_THRESHOLD, RouteEndpoint, RouteMember, ServiceRouter

__all__ = ["Lane"]

FULL_REFRESH_S = 1.0  # maximum time between two checks of all endpoints


class Lane:
    """Waiting and running tasks of one service in this process, and the slots for them.

    Parameters
    ----------
    service : str
        Name of the service.
    state : ServiceState
        Configuration of the service.
    ctx : DispatchContext
        Components of the process.
    """

    def __init__(self, service, state, ctx):
        self.service = service
        self.state = state
        self.ctx = ctx
        self.queue = FairQueue(max_tasks=state.max_queue)
        self.router = ServiceRouter(
            service=service,
            incarnation=ctx.incarnation,
            failure_domain=ctx.failure_domain,
            weight=state.weight,
        )
        self.dispatch_scheduled = False
        self.next_probe_s = 0.0
        self.running = {}
        self._run_times = RunTimes()
        self._refresh_inputs = None
        self._next_full_refresh_s = 0.0
        self._addresses = {}
        self._routing_inputs = None

    def refresh(self, now):
        """Update the lane from configuration, members and endpoint health.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of Outgoing
            Messages to send to peers.

        Notes
        -----
        Without any change the endpoints are still checked every `FULL_REFRESH_S` seconds: peers'
        ejections and slow marks expire by time, without an event.
        """
        members = self._members()
        inputs = (self.ctx.configuration.digest, self.ctx.endpoint_changes(), members)
        if inputs == self._refresh_inputs and now < self._next_full_refresh_s:
            return []
        self._refresh_inputs = inputs
        self._next_full_refresh_s = now + FULL_REFRESH_S
        state = self.ctx.configuration.service(self.service)
        if state is not None:
            self.state = state
            self.queue.max_tasks = state.max_queue
        endpoints = self.ctx.configuration.endpoints(self.service) if state else ()
        self.ctx.endpoint_view.set_endpoints(self.service, endpoints)
        for team in self.ctx.configuration.teams():
            self.queue.set_weight(team, self.ctx.configuration.team(team).weight)
        self._addresses = {endpoint.name: endpoint.address for endpoint in endpoints}
        routes = [self._route(endpoint, now) for endpoint in endpoints]
        if (routes, members) == self._routing_inputs:
            return []
        self._routing_inputs = (routes, members)
        return self.router.update(now, routes, members)

    def has_endpoint_changes(self):
        """Return whether the usable endpoints may have changed since the last refresh."""
        return (
            self._refresh_inputs is None or self._refresh_inputs[1] != self.ctx.endpoint_changes()
        )

    def _route(self, endpoint, now):
        usable = self.ctx.endpoint_usable(self.service, endpoint, now)
        weight = self.ctx.endpoint_view.weight(self.service, endpoint.address, now)
        weight = 1.0 if weight >= SLOW_WEIGHT_THRESHOLD else round(weight, 1)
        return RouteEndpoint(endpoint.name, endpoint.failure_domain, endpoint.slots, usable, weight)

    def _members(self):
        own = RouteMember(self.ctx.incarnation, self.ctx.failure_domain)
        others = [
            RouteMember(
                member.incarnation,
                member.failure_domain,
                member.state is not MemberState.SUSPECT,
            )
            for member in self.ctx.live_members()
            if member.incarnation != self.ctx.incarnation
        ]
        return [own, *sorted(others, key=lambda member: member.incarnation)]

    def is_active(self):
        """Return whether the lane has waiting tasks or holds leases."""
        held, _ = self.router.holder.lease_counts()
        return bool(len(self.queue) or held)

    def address_of(self, endpoint):
        """Return the address of the endpoint with this name, or None if it was removed."""
        return self._addresses.get(endpoint)

    def is_eligible(self, team):
        """Return whether the quota of a team allows it to start a task now."""
        return self.ctx.team_may_start(team)

    def eligible_task_count(self):
        """Return the number of waiting tasks whose teams may start a task now."""
        return self.queue.eligible_task_count(self.is_eligible)

    def note_started(self, team):
        """Count a task of a team as running."""
        self.running[team] = self.running.get(team, 0) + 1
        self.ctx.note_team_started(team)

    def note_ended(self, team):
        """Count a task of a team as no longer running."""
        self.running[team] -= 1
        self.ctx.note_team_ended(team)

    def observe_run_time(self, team, declared_s, run_s):
        """Update the run time estimate of a team with the run time of a finished task."""
        self._run_times.observe(team, declared_s=declared_s, run_s=run_s)

    def expected_run_s(self, team, declared_s):
        """Return the expected run time of a task, in seconds."""
        return self._run_times.expected_run_s(team, declared_s=declared_s)

    def expected_slots(self):
        """Return the number of slots that this process's queue can expect to use."""
        return self.router.expected_slots()

    def waiting_by_team(self):
        """Return the number of waiting tasks by team."""
        return self.queue.waiting_by_team()

    def usable_slots(self):
        """Return the total number of slots of the usable endpoints."""
        routes = self._routing_inputs[0] if self._routing_inputs else ()
        return sum(route.slots for route in routes if route.usable)

    def dump(self):
        """Return the lane's state as plain data."""
        held, idle = self.router.holder.lease_counts()
        return {
            "queued": len(self.queue),
            "running": {team: count for team, count in self.running.items() if count},
            "leases": held,
            "idle_leases": idle,
            "usable_slots": self.usable_slots(),
        }
