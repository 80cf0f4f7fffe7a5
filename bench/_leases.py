"""The product's slot leases in the virtual fleet."""

import random

from bench._fleet import Process
from bench._ways import HEARTBEAT_S, ways
from burdocklug.endpoints import EndpointHealth, Outcome, OutcomeKind
from burdocklug.kernel import BurdocklugError
from burdocklug.limits import AdmissionLimits, EndpointSize, JobDemand, RunTimes, admit
from burdocklug.routing import (
    TICK_S,
    LeaseOutcome,
    RouteEndpoint,
    RouteMember,
    ServiceRouter,
)

__all__ = ["DETECT_S", "LeaseProcess"]

CAUSES = {
    "SlotRequest": "request",
    "SlotGrant": "grant",
    "SlotReturn": "return",
    "SlotRecall": "recall",
    "SlotReport": "report",
    "SlotRenewal": "renewal",
}
DETECT_S = 5.0  # until a dead process is known to be dead
MAX_TASKS = 1700


@ways.register("leases")
class LeaseProcess(Process):
    """A process that runs `ServiceRouter` with health, corrected run times and admission.

    Parameters
    ----------
    weight : str, optional
        Weight of the service; the deployment's by default.
    admission : bool, optional
        Whether jobs are refused that would miss their deadline.
    """

    def __init__(self, fleet, number, failure_domain, *, weight=None, admission=False):
        super().__init__(fleet, number, failure_domain)
        self.router = ServiceRouter(
            service="service",
            incarnation=self.name,
            failure_domain=failure_domain,
            weight=weight or fleet.deployment.weight,
        )
        self.admission = admission
        self.times = RunTimes()
        self.timer_s = None
        domains = {e.name: e.failure_domain for e in fleet.endpoints.values()}
        self.health = EndpointHealth(domains, rng=random.Random(number))
        self.weights = {}

    def prepare(self):
        """Learn the fleet and start the tick."""
        self.weights = self._weights()
        self.update()
        self.fleet.loop.after(TICK_S, self._tick)
        self.fleet.loop.after(HEARTBEAT_S, self._heartbeat)

    def update(self):
        """Take the present endpoints and the members that aren't known to be dead."""
        endpoints = [
            RouteEndpoint(
                e.name, e.failure_domain, e.slots, usable=weight > 0, weight=weight or 1.0
            )
            for e, weight in ((e, self.weights[e.name]) for e in self.fleet.endpoints.values())
        ]
        members = [
            RouteMember(p.name, p.failure_domain)
            for p in self.fleet.processes
            if p.alive and self.fleet.linked(self.failure_domain, p.failure_domain)
        ]
        self._send(self.router.update(self.fleet.loop.now_s, endpoints, members))

    def _weights(self):
        now_s = self.fleet.loop.now_s
        names = self.fleet.endpoints
        return {name: round(self.health.weight(name, now_s), 1) for name in names}

    def _send(self, outgoing):
        for item in outgoing:
            self.fleet.send(self, item.to, item.message, CAUSES[type(item.message).__name__])

    def _tick(self):
        if not self.alive:
            return
        weights = self._weights()
        if weights != self.weights:
            self.weights = weights
            self.update()
        self._start_trials()
        self.dispatch()
        self.fleet.loop.after(TICK_S, self._tick)

    def _start_trials(self):
        now_s = self.fleet.loop.now_s
        for name, weight in self.weights.items():
            if weight == 0 and len(self.queue) and self.health.try_acquire_probe(name, now_s):
                entry = self._pop()
                if entry is not None:
                    self.fleet.start(self, name, entry.task_ref)

    def _heartbeat(self):
        if not self.alive:
            return
        load = self.router.load(self.fleet.loop.now_s)
        for process in self.fleet.processes:
            if load is not None and process is not self:
                if self.fleet.linked(self.failure_domain, process.failure_domain):
                    process.receive(self.name, load)
        self.fleet.loop.after(HEARTBEAT_S, self._heartbeat)

    def arrive(self, job):
        """Queue a job's tasks if it is admitted."""
        if self.admission and not self._admitted(job):
            self.fleet.fail(job, "refused")
            return
        super().arrive(job)

    def _admitted(self, job):
        costs_s = tuple(self.expected_s(task) for task in job.tasks)
        slots = self.router.expected_slots()
        sizes = (EndpointSize(8),)
        limits = AdmissionLimits(MAX_TASKS, sizes, slots, slots, team_quota=10**6)
        try:
            admit(JobDemand(job.team, costs_s, job.deadline_s), queue=self.queue, limits=limits)
        except BurdocklugError:
            return False
        return True

    def expected_s(self, task):
        """Return the declared time as corrected by what was seen."""
        return self.times.expected_run_s(task.job.team, declared_s=task.declared_s)

    def _pop(self):
        """Return the next task whose job is still wanted."""
        while (entry := self.queue.pop()) is not None:
            job = entry.task_ref.job
            if job.failed is None and self.fleet.loop.now_s <= job.arrival_s + job.deadline_s:
                return entry
            self.queue.cancel_job(job.key)
            self.fleet.fail(job, "deadline")
        return None

    def dispatch(self):
        """Start tasks on the leases that the router gives."""
        now_s = self.fleet.loop.now_s
        small, share = self.queue.small_job_tasks(), self.queue.small_job_share()
        leases, outgoing = self.router.acquire_leases(
            now_s, len(self.queue), small=small, small_job_share=share
        )
        for lease in leases:
            entry = self._pop()
            if entry is None:
                self.router.release(now_s, lease, LeaseOutcome.FINISHED)
            else:
                self.fleet.start(self, lease.endpoint, entry.task_ref, lease)
        self._send(outgoing)
        due_s = self.router.holder.next_return_s()
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
        now_s = self.fleet.loop.now_s
        run_s = task.run_s * endpoint.slowdown
        kind = OutcomeKind.SUCCEEDED if endpoint.alive else OutcomeKind.SILENT
        self.health.record_outcome(
            endpoint.name, Outcome(kind, run_s, self.expected_s(task)), now_s
        )
        self.times.observe(task.job.team, declared_s=task.declared_s, run_s=run_s)
        if lease is not None:
            outcome = LeaseOutcome.FINISHED if endpoint.alive else LeaseOutcome.UNKNOWN
            self.router.release(now_s, lease, outcome, run_s=run_s)
        self.fleet.complete(task)
        self.dispatch()

    def refused(self, task, endpoint, lease):
        """Queue the task again."""
        now_s = self.fleet.loop.now_s
        reachable = self.fleet.linked(self.failure_domain, endpoint.failure_domain)
        outcome = LeaseOutcome.REFUSED
        if not endpoint.alive or not reachable:
            outcome = LeaseOutcome.UNKNOWN
            self.health.record_outcome(endpoint.name, Outcome(OutcomeKind.REFUSED), now_s)
        if lease is not None:
            self.router.release(now_s, lease, outcome)
        self.push(task, is_retry=True)
        self.dispatch()
