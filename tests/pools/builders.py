"""Entries, jobs and a scheduler in virtual time for tests of pools."""

from burdocklug.pools._configuration import QueueRule
from burdocklug.pools._models import (
    EndpointEntry,
    JobSpec,
    Resources,
    RunEndKind,
    StepSpec,
)
from burdocklug.pools.scheduling._scheduler import Scheduler

RULE = QueueRule(
    "checks",
    "checks.example",
    "/checks/",
    "press",
    max_attempts=2,
    objective_factor=1.6,
    target_s=0.06,
    timeout_s=1.5,
)


def entry(number, *, cpu=16000, service="press", domain="north", **changes):
    """Return an endpoint's entry."""
    return EndpointEntry(
        f"e{number}", service, f"10.0.0.{number}:80", domain, Resources(cpu, 32768, 0), **changes
    )


def step(count=1, *, cpu=6800, estimate_s=0.2, **changes):
    """Return a step of identical tasks."""
    return StepSpec(count, Resources(cpu, 64, 0), estimate_s, **changes)


def spec(job_id, *steps, rule=RULE):
    """Return the specification of a job."""
    return JobSpec(job_id, rule, "payload", steps or (step(),))


class RecordedOrders:
    """Records the orders of a scheduler."""

    def __init__(self):
        self.started = []
        self.stopped = []

    def start(self, task, endpoint):
        self.started.append((task, endpoint))

    def stop(self, task, endpoint):
        self.stopped.append((task, endpoint))


class VirtualPool:
    """A scheduler with its recorded orders and a clock that tests set."""

    def __init__(self, *entries):
        self.now_s = 100.0
        self.orders = RecordedOrders()
        self.scheduler = Scheduler(self.orders, now=lambda: self.now_s)
        for endpoint_entry in entries:
            self.scheduler.add_endpoint(endpoint_entry).usable = True

    def submit(self, job_id, *steps, rule=RULE, wait_s=1.5, **options):
        job = self.scheduler.submit(
            spec(job_id, *steps, rule=rule), received_s=self.now_s, wait_s=wait_s, **options
        )
        self.scheduler.start_waiting()
        return job

    def end(self, task, kind=RunEndKind.DONE):
        """End the run of a task at its endpoint."""
        self.scheduler.note_end(task, self.scheduler.endpoints[task.endpoint_id], kind)
        self.scheduler.start_waiting()

    def end_all(self, job, kind=RunEndKind.DONE):
        for task in job.tasks:
            if task.state.is_placed:
                self.end(task, kind)

    def started_names(self):
        return [task.name for task, _endpoint in self.orders.started]
