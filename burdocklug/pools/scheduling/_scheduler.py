"""The scheduler of a pool: starts tasks on endpoints and handles the results of their runs.

It does no input or output: it sends orders through an object that the caller passes in, and the
caller reports the answers of endpoints by calling methods of `Scheduler`.
"""

import structlog

from burdocklug.pools._models import JobOutcome, RunEndKind
from burdocklug.pools.scheduling._forecast import CapacityForecast, expected_ends
from burdocklug.pools.scheduling._health import (
    add_fault,
    decay_slowness,
    median_slowness,
    update_slowness,
)
from burdocklug.pools.scheduling._job_registry import JobRegistry
from burdocklug.pools.scheduling._jobs import TaskState
from burdocklug.pools.scheduling._placement import PoolEndpoint, expected_run_s
from burdocklug.pools.scheduling._starts import (
    PoolView,
    Refuse,
    Start,
    decide,
    endpoints_with_capacity,
    least_waiting_cpu,
)

__all__ = ["Scheduler"]

FULL_POOL_PASS_INTERVAL_S = 0.02  # minimum time between passes while no endpoint has capacity
ATTEMPT_NUMBER_GAP = 8  # added to exceed the attempt numbers that earlier schedulers used
RESERVED_SLOTS_PER_ENDPOINT = 0.15  # slots that late jobs leave free for jobs still in time

log = structlog.get_logger(__name__)


