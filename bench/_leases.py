"""The product's slot leases in the virtual fleet."""

from bench._fleet import Process
from bench._ways import HEARTBEAT_S, ways
from burdocklug.routing import (
    TICK_S,
    LeaseOutcome,
    RouteEndpoint,
    RouteMember,
    ServiceRouter,
)

__all__ = ["LeaseProcess"]

CAUSES = {
    "SlotRequest": "request",
    "SlotGrant": "grant",
    "SlotReturn": "return",
    "SlotRecall": "recall",
    "SlotReport": "report",
    "SlotRenewal": "renewal",
}
DETECT_S = 5.0  # until a dead process is known to be dead


@ways.register("leases")
class LeaseProcess(Process):
    """A process that runs `ServiceRouter`.

    Parameters
    ----------
    weight : str, optional
        Weight of the service; the deployment's by default.
    """

    def __init__(self, fleet, number, failure_domain, *, weight=None):
        super().__init__(fleet, number, failure_domain)
        self.router = ServiceRouter(
            service="service",
            incarnation=self.name,
            failure_domain=failure_domain,
            weight=weight or fleet.deployment.weight,
        )
        self.unusable = frozenset()
        self.timer_s = None

    def prepare(self):
        """Learn the fleet and start the tick."""
        self.update()
        self.fleet.loop.after(TICK_S, self._tick)
        self.fleet.loop.after(HEARTBEAT_S, self._heartbeat)

    def update(self):
        """Take the present endpoints and the members that aren't known to be dead."""
        endpoints = [
            RouteEndpoint(e.name, e.failure_domain, e.slots, usable=e.name not in self.unusable)
            for e in self.fleet.endpoints.values()
        ]
        members = [
            RouteMember(p.name, p.failure_domain)
            for p in self.fleet.processes
            if p.alive and self.fleet.linked(self.failure_domain, p.failure_domain)
        ]
        self._send(self.router.update(self.fleet.loop.now_s, endpoints, members))

    def _send(self, outgoing):
        for item in outgoing:
            self.fleet.send(self, item.to, item.message, CAUSES[type(item.message).__name__])

    def _tick(self):
        if self.alive:
            self.dispatch()
            self.fleet.loop.after(TICK_S, self._tick)

    def _heartbeat(self):
        if not self.alive:
            return
        load = self.router.load(self.fleet.loop.now_s)
        for process in self.fleet.processes:
            if load is not None and process is not self:
                if self.fleet.linked(self.failure_domain, process.failure_domain):
                    process.receive(self.name, load)
        self.fleet.loop.after(HEARTBEAT_S, self._heartbeat)

    def dispatch(self):
        """Start tasks on the leases that the router gives."""
        now_s = self.fleet.loop.now_s
        leases, outgoing = self.router.pump(now_s, len(self.queue))
        for lease in leases:
            entry = self.queue.pop()
            self.fleet.start(self, lease.endpoint, entry.task_ref, lease)
        self._send(outgoing)
        due_s = self.router.holder.next_due_s()
        if due_s < now_s + TICK_S and due_s != self.timer_s:
            self.timer_s = due_s
            self.fleet.loop.after(max(0.0, due_s - now_s), self._due)

    def _due(self):
        if self.alive:
            self.dispatch()

    def receive(self, sender, message):
        """Take a message of another process."""
        self._send(self.router.receive(self.fleet.loop.now_s, sender, message))
        if type(message).__name__ in ("SlotGrant", "SlotRecall"):
            self.dispatch()

    def finished(self, task, endpoint, lease):
        """Give the lease back to the router and go on."""
        run_s = task.run_s * endpoint.slowdown
        self.router.release(self.fleet.loop.now_s, lease, LeaseOutcome.FINISHED, run_s=run_s)
        self.fleet.complete(task)
        self.dispatch()

    def refused(self, task, endpoint, lease):
        """Queue the task again."""
        outcome = LeaseOutcome.FULL if endpoint.alive else LeaseOutcome.LOST
        self.router.release(self.fleet.loop.now_s, lease, outcome)
        now_s = self.fleet.loop.now_s
        self.queue.push(
            task, team=task.job.team, job=task.job.key, cost_s=task.declared_s, now_s=now_s
        )
        self.dispatch()
