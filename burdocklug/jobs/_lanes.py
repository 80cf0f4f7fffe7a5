"""One service's lane through this process: its queue, its router and what its tasks cost."""

from burdocklug.limits import FairQueue, RunTimes
from burdocklug.peers import MemberState
from burdocklug.routing import SLOW_WEIGHT, RouteEndpoint, RouteMember, ServiceRouter

__all__ = ["Lane"]

FULL_REFRESH_S = 1.0


class Lane:
    """Waiting and running tasks of one service in this process.

    Parameters
    ----------
    service : str
        The service's name.
    state : ServiceState
        Its configuration.
    ctx : DispatchContext
        The parts of the process.
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
        self.pump_scheduled = False
        self.trials_due_s = 0.0
        self.running = {}
        self._times = RunTimes()
        self._seen = None
        self._full_refresh_s = 0.0
        self._addresses = {}
        self._view = None

    def refresh(self, now):
        """Take configuration, members and health as they are; return messages to send.

        Notes
        -----
        Without an event, endpoints are looked at once in `FULL_REFRESH_S`, which is what ends
        the terms of peers' ejections and of slowness.
        """
        members = self._members()
        seen = (self.ctx.configuration.digest, self.ctx.endpoint_changes(), members)
        if seen == self._seen and now < self._full_refresh_s:
            return []
        self._seen = seen
        self._full_refresh_s = now + FULL_REFRESH_S
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
        if (routes, members) == self._view:
            return []
        self._view = (routes, members)
        return self.router.update(now, routes, members)

    def has_other_endpoints(self):
        """Return whether the usable endpoints may have changed since they were taken over."""
        return self._seen is None or self._seen[1] != self.ctx.endpoint_changes()

    def _route(self, endpoint, now):
        usable = self.ctx.endpoint_usable(self.service, endpoint, now)
        weight = self.ctx.endpoint_view.weight(self.service, endpoint.address, now)
        weight = 1.0 if weight >= SLOW_WEIGHT else round(weight, 1)
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
        """Return whether tasks wait or leases are held."""
        held, _ = self.router.holder.counts()
        return bool(len(self.queue) or held)

    def address_of(self, endpoint):
        """Return the address of an endpoint by name, or None once it is removed."""
        return self._addresses.get(endpoint)

    def eligible(self, team):
        """Return whether a team may start a task now."""
        return self.ctx.team_may_start(team)

    def eligible_tasks(self):
        """Return how many waiting tasks may start now."""
        return self.queue.eligible_tasks(self.eligible)

    def note_started(self, team):
        """Count a started task of a team."""
        self.running[team] = self.running.get(team, 0) + 1
        self.ctx.note_team_started(team)

    def note_ended(self, team):
        """Count a task of a team as no longer running."""
        self.running[team] -= 1
        self.ctx.note_team_ended(team)

    def note_run(self, team, declared_s, run_s):
        """Learn from a task that ended."""
        self._times.observe(team, declared_s=declared_s, run_s=run_s)

    def expected_run_s(self, team, declared_s):
        """Return the run time to expect of a task, in seconds."""
        return self._times.expect(team, declared_s=declared_s)

    def slots_here(self):
        """Return the slots that may serve this process's queue."""
        return self.router.slots()

    def waiting_by_team(self):
        """Return the number of waiting tasks by team."""
        return self.queue.waiting_by_team()

    def slots(self):
        """Return the number of slots of all usable endpoints."""
        routes = self._view[0] if self._view else ()
        return sum(route.slots for route in routes if route.usable)

    def dump(self):
        """Return the lane's state as plain data."""
        held, idle = self.router.holder.counts()
        return {
            "queued": len(self.queue),
            "running": {team: count for team, count in self.running.items() if count},
            "leases": held,
            "idle_leases": idle,
            "usable_slots": self.slots(),
        }
