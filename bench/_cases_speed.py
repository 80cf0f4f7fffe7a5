"""Jobs in time on endpoints of uneven speed, some of which turn slow, with a tail of long runs."""

import contextlib
import heapq
import logging
import random

import structlog

from bench._cases import at_least, at_most, cases
from burdocklug.pools import EndpointEntry, JobSpec, QueueRule, Resources, StepSpec
from burdocklug.pools._models import JobOutcome, RunEndKind
from burdocklug.pools.scheduling import Scheduler
from burdocklug.pools.speed import RunSamples

SEEDS = tuple(range(1, 11))
ENDPOINTS = 24
SPEEDS = (0.6, 1.0, 1.6)
SLOW_SHARE, SLOW_FACTOR = 0.16, 5.0
SLOW_FROM_S, SLOW_UNTIL_S, SECONDS = 8.0, 14.5, 20.0
TAIL_SHARE, TAIL_FACTOR, ESTIMATE_ERROR = 0.03, 7.0, 0.4
WAIT_S = 1.5
REPORT_S, TICK_S = 0.1, 1.0
# Jobs a second, tasks, estimate in seconds, priority: 75 % of the endpoints' processor.
QUEUES = {
    "departures": (10.0, 8, 0.051, 0),
    "fares": (29.0, 2, 0.17, 1),
    "plans": (1.8, 4, 0.76, 2),
}
MAX_FALSE_ALARMS = 0.01


