"""Runs the tasks of accepted jobs: queue, slot lease, attempt, answer.

A task waits in its service's queue until the service's router gives a lease on an endpoint's
slot. One greenlet then runs one attempt; its outcome goes to the job table, or the task to the
retry line.
"""

import itertools

import eventlet
import msgspec

from burdocklug.endpoints import Attempt
from burdocklug.jobs._admission import admit_job
from burdocklug.jobs._job_table import JobTable
from burdocklug.jobs._jobs import TaskState
from burdocklug.jobs._lanes import Lane
from burdocklug.jobs._retry_line import RetryLine
from burdocklug.kernel import ErrorKind, Ran
from burdocklug.retries import Finished, NotRun
from burdocklug.routing import LeaseOutcome, SlotLoad

__all__ = ["Dispatcher"]

ROUTING_REFRESH_S = 0.25
PUMP_S = 0.05
TRIALS_S = 0.05  # between two looks for endpoints that are due for a trial


class Dispatcher:
    """Runs accepted jobs.

    Parameters
    ----------
    context : DispatchContext
        The parts of the process that dispatching uses.
    """

    def __init__(self, context):
        self.ctx = context
        self.lanes = {}
        self.table = JobTable(context, self._drop_queued)
        self._retries = RetryLine(context, self._push_again)
        self._counts = {
            "attempts": 0,
            "attempts_not_run": 0,
            "attempts_unknown": 0,
            "tasks_finished": 0,
        }
        self._attempt_prefix = context.incarnation.replace(":", "-")  # needs no quoting in a URL
        self._attempt_numbers = itertools.count(1)

    @property
    def jobs(self):
        """The running jobs by key."""
        return self.table.jobs

    def counts(self):
        """Return counters by name."""
        return {**self.table.counts, **self._counts}

    def start_timers(self):
        """Subscribe to the timer service."""
        self.ctx.timers.every(ROUTING_REFRESH_S, self.refresh)
        self.ctx.timers.every(PUMP_S, self._pump_all)
        self.ctx.configuration.subscribe(self._follow_configuration)
        self._follow_configuration()

    def start(self, record, submission):
        """Accept a job and queue its tasks.

        Parameters
        ----------
        record : Record
            The submission's new record.
        submission : JobSubmission
            What to run.

        Raises
        ------
        BurdocklugError
            Where the job is refused; nothing of it ran and nothing is left behind.
        """
        deadline_s = submission.deadline_s or self.ctx.settings.default_deadline_s
        admit_job(self.ctx, self._lane(submission.service), submission, deadline_s)
        lane = self.lanes[submission.service]
        job = self.table.add(record, submission, deadline_s)
        for task in job.tasks:
            self._push(lane, task, again=False)
        self._schedule_pump(lane)

    def cancel(self, job):
        """End a job now; its waiting tasks are dropped and its running ones told to stop."""
        self.table.cancel(job)

    def abandon_all(self):
        """Fail every running job, since this process is about to end."""
        self.table.abandon_all()

    def _drop_queued(self, job):
        self.lanes[job.service].queue.cancel_job(job.key)

    def _push(self, lane, task, *, again):
        job = task.job
        task.expected_s = lane.expected_run_s(job.team, task.declared_s)
        lane.queue.push(task, team=job.team, job=job.key, cost_s=task.expected_s, again=again)

    def _push_again(self, lane, task):
        self._push(lane, task, again=True)
        self._schedule_pump(lane)

    def _lane(self, service):
        lane = self.lanes.get(service)
        if lane is None and (state := self.ctx.configuration.service(service)) is not None:
            lane = self.lanes[service] = Lane(service, state, self.ctx)
            self._refresh_lane(lane)
        return lane

    def _follow_configuration(self):
        """Make the lane of each service and refresh all.

        Notes
        -----
        A service's first job would wait for its allocators to take over if it made the lane.
        """
        for service in self.ctx.configuration.services():
            self._lane(service)
        self.refresh()

    def refresh(self):
        """Pass configuration, members and endpoint health on to the routers."""
        for lane in list(self.lanes.values()):
            self._refresh_lane(lane)

    def _refresh_lane(self, lane):
        now = self.ctx.timers.now()
        self._send(lane.refresh(now))
        self._schedule_pump(lane)

    def _pump_all(self):
        """Pump the lanes with work; one without any is pumped by each routing refresh."""
        self._retries.drain()
        for lane in self.lanes.values():
            if lane.is_active():
                self._pump(lane)

    def _schedule_pump(self, lane):
        if not lane.pump_scheduled:
            lane.pump_scheduled = True
            eventlet.spawn_n(self._pump, lane)

    def _pump(self, lane):
        lane.pump_scheduled = False
        now = self.ctx.timers.now()
        waiting = lane.eligible_tasks()
        small, share = lane.queue.small_tasks(), lane.queue.small_share()
        leases, outgoing = lane.router.pump(now, waiting, small=small, small_share=share)
        self._send(outgoing)
        for lease in leases:
            self._start_on(lane, lease, now)
        if waiting > len(leases) and now >= lane.trials_due_s:
            lane.trials_due_s = now + TRIALS_S
            self._start_trials(lane, now)

    def _start_trials(self, lane, now):
        """Start one waiting task on each ejected endpoint that is due for a trial."""
        for address in self.ctx.endpoint_view.due_trials(lane.service, now):
            queued = lane.queue.pop(lane.eligible)
            if queued is None:
                return
            lane.note_started(queued.team)
            eventlet.spawn_n(self._run_task, lane, None, queued.task_ref, address)

    def _start_on(self, lane, lease, now):
        queued = lane.queue.pop(lane.eligible)
        if queued is None:
            lane.router.release(now, lease, LeaseOutcome.FINISHED)
            return
        lane.note_started(queued.team)
        address = lane.address_of(lease.endpoint)
        eventlet.spawn_n(self._run_task, lane, lease, queued.task_ref, address)

    def _send(self, outgoing):
        for item in outgoing:
            self.ctx.peers.send(item.to, item.message)

    def receive(self, sender, message):
        """Take a slot message of a peer."""
        lane = self._lane(message.service)
        if lane is None:
            return
        self._send(lane.router.receive(self.ctx.timers.now(), sender, message))
        self._schedule_pump(lane)

    def loads(self):
        """Return what this process's allocators tell on each heartbeat, or None."""
        now = self.ctx.timers.now()
        loads = [load for lane in self.lanes.values() if (load := lane.router.load(now))]
        return loads or None

    def receive_loads(self, member, value):
        """Take the loads on a peer's heartbeat."""
        for load in msgspec.convert(value, list[SlotLoad]):
            lane = self._lane(load.service)
            if lane is not None:
                now = self.ctx.timers.now()
                self._send(lane.router.receive(now, member.incarnation, load))

    def waiting_by_team(self):
        """Return the number of waiting tasks by team over all services."""
        waiting = {}
        for lane in self.lanes.values():
            for team, count in lane.waiting_by_team().items():
                waiting[team] = waiting.get(team, 0) + count
        return waiting

    def _run_task(self, lane, lease, task, address):
        """Run one attempt of a task on a leased slot, or without a lease as a trial.

        Notes
        -----
        The job may have been closed, and "not run" said of it, since the task left the queue.
        """
        job = task.job
        began_s = self.ctx.timers.now()
        if job.closed:
            self._leave_out(lane, lease, job, began_s)
            return
        task.state = TaskState.STARTED
        task.address = address
        task.attempt_id = f"{self._attempt_prefix}~{next(self._attempt_numbers):x}"
        job.in_flight += 1
        self._counts["attempts"] += 1
        if not task.retries:
            self.ctx.retry_budget.note_first_sends(began_s)
        outcome = self._run_attempt(lane, task, began_s)
        job.in_flight -= 1
        ended_s = self.ctx.timers.now()
        if lane.has_other_endpoints():  # before the lease is free for another task there
            self._refresh_lane(lane)
        if lease is not None:
            lane.router.release(ended_s, lease, _lease_outcome(outcome), run_s=ended_s - began_s)
        self._release_quota(lane, job.team, outcome, began_s, ended_s)
        self._settle(lane, task, outcome, ended_s - began_s)
        self._schedule_pump(lane)

    def _leave_out(self, lane, lease, job, now):
        lane.note_ended(job.team)
        if lease is not None:
            lane.router.release(now, lease, LeaseOutcome.FINISHED)
        self._schedule_pump(lane)

    def _release_quota(self, lane, team, outcome, began_s, ended_s):
        """Give a task's place in its team's quota back once it certainly does not run."""
        if isinstance(outcome, Finished | NotRun):
            lane.note_ended(team)
            return
        left_s = began_s + self._longest_s(lane) - ended_s
        self.ctx.timers.after(max(0.0, left_s), lambda: lane.note_ended(team))

    def _longest_s(self, lane):
        return min(lane.state.task_timeout_s, self.ctx.settings.longest_task_s)

    def _run_attempt(self, lane, task, now):
        if task.address is None:
            return NotRun("refused")
        deadline_s = min(task.job.deadline_s, now + self._longest_s(lane))
        attempt = Attempt(
            task.attempt_id, task.task_id, lane.service, task.payload, deadline_s - now
        )
        return self.ctx.run_attempt(lane.service, task.address, attempt, expected_s=task.expected_s)

    def _settle(self, lane, task, outcome, run_s):
        """Apply the outcome of an attempt to its task and job."""
        job = task.job
        if isinstance(outcome, Finished):
            self._counts["tasks_finished"] += 1
            lane.note_run(job.team, task.declared_s, run_s)
            job.ran = Ran.YES
            if not outcome.result.ok:
                self.table.fail_task(task, ErrorKind.TASK_FAILED, str(outcome.result.value))
            else:
                self.table.finish_task(task, outcome.result.value)
        elif isinstance(outcome, NotRun):
            self._counts["attempts_not_run"] += 1
            self._retry(lane, task, outcome)
        else:
            self._counts["attempts_unknown"] += 1
            job.ran = Ran.UNKNOWN if job.ran is Ran.NO else job.ran
            self.table.fail_task(task, ErrorKind.OUTCOME_UNKNOWN, outcome.why)

    def _retry(self, lane, task, outcome):
        if not task.job.closed:
            self._retries.add(lane, task, outcome.reason)


def _lease_outcome(outcome):
    if isinstance(outcome, Finished):
        return LeaseOutcome.FINISHED
    if isinstance(outcome, NotRun) and outcome.reason == "full":
        return LeaseOutcome.FULL
    return LeaseOutcome.LOST
