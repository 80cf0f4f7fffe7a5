"""Runs the tasks of accepted jobs: queue, slot lease, attempt, outcome.

A task waits in its service's queue until the service's router grants a lease on a slot of an
endpoint. A greenlet then runs one attempt. The outcome goes to the job table; a task that did not
start goes to the retry queue.
"""

import itertools

import eventlet
import msgspec

from burdocklug.endpoints import Attempt
from burdocklug.jobs._admission import admit_job
from burdocklug.jobs._job_table import JobTable
from burdocklug.jobs._jobs import TaskState
from burdocklug.jobs._lanes import Lane
from burdocklug.jobs._retry_queue import RetryQueue
from burdocklug.kernel import ErrorKind, Ran
from burdocklug.retries import Finished, NotRun
from burdocklug.routing import LeaseOutcome, SlotLoad

__all__ = ["Dispatcher"]

ROUTING_REFRESH_S = 0.25
DISPATCH_INTERVAL_S = 0.05
PROBE_INTERVAL_S = 0.05  # minimum time between two searches for endpoints due for a probe


class Dispatcher:
    """Runs the tasks of accepted jobs on endpoints.

    Parameters
    ----------
    context : DispatchContext
        Components of the process that dispatching uses.
    """

    def __init__(self, context):
        self.ctx = context
        self.lanes = {}
        self.table = JobTable(context, self._drop_queued)
        self._retries = RetryQueue(context, self._requeue)
        self._counters = {
            "attempts": 0,
            "attempts_not_run": 0,
            "attempts_unknown": 0,
            "tasks_finished": 0,
        }
        self._attempt_prefix = context.incarnation.replace(":", "-")  # needs no escaping in a URL
        self._attempt_numbers = itertools.count(1)

    @property
    def jobs(self):
        """Running jobs by key."""
        return self.table.jobs

    def counts(self):
        """Return counters by name."""
        return {**self.table.counts, **self._counters}

    def start_timers(self):
        """Start the periodic work and follow changes of the configuration."""
        self.ctx.timers.every(ROUTING_REFRESH_S, self.refresh)
        self.ctx.timers.every(DISPATCH_INTERVAL_S, self._dispatch_all)
        self.ctx.configuration.subscribe(self._apply_configuration)
        self._apply_configuration()

    def start(self, record, submission, *, size_bytes=0):
        """Accept a job and queue its tasks.

        Parameters
        ----------
        record : Record
            The record of the submission in the ledger.
        submission : JobSubmission
            The job to run.
        size_bytes : int, optional
            Memory that the submission takes up.

        Raises
        ------
        BurdocklugError
            If the job is refused; none of its tasks ran, and neither job nor tasks are kept.
        """
        deadline_s = submission.deadline_s or self.ctx.settings.default_deadline_s
        admit_job(self.ctx, self._lane(submission.service), submission, deadline_s)
        lane = self.lanes[submission.service]
        job = self.table.add(record, submission, deadline_s, size_bytes=size_bytes)
        for task in job.tasks:
            self._enqueue(lane, task, is_retry=False)
        self._schedule_dispatch(lane)

    def cancel(self, job):
        """Cancel a job: drop its queued tasks and cancel its running attempts."""
        self.table.cancel(job)

    def abandon_all(self):
        """Fail every running job, because this process is about to exit."""
        self.table.abandon_all()

    def _drop_queued(self, job):
        self.lanes[job.service].queue.cancel_job(job.key)

    def _enqueue(self, lane, task, *, is_retry):
        job = task.job
        task.expected_s = lane.expected_run_s(job.team, task.declared_s)
        lane.queue.push(task, team=job.team, job=job.key, cost_s=task.expected_s, is_retry=is_retry)

    def _requeue(self, lane, task):
        self._enqueue(lane, task, is_retry=True)
        self._schedule_dispatch(lane)

    def _lane(self, service):
        lane = self.lanes.get(service)
        if lane is None and (state := self.ctx.configuration.service(service)) is not None:
            lane = self.lanes[service] = Lane(service, state, self.ctx)
            self._refresh_lane(lane)
        return lane

    def _apply_configuration(self):
        """Create the lane of each configured service and refresh all lanes.

        Notes
        -----
        If the first job of a service created the lane, it would wait until the service's slot
        allocators have taken over.
        """
        for service in self.ctx.configuration.services():
            self._lane(service)
        self.refresh()

    def refresh(self):
        """Update the routers with the current configuration, members and endpoint health."""
        for lane in list(self.lanes.values()):
            self._refresh_lane(lane)

    def _refresh_lane(self, lane):
        now = self.ctx.timers.now()
        self._send(lane.refresh(now))
        self._schedule_dispatch(lane)

    def _dispatch_all(self):
        """Dispatch on lanes with tasks or leases; the routing refresh dispatches on the others."""
        self._retries.requeue_due()
        for lane in self.lanes.values():
            if lane.is_active():
                self._dispatch_tasks(lane)

    def _schedule_dispatch(self, lane):
        if not lane.dispatch_scheduled:
            lane.dispatch_scheduled = True
            eventlet.spawn_n(self._dispatch_tasks, lane)

    def _dispatch_tasks(self, lane):
        lane.dispatch_scheduled = False
        now = self.ctx.timers.now()
        waiting = lane.eligible_task_count()
        small, share = lane.queue.small_job_tasks(), lane.queue.small_job_share()
        leases, outgoing = lane.router.acquire_leases(
            now, waiting, small=small, small_job_share=share
        )
        self._send(outgoing)
        for lease in leases:
            self._start_with_lease(lane, lease, now)
        if waiting > len(leases) and now >= lane.next_probe_s:
            lane.next_probe_s = now + PROBE_INTERVAL_S
            self._start_probes(lane, now)

    def _start_probes(self, lane, now):
        """Start one waiting task as a probe on each ejected endpoint that is due for one."""
        for address in self.ctx.endpoint_view.due_probes(lane.service, now):
            queued = lane.queue.pop(lane.is_eligible)
            if queued is None:
                return
            lane.note_started(queued.team)
            eventlet.spawn_n(self._run_task, lane, None, queued.task_ref, address)

    def _start_with_lease(self, lane, lease, now):
        queued = lane.queue.pop(lane.is_eligible)
        if queued is None:
            lane.router.release(now, lease, LeaseOutcome.FINISHED)
            return
        lane.note_started(queued.team)
        address = lane.address_of(lease.endpoint)
        eventlet.spawn_n(self._run_task, lane, lease, queued.task_ref, address)

    def _send(self, outgoing):
        for item in outgoing:
            self.ctx.peers.send(item.to, item.message)

    def receive_slot_message(self, sender, message):
        """Handle a slot message from a peer."""
        lane = self._lane(message.service)
        if lane is None:
            return
        self._send(lane.router.receive(self.ctx.timers.now(), sender, message))
        self._schedule_dispatch(lane)

    def slot_loads(self):
        """Return the slot loads for the next heartbeat, or None if there are none."""
        now = self.ctx.timers.now()
        loads = [load for lane in self.lanes.values() if (load := lane.router.load(now))]
        return loads or None

    def receive_slot_loads(self, member, value):
        """Handle the slot loads of a peer's heartbeat."""
        for load in msgspec.convert(value, list[SlotLoad]):
            lane = self._lane(load.service)
            if lane is not None:
                now = self.ctx.timers.now()
                self._send(lane.router.receive(now, member.incarnation, load))

    def waiting_by_team(self):
        """Return the number of waiting tasks by team, summed over all services."""
        waiting = {}
        for lane in self.lanes.values():
            for team, count in lane.waiting_by_team().items():
                waiting[team] = waiting.get(team, 0) + count
        return waiting

    def _run_task(self, lane, lease, task, address):
        """Run one attempt of a task on a leased slot, or without a lease as a probe.

        Notes
        -----
        The job may have been closed, and reported as not run, since the task left the queue; the
        task must not start then.
        """
        job = task.job
        began_s = self.ctx.timers.now()
        if job.closed:
            self._skip_closed(lane, lease, job, began_s)
            return
        task.state = TaskState.STARTED
        task.address = address
        task.attempt_id = f"{self._attempt_prefix}~{next(self._attempt_numbers):x}"
        job.in_flight += 1
        self._counters["attempts"] += 1
        if not task.retries:
            self.ctx.retry_budget.note_first_attempts(began_s)
        outcome = self._run_attempt(lane, task, began_s)
        job.in_flight -= 1
        ended_s = self.ctx.timers.now()
        # Refresh before releasing the lease, so that no task reuses a slot of an ejected endpoint.
        if lane.has_endpoint_changes():
            self._refresh_lane(lane)
        if lease is not None:
            lane.router.release(ended_s, lease, _lease_outcome(outcome), run_s=ended_s - began_s)
        self._release_quota(lane, job.team, outcome, began_s, ended_s)
        self._apply_outcome(lane, task, outcome, ended_s - began_s)
        self._schedule_dispatch(lane)

    def _skip_closed(self, lane, lease, job, now):
        lane.note_ended(job.team)
        if lease is not None:
            lane.router.release(now, lease, LeaseOutcome.FINISHED)
        self._schedule_dispatch(lane)

    def _release_quota(self, lane, team, outcome, began_s, ended_s):
        """Release the task's place in the team quota once the task certainly no longer runs.

        Notes
        -----
        A task of unknown outcome may still run, until its longest run time has passed.
        """
        if isinstance(outcome, Finished | NotRun):
            lane.note_ended(team)
            return
        left_s = began_s + self._max_run_s(lane) - ended_s
        self.ctx.timers.after(max(0.0, left_s), lambda: lane.note_ended(team))

    def _max_run_s(self, lane):
        return min(lane.state.task_timeout_s, self.ctx.settings.longest_task_s)

    def _run_attempt(self, lane, task, now):
        if task.address is None:
            return NotRun("refused")
        deadline_s = min(task.job.deadline_s, now + self._max_run_s(lane))
        attempt = Attempt(
            task.attempt_id, task.task_id, lane.service, task.payload, deadline_s - now
        )
        return self.ctx.run_attempt(lane.service, task.address, attempt, expected_s=task.expected_s)

    def _apply_outcome(self, lane, task, outcome, run_s):
        """Update the task and its job with the outcome of an attempt."""
        job = task.job
        if isinstance(outcome, Finished):
            self._counters["tasks_finished"] += 1
            lane.observe_run_time(job.team, task.declared_s, run_s)
            job.ran = Ran.YES
            if not outcome.result.ok:
                self.table.fail_job_of(task, ErrorKind.TASK_FAILED, str(outcome.result.value))
            else:
                self.table.finish_task(task, outcome.result.value)
        elif isinstance(outcome, NotRun):
            self._counters["attempts_not_run"] += 1
            self._retry(lane, task, outcome)
        else:
            self._counters["attempts_unknown"] += 1
            job.ran = Ran.UNKNOWN if job.ran is Ran.NO else job.ran
            self.table.fail_job_of(task, ErrorKind.OUTCOME_UNKNOWN, outcome.reason)

    def _retry(self, lane, task, outcome):
        if not task.job.closed:
            self._retries.add(lane, task, outcome.reason)


def _lease_outcome(outcome):
    if isinstance(outcome, Finished):
        return LeaseOutcome.FINISHED
    if isinstance(outcome, NotRun) and outcome.reason == "full":
        return LeaseOutcome.REFUSED
    return LeaseOutcome.UNKNOWN