class Scheduler(JobRegistry):
    """Schedules the jobs of one pool on its endpoints.

    Parameters
    ----------
    orders : object
        Its ``start(task, endpoint)`` and ``stop(task, endpoint)`` send orders to an endpoint.
    now : callable
        Returns the monotonic time in seconds.
    distance_factor : float
        Factor on the run time of a task outside the rack of its data.

    Attributes
    ----------
    last_missed_s : float
        Time at which an answer of any endpoint was last lost or a run last stalled.
    """

    def __init__(self, orders, *, now, distance_factor=1.5):
        super().__init__(orders, now=now)
        self.last_missed_s = float("-inf")
        self._last_pass_s = 0.0
        self._median_slowness = 1.0
        self._distance_factor = distance_factor

    def add_endpoint(self, entry):
        """Add an endpoint, not usable yet, and return its state."""
        endpoint = self.endpoints[entry.endpoint_id] = PoolEndpoint(entry)
        self._slot_counts.invalidate()
        return endpoint

    def remove_endpoint(self, endpoint_id):
        """Remove an endpoint and requeue the tasks of its runs, which have ended."""
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self.requeue_runs(endpoint, reason="endpoint_gone")

    def requeue_runs(self, endpoint, *, reason):
        """Requeue all tasks placed on an endpoint, as none of them runs there any more."""
        for task in list(endpoint.runs.values()):
            self.requeue_lost(task, endpoint, reason=reason)

    def start_waiting(self):
        """Start the waiting tasks that fit, by priority, and return the number of starts."""
        if not self._waiting:
            return 0
        now = self._now()
        self.release_holds()
        least_cpu = least_waiting_cpu(self._waiting.values())
        endpoints = endpoints_with_capacity(self.endpoints.values(), least_cpu, now)
        if not endpoints and now < self._last_pass_s + FULL_POOL_PASS_INTERVAL_S:
            return 0
        self._last_pass_s = now
        endpoints_in_use = sum(not endpoint.evacuated for endpoint in self.endpoints.values())
        starts = 0
        view = PoolView(
            now_s=now,
            endpoints=endpoints,
            least_cpu=least_cpu,
            forecast=self._forecast(now),
            is_reconciled=self.is_reconciled,
            reserved_slots=int(RESERVED_SLOTS_PER_ENDPOINT * endpoints_in_use),
            distance_factor=self._distance_factor,
            median_slowness=self._median_slowness,
        )
        for decision in decide(list(self._waiting.values()), view):
            starts += self._carry_out(decision, now)
        return starts

    def _forecast(self, now):
        runs = (
            (task, endpoint)
            for endpoint in self.endpoints.values()
            if not endpoint.evacuated
            for task in endpoint.runs.values()
        )
        return CapacityForecast(now, expected_ends(runs, now, self.expected_run_s))

    def expected_run_s(self, task, endpoint):
        """Return the expected run time of a task on an endpoint, in seconds."""
        return expected_run_s(task, endpoint, distance_factor=self._distance_factor)

    def _carry_out(self, decision, now):
        """Apply a decision and return the number of tasks started, 0 or 1."""
        if isinstance(decision, Start):
            self._start(decision.task, decision.endpoint, now)
            return 1
        if isinstance(decision, Refuse):
            self._refuse(decision.job, now)
        else:
            self._expire(decision.job)
        return 0

    def _expire(self, job):
        if job.started:
            self.end_job(job, JobOutcome.EXPIRED, reason="deadline")
        else:
            self._refuse(job, self._now())

    def refuse_unplaceable(self, find_obstacle):
        """Refuse the jobs without a started task for which `find_obstacle` returns a reason."""
        self._slot_counts.invalidate()
        for job in [j for j in self._waiting.values() if not j.started and j.hold is None]:
            job.obstacle = find_obstacle(job.spec)
            if job.obstacle:
                self._refuse(job, self._now())

    def suspend_unplaceable(self, find_obstacle):
        """Suspend the waiting jobs without a run for which `find_obstacle` returns a reason."""
        for job in list(self._waiting.values()):
            if not any(task.state.is_placed for task in job.tasks) and find_obstacle(job.spec):
                self.suspend(job)

    def _refuse(self, job, now):
        self.counts["jobs_refused"] += 1
        log.info(
            "job_refused",
            job=job.job_id,
            queue=job.spec.queue.name,
            reason=job.obstacle or "overload",
            age_s=round(now - job.received_s, 3),
            tasks=len(job.tasks),
            waiting=len(self._waiting),
        )
        self.drop_job(job)
        self.notify_callers(job)

    def _start(self, task, endpoint, now):
        task.job.waiting.remove(task)
        self._update_waiting(task.job)
        task.state = TaskState.STARTING
        task.attempt += 1
        task.endpoint_id = endpoint.entry.endpoint_id
        task.started_s = now
        task.job.started = True
        endpoint.add(task)
        self.counts["starts"] += 1
        self._orders.start(task, endpoint)

    def note_started(self, task, endpoint):
        """Record that an endpoint has confirmed the run of a task."""
        if task.state is TaskState.STARTING and endpoint.runs.get(task.name) is task:
            task.state = TaskState.RUNNING

    def adopt(self, task, endpoint, *, attempt, started_s):
        """Adopt an active run that an earlier scheduler started, at about `started_s`."""
        task.job.waiting.remove(task)
        self._update_waiting(task.job)
        task.state = TaskState.RUNNING
        task.attempt = max(task.attempt, attempt)
        task.endpoint_id = endpoint.entry.endpoint_id
        task.started_s = started_s
        task.job.started = True
        endpoint.add(task)
        self.counts["adopted"] += 1

    def adopt_end(self, task, endpoint, kind, *, attempt):
        """Apply the end of a run that an earlier scheduler started and whose task is waiting.

        A completed task is not run again, and a failed run counts as an attempt.
        """
        task.attempt = max(task.attempt, attempt)
        if kind not in (RunEndKind.DONE, RunEndKind.FAILED):
            return
        self.counts[f"adopted_{kind}"] += 1
        task.job.started = True
        task.job.waiting.remove(task)
        self._update_waiting(task.job)
        if kind is RunEndKind.DONE:
            self._finish(task)
        else:
            self._fail(task, endpoint)

    def note_fault(self, task, endpoint):
        """Count a fault of an endpoint, which is ejected after several in a row."""
        task.avoided_endpoints.add(endpoint.entry.endpoint_id)
        if add_fault(endpoint, self._now()):
            self.counts["ejected"] += 1

    def note_refused(self, task, endpoint, *, reason, raise_attempt=False):
        """Requeue a task whose start the endpoint refused without running it."""
        self.counts[f"refused_{reason}"] += 1
        if raise_attempt:
            task.attempt += ATTEMPT_NUMBER_GAP
        self.requeue_lost(task, endpoint, reason=f"refused_{reason}")

    def requeue_lost(self, task, endpoint, *, reason):
        """Requeue a task whose run is gone without a reported end."""
        endpoint.remove(task)
        if not task.state.is_placed:
            return
        log.info(
            "task_waits_again",
            task=task.name,
            attempt=task.attempt,
            endpoint=endpoint.entry.endpoint_id,
            reason=reason,
        )
        self.counts["tasks_again"] += 1
        self._requeue(task)

    def note_end(self, task, endpoint, kind, *, is_prompt=True):
        """Apply the end of a run that the endpoint reported.

        Parameters
        ----------
        task : Task
            The task of the run.
        endpoint : PoolEndpoint
            The endpoint of the run.
        kind : RunEndKind
            How the run ended.
        is_prompt : bool, optional
            Whether the end was reported without delay, so that the run time is a valid sample
            of the endpoint's speed.
        """
        now = self._now()
        self.counts[f"ends_{kind}"] += 1
        is_placed = task.state.is_placed and endpoint.runs.get(task.name) is task
        if kind is RunEndKind.DONE and is_placed:
            endpoint.faults = 0
            if is_prompt:
                update_slowness(endpoint, now - task.started_s, self.expected_run_s(task, endpoint))
        endpoint.remove(task)
        if not is_placed:
            return
        if kind is RunEndKind.DONE:
            self._finish(task)
        elif kind is RunEndKind.FAILED:
            self._fail(task, endpoint)
        else:
            self._requeue(task)

    def _finish(self, task):
        task.state = TaskState.DONE
        job = task.job
        if all(t.state is TaskState.DONE for t in job.tasks):
            self.end_job(job, JobOutcome.COMPLETED, reason="all_done")
        elif any(t.state is TaskState.BLOCKED for t in job.tasks):
            job.unblock()
            self._update_waiting(job)

    def _fail(self, task, endpoint):
        task.failures += 1
        self.note_fault(task, endpoint)
        limit = task.job.spec.queue.max_attempts
        log.info(
            "task_failed",
            task=task.name,
            attempt=task.attempt,
            endpoint=endpoint.entry.endpoint_id,
            failures=task.failures,
            limit=limit,
        )
        if task.failures >= limit:
            task.state = TaskState.ENDED
            self.end_job(task.job, JobOutcome.FAILED, reason="attempts_used_up")
        else:
            self._requeue(task)

    def update_median_slowness(self):
        """Update the median slowness and let idle endpoints recover; call it once a second."""
        self._median_slowness = median_slowness(self.endpoints.values())
        for endpoint in self.endpoints.values():
            decay_slowness(endpoint, self._median_slowness)

    def note_slow_run(self, task, endpoint, run_s):
        """Update an endpoint's slowness from the total time projected for an active run."""
        update_slowness(endpoint, run_s, self.expected_run_s(task, endpoint))
