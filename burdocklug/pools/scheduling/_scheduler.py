"""The scheduler of a pool: starts tasks on endpoints and handles the results of their runs.

It does no input or output: it sends orders through an object that the caller passes in, and the
caller reports the answers of endpoints by calling methods of `Scheduler`.
"""

import structlog

from burdocklug.pools._lease_times import MAX_LEASE_S, job_lease_s
from burdocklug.pools._models import JobOutcome, RunEndKind
from burdocklug.pools.contention import PassPlan, priority_key
from burdocklug.pools.scheduling._forecast import CapacityForecast, expected_ends
from burdocklug.pools.scheduling._health import add_fault
from burdocklug.pools.scheduling._jobs import TaskState
from burdocklug.pools.scheduling._placement import PoolEndpoint, count_free_slots
from burdocklug.pools.scheduling._run_estimates import RunEstimates
from burdocklug.pools.scheduling._starts import (
    PoolView,
    Refuse,
    Start,
    decide,
    endpoints_with_capacity,
    least_waiting_cpu,
)
from burdocklug.pools.speed import RunProgress

__all__ = ["Scheduler"]

FULL_POOL_PASS_INTERVAL_S = 0.02  # minimum time between passes while no endpoint has capacity
ATTEMPT_NUMBER_GAP = 8  # added to exceed the attempt numbers that earlier schedulers used
RESERVED_SLOTS_PER_ENDPOINT = 0.15  # slots that late jobs leave free for jobs still in time


log = structlog.get_logger(__name__)


class Scheduler(RunEstimates):
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
        super().__init__(orders, now=now, distance_factor=distance_factor)
        self.last_missed_s = float("-inf")
        self._last_pass_s = 0.0

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
            median_slowness=self.samples.median_slowness,
            plan_pass=self._plan_pass,
            may_start=lambda task: self._may_start(task, now),
        )
        for decision in decide(list(self._waiting.values()), view):
            starts += self._carry_out(decision, now)
        return starts

    def _may_start(self, task, now):
        """Return whether no run of a task can be active, here or under a later scheduler.

        A process that has not heard this scheduler lately may submit its job to another one, which
        starts the task before a lease from now on would have ended.
        """
        is_heard = job_lease_s(task.job.contact_s, now) >= MAX_LEASE_S
        return is_heard and not self.strays.has(task.name)

    def _plan_pass(self, jobs, view):
        if not view.is_reconciled:
            return PassPlan(sorted(jobs, key=lambda job: priority_key(job, view.now_s)))
        now, expected_s = view.now_s, self.expected_end_s

        def ends(service):
            runs = (run for run in self._runs() if run[1].entry.service == service)
            return expected_ends((run for run in runs if run[1].usable), now, expected_s)

        def count_free(task, limit):
            return count_free_slots(task, view.endpoints, now, limit=limit)

        return self.contention.plan_pass(jobs, now, count_free=count_free, expected_ends=ends)

    def _runs(self):
        """Yield the active runs whose ends free slots for others, with their endpoints."""
        for endpoint in self.endpoints.values():
            if not endpoint.evacuated:
                for task in endpoint.runs.values():
                    yield task, endpoint

    def _forecast(self, now):
        return CapacityForecast(now, expected_ends(self._runs(), now, self.expected_end_s))

    def _carry_out(self, decision, now):
        """Apply a decision and return the number of tasks started, 0 or 1."""
        if isinstance(decision, Start):
            self._start(decision.task, decision.endpoint, now)
            return 1
        if isinstance(decision, Refuse):
            self.give_up(decision.job, decision.reason, plan=decision.plan)
        else:
            self.give_up(decision.job, "deadline")
        return 0

    def _start(self, task, endpoint, now):
        task.job.waiting.remove(task)
        self._update_waiting(task.job)
        task.state = TaskState.STARTING
        task.attempt += 1
        task.endpoint_id = endpoint.entry.endpoint_id
        task.started_s = now
        task.progress = RunProgress(now)
        task.job.started = True
        self.contention.note_start(task, now)
        endpoint.add(task)
        endpoint.note_start(now)
        self.counts["starts"] += 1
        self.counts["starts_cold"] += now < endpoint.cold_until_s
        self._orders.start(task, endpoint)

    def note_started(self, task, endpoint):
        """Record that an endpoint has confirmed the run of a task."""
        if task.state is TaskState.STARTING and endpoint.runs.get(task.name) is task:
            task.state = TaskState.RUNNING

    @staticmethod
    def _is_placed_on(task, endpoint):
        is_here = task.endpoint_id == endpoint.entry.endpoint_id
        return task.state.is_placed and is_here and endpoint.runs.get(task.name) is task

    def is_placement_known(self, task):
        """Return whether a report of a placed task's endpoint has shown what runs there."""
        endpoint = self.endpoints.get(task.endpoint_id)
        return endpoint is not None and endpoint.reported_s > float("-inf")

    def release_placement(self, task):
        """Let a placed task wait, as another endpoint was found to run it."""
        log.info("placement_released", task=task.name, endpoint=task.endpoint_id)
        self._orders.disown(task, task.endpoint_id)
        self._requeue(task)

    def adopt(self, task, endpoint, *, attempt, started_s, percent=0):
        """Adopt an active run that an earlier scheduler started, at about `started_s`."""
        task.job.waiting.remove(task)
        self._update_waiting(task.job)
        task.endpoint_id = endpoint.entry.endpoint_id
        task.job.started = True
        endpoint.add(task)
        self._note_adopted(task, attempt, started_s, percent)

    def adopt_newer(self, task, endpoint, *, attempt, started_s, percent=0):
        """Adopt the active run of a later attempt of a task that is placed on the endpoint.

        Returns
        -------
        bool
            Whether the run may go on: the job has not ended and is not suspended.
        """
        task.attempt = max(task.attempt, attempt)
        is_wanted = task.job.outcome is None and not task.job.suspended
        if not (is_wanted and self._is_placed_on(task, endpoint)):
            return False
        self._note_adopted(task, attempt, started_s, percent)
        return True

    def _note_adopted(self, task, attempt, started_s, percent):
        task.state = TaskState.RUNNING
        task.attempt = max(task.attempt, attempt)
        task.started_s = started_s
        task.progress = RunProgress(self._now(), percent, is_adopted=True)
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
        is_placed = self._is_placed_on(task, endpoint)
        endpoint.remove(task)
        if not is_placed:
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
        self.contention.returns.note_end(now)
        is_placed = self._is_placed_on(task, endpoint)
        if kind is RunEndKind.DONE and is_placed:
            endpoint.faults = 0
            if is_prompt:
                self.note_run_time(task, endpoint, now)
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