class MovingAverage(RunSamples):
    """The speed of endpoints as a moving average of run time over estimate, for comparison."""

    def __init__(self, counts):
        super().__init__(counts)
        self.outliers = {}

    def add(self, endpoint, times, run_s, usual_s):
        """Move the average towards a run; two outliers in a row count more."""
        ratio = run_s / usual_s / endpoint.slowness
        bounded = min(max(ratio, 1 / 3), 3.0)
        name = endpoint.entry.endpoint_id
        self.outliers[name] = self.outliers.get(name, 0) + 1 if ratio != bounded else 0
        is_confirmed = self.outliers[name] >= 2
        seen = endpoint.slowness * (ratio if is_confirmed else bounded)
        weight = 0.5 if is_confirmed else 0.1
        endpoint.slowness += weight * (min(max(seen, 0.5), 10.0) - endpoint.slowness)

    def update_median(self, endpoints):
        """Update the median, and let idle endpoints recover."""
        values = sorted(endpoint.slowness for endpoint in endpoints)
        self.median_slowness = values[len(values) // 2]
        for endpoint in endpoints:
            if not endpoint.runs and endpoint.slowness > self.median_slowness:
                endpoint.slowness += 0.2 * (self.median_slowness - endpoint.slowness)


class Play:
    """One load in virtual time; `false_alarms` counts looks at sound endpoints judged slow."""

    def __init__(self, seed, samples):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.events = []
        self.number = 0
        self.jobs = []
        self.looks = self.false_alarms = 0
        self.scheduler = Scheduler(self, now=lambda: self.now_s)
        self.scheduler.samples = samples(self.scheduler.counts)
        names = [f"e{number}" for number in range(ENDPOINTS)]
        self.speeds = {name: SPEEDS[number % 3] for number, name in enumerate(names)}
        self.slow = set(self.rng.sample(names, round(SLOW_SHARE * ENDPOINTS)))
        for name in names:
            entry = EndpointEntry(name, "plan", "10.0.0.1:80", "d", Resources(16000, 65536))
            self.scheduler.add_endpoint(entry).usable = True

    def at(self, time_s, call, *args):
        """Call a function at a time."""
        self.number += 1
        heapq.heappush(self.events, (time_s, self.number, call, args))

    def is_slow(self, name):
        """Return whether an endpoint is slow now."""
        return name in self.slow and SLOW_FROM_S <= self.now_s < SLOW_UNTIL_S

    def start(self, task, endpoint):
        """Run a task on an endpoint, as an order does."""
        name = endpoint.entry.endpoint_id
        run_s = task.estimate_s * self.rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
        run_s *= self.speeds[name] * (TAIL_FACTOR if self.rng.random() < TAIL_SHARE else 1.0)
        run_s *= SLOW_FACTOR if self.is_slow(name) else 1.0
        order = (task, endpoint, task.attempt)
        self.at(self.now_s + run_s, self.end, *order)
        for number in range(1, int(run_s / REPORT_S) + 1):
            percent = int(100 * number * REPORT_S / run_s)
            self.at(self.now_s + number * REPORT_S, self.report, *order, percent)

    def stop(self, task, endpoint):
        """Stop a run, as an order does."""
        self.at(self.now_s + 0.01, self.end, task, endpoint, task.attempt, RunEndKind.STOPPED)

    def end(self, task, endpoint, attempt, kind=RunEndKind.DONE):
        """Report the end of a run."""
        if endpoint.runs.get(task.name) is task and task.attempt == attempt:
            self.scheduler.note_end(task, endpoint, kind)
            self.scheduler.start_waiting()

    def report(self, task, endpoint, attempt, percent):
        """Report the progress of a run."""
        if task.attempt == attempt:
            self.scheduler.note_progress(task, endpoint, percent)

    def submit(self, queue):
        """Submit a job, and the next one later."""
        rate, count, estimate_s, priority = QUEUES[queue]
        rule = QueueRule(
            queue,
            "planner.example",
            f"/{queue}/",
            "plan",
            priority=priority,
            max_attempts=2,
            objective_factor=1.6,
            target_s=0.06,
            timeout_s=WAIT_S,
        )
        steps = (StepSpec(count, Resources(8000, 64), estimate_s),)
        spec = JobSpec(f"{queue}{len(self.jobs)}", rule, "", steps)
        job = self.scheduler.submit(spec, received_s=self.now_s, wait_s=2 * WAIT_S)
        self.jobs.append(job)
        self.scheduler.start_waiting()
        self.at(self.now_s + self.rng.expovariate(rate), self.submit, queue)

    def tick(self):
        """Do what a scheduler does once a second."""
        self.scheduler.update_median_slowness()
        self.scheduler.expire_overdue()
        for name, endpoint in self.scheduler.endpoints.items():
            if name not in self.slow:
                self.looks += 1
                self.false_alarms += self.scheduler.samples.is_slow(endpoint)
        self.at(self.now_s + TICK_S, self.tick)

    def run(self):
        """Play the load; return the share of jobs in time and of false alarms."""
        for queue in QUEUES:
            self.at(0.0, self.submit, queue)
        self.at(TICK_S, self.tick)
        while self.events[0][0] < SECONDS:
            self.now_s, _number, call, args = heapq.heappop(self.events)
            call(*args)
        arrived = [job for job in self.jobs if job.received_s < SECONDS - 2 * WAIT_S]
        done = [job for job in arrived if job.outcome is JobOutcome.COMPLETED]
        in_time = sum(job.ended_s <= job.due_s for job in done)
        return in_time / len(arrived), self.false_alarms / self.looks


@contextlib.contextmanager
def _no_logs():
    """Leave out the scheduler's log lines, since a case prints only its own."""
    before = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        yield
    finally:
        structlog.configure(**before)


def _mean(samples):
    with _no_logs():
        figures = [Play(seed, samples).run() for seed in SEEDS]
    return [round(sum(column) / len(SEEDS), 4) for column in zip(*figures, strict=True)]


@cases.register("speed/uneven")
def speed():
    """Ten loads with each estimate of speeds: jobs in time, and sound endpoints judged slow."""
    before, alarms_before = _mean(MovingAverage)
    after, alarms = _mean(RunSamples)
    yield at_least("speed/uneven/jobs_in_time", after, before, moving_average=before)
    yield at_most(
        "speed/uneven/false_alarms", alarms, MAX_FALSE_ALARMS, moving_average=alarms_before
    )
