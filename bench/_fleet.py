"""A fleet in virtual time: processes, endpoints, links and what is measured on them."""

import random
from collections import Counter

from bench._virtual import FakeEndpoint, VirtualLoop
from bench._workload import ENDPOINTS, LOCAL_TRIP_S, SLOTS
from burdocklug.limits import FairQueue

__all__ = ["Fleet", "Process"]

MAX_QUEUE = 200_000


class Process:
    """One dispatching process; a way of routing overrides `dispatch` and the hooks.

    Parameters
    ----------
    fleet : Fleet
        The fleet it is part of.
    number : int
        Its place in the fleet.
    failure_domain : str
        Where it is.
    """

    def __init__(self, fleet, number, failure_domain):
        self.fleet = fleet
        self.number = number
        self.name = f"10.0.0.{number + 1}:7000~{number}"
        self.failure_domain = failure_domain
        self.queue = FairQueue(max_tasks=MAX_QUEUE)
        self.alive = True
        self.busy = 0

    def prepare(self):
        """Set up state that needs the whole fleet."""

    def arrive(self, job):
        """Queue a job's tasks."""
        for task in job.tasks:
            self.push(task)
        self.dispatch()

    def push(self, task, *, is_retry=False):
        """Queue a task; `is_retry` puts one that was refused before the others of its job."""
        job = task.job
        cost_s = self.expected_s(task)
        self.queue.push(task, team=job.team, job=job.key, cost_s=cost_s, is_retry=is_retry)

    def expected_s(self, task):
        """Return the run time to expect of a task, in seconds."""
        return task.declared_s

    def dispatch(self):
        """Start what can start."""
        raise NotImplementedError

    def finished(self, task, endpoint, lease):
        """Take the end of an attempt; `lease` is what `start` was given."""

    def refused(self, task, endpoint, lease):
        """Take a refused start."""

    def receive(self, sender, message):
        """Take a message of another process."""


class Fleet:
    """Processes of one way of routing over the fake endpoints of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Sizes and trips.
    process_type : type
        The way of routing, a subclass of `Process`.
    seed : int
        Seed for the choices that the way makes at random.
    """

    def __init__(self, deployment, process_type, *, seed=1, **options):
        self.deployment = deployment
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.messages = Counter()  # by cause
        self.jobs = []
        self.cut = None  # function of two failure domains: whether they are cut off
        domains = deployment.failure_domains
        self.endpoints = {}
        per_domain = ENDPOINTS // len(domains)
        for number in range(ENDPOINTS):
            domain = domains[number // per_domain]
            rack = f"{domain}-{number % per_domain // deployment.rack_size}"
            name = f"endpoint-{number}"
            self.endpoints[name] = FakeEndpoint(name, domain, rack, SLOTS)
        places = [d for d, n in zip(domains, deployment.processes, strict=True) for _ in range(n)]
        self.processes = [process_type(self, n, d, **options) for n, d in enumerate(places)]
        self.by_name = {process.name: process for process in self.processes}
        self.work_s = 0.0  # slot time of tasks that ended
        for process in self.processes:
            process.prepare()

    def run(self, jobs, *, seconds, drain_s=60.0):
        """Feed the jobs, run, and go on for `drain_s` so that the last ones end."""
        for job in jobs:
            self.jobs.append(job)
            self.loop.after(job.arrival_s, self._submit, job)
        self.loop.run(until_s=seconds + drain_s)

    def _submit(self, job):
        """Hand a job to its process, or to the next live one as the balancer does."""
        while not self.processes[job.process].alive:
            job.process = (job.process + 1) % len(self.processes)
        self.processes[job.process].arrive(job)

    def linked(self, one, other):
        """Return whether two failure domains reach each other."""
        return one == other or self.cut is None or not self.cut(one, other)

    def send(self, process, to, message, cause):
        """Deliver a message between processes after its trip, and count it."""
        self.messages[cause] += 1
        target = self.by_name[to]
        if self.linked(process.failure_domain, target.failure_domain):
            trip_s = self.deployment.trip_s(process.failure_domain, target.failure_domain)
            self.loop.after(trip_s, self._deliver, process.name, target, message)

    def _deliver(self, sender, target, message):
        if target.alive:
            target.receive(sender, message)

    def start(self, process, endpoint_name, task, lease=None):
        """Send a start to an endpoint."""
        endpoint = self.endpoints[endpoint_name]
        endpoint.connections.add(process.number)
        self.messages["start"] += 1
        process.busy += 1
        trip_s = self.deployment.trip_s(process.failure_domain, endpoint.failure_domain)
        self.loop.after(trip_s, self._arrive, process, endpoint, task, lease, trip_s)

    def _arrive(self, process, endpoint, task, lease, trip_s):
        reachable = self.linked(process.failure_domain, endpoint.failure_domain)
        if not endpoint.alive or not reachable or endpoint.busy >= endpoint.slots:
            endpoint.refused += 1
            self.messages["refused"] += 1
            self.loop.after(trip_s, self._refused, process, endpoint, task, lease)
            return
        endpoint.busy += 1
        endpoint.starts += 1
        run_s = task.run_s * endpoint.slowdown
        self.loop.after(run_s, self._ended, process, endpoint, task, lease, trip_s)

    def _ended(self, process, endpoint, task, lease, trip_s):
        endpoint.busy -= 1
        self.messages["result"] += 1
        if endpoint.alive:
            self.work_s += task.run_s
        self.loop.after(trip_s, self._finished, process, endpoint, task, lease)

    def _refused(self, process, endpoint, task, lease):
        process.busy -= 1
        if process.alive:
            process.refused(task, endpoint, lease)

    def _finished(self, process, endpoint, task, lease):
        process.busy -= 1
        if not process.alive:
            return
        if not endpoint.alive:
            self.fail(task.job, "endpoint_dead")
        process.finished(task, endpoint, lease)

    def complete(self, task):
        """Note that a task's result is at the process that got the job."""
        job = task.job
        job.left -= 1
        if not job.left and job.failed is None:
            job.done_s = self.loop.now_s

    def fail(self, job, reason):
        """Note that a job has failed or was refused."""
        if job.failed is None and job.done_s is None:
            job.failed = reason

    def kill(self, number):
        """Kill a process: its jobs fail."""
        process = self.processes[number]
        process.alive = False
        for job in self.jobs:
            if job.process == number and job.done_s is None and job.arrival_s <= self.loop.now_s:
                self.fail(job, "process_dead")

    def ideal_s(self, job):
        """Return run time of the job's longest task and the unavoidable trips, in seconds."""
        trips_s = 2 * (self.deployment.client_trip_s + LOCAL_TRIP_S)
        return max(task.run_s for task in job.tasks) + trips_s

    def capacity_s(self, job):
        """Return the least time that all slots together need for the job, in seconds."""
        slots = sum(endpoint.slots for endpoint in self.endpoints.values())
        trips_s = 2 * (self.deployment.client_trip_s + LOCAL_TRIP_S)
        return max(self.ideal_s(job), sum(task.run_s for task in job.tasks) / slots + trips_s)
