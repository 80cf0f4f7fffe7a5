"""The scheduler of a pool: which task starts where, and what the end of a run means.

It does no input or output. Orders go to the `orders` object that it is given, whose `start` and
`stop` take a task; what endpoints answer comes back through the methods here.
"""

import structlog

from burdocklug.pools._forecast import RoomForecast, expected_ends
from burdocklug.pools._health import add_fault, forget_slowness, learn_slowness, usual_slowness
from burdocklug.pools._job_book import JobBook
from burdocklug.pools._jobs import TaskState
from burdocklug.pools._models import JobOutcome, RunEndKind
from burdocklug.pools._placement import EndpointRoom, expected_run_s
from burdocklug.pools._starts import PoolView, Refuse, Start, decide, rooms_with_places

__all__ = ["Scheduler"]

WEIGH_S = 0.02  # while there is no room, jobs are weighed against the forecast so often
ATTEMPT_STEP = 8  # raises the number of a start over those of earlier schedulers
LATE_RESERVE = 0.15  # tasks an endpoint that late jobs leave free for timely ones

log = structlog.get_logger(__name__)


class Scheduler(JobBook):
    """Jobs and endpoints of one pool: starts tasks, and takes in how their runs end.

    Parameters
    ----------
    orders : object
        Its ``start(task, room)`` and ``stop(task, room)`` send orders to an endpoint.
    now : callable
        Returns monotonic seconds.
    distance_factor : float
        Times as long a task takes away from the rack of its data.

    Attributes
    ----------
    missed_s : float
        Last time at which an endpoint's answer was missed.
    """

    def __init__(self, orders, *, now, distance_factor=1.5):
        super().__init__(orders, now=now)
        self.missed_s = float("-inf")
        self._weighed_s = 0.0
        self._usual_slowness = 1.0
        self._distance_factor = distance_factor

    # Endpoints

    def add_endpoint(self, entry):
        """Take in an endpoint, not usable yet, and return its room."""
        room = self.rooms[entry.endpoint_id] = EndpointRoom(entry)
        self._places.forget()
        return room

    def remove_endpoint(self, endpoint_id):
        """Forget an endpoint; what it ran has ended."""
        room = self.rooms.pop(endpoint_id, None)
        if room is not None:
            self.lose_runs(room, reason="endpoint_gone")

    def lose_runs(self, room, *, reason):
        """Note that nothing of what was placed at an endpoint runs there any more."""
        for task in list(room.runs.values()):
            self.note_lost(task, room, reason=reason)

    # Starts

    def pump(self):
        """Start what fits, the most urgent jobs first, and return the number of starts."""
        if not self._waiting:
            return 0
        now = self._now()
        rooms = rooms_with_places(self._waiting.values(), self.rooms.values(), now)
        if not rooms and now < self._weighed_s + WEIGH_S:
            return 0
        self._weighed_s = now
        starts = 0
        view = PoolView(
            now_s=now,
            rooms=rooms,
            forecast=self._forecast(now),
            settled=self.settled,
            reserve=int(LATE_RESERVE * len(self.rooms)),
            distance_factor=self._distance_factor,
            usual_slowness=self._usual_slowness,
        )
        for decision in decide(list(self._waiting.values()), view):
            starts += self._carry_out(decision, now)
        return starts

    def _forecast(self, now):
        runs = ((task, room) for room in self.rooms.values() for task in room.runs.values())
        return RoomForecast(now, expected_ends(runs, now, self._expected_s))

    def _expected_s(self, task, room):
        return expected_run_s(task, room, distance_factor=self._distance_factor)

    def _carry_out(self, decision, now):
        """Carry out a decision and return the number of starts."""
        if isinstance(decision, Start):
            self._start(decision.task, decision.room, now)
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

    def _refuse(self, job, now):
        self.counts["jobs_refused"] += 1
        log.info(
            "job_refused",
            job=job.job_id,
            queue=job.spec.queue.name,
            reason="overload",
            age_s=round(now - job.received_s, 3),
            tasks=len(job.tasks),
            waiting=len(self._waiting),
        )
        waiters, job.waiters = job.waiters, []
        self.drop_job(job)
        for wake in waiters:
            wake(job)

    def _start(self, task, room, now):
        task.job.waiting.remove(task)
        if not task.job.waiting:
            self._waiting.pop(task.job.job_id, None)
        task.state = TaskState.STARTING
        task.attempt += 1
        task.endpoint_id = room.entry.endpoint_id
        task.started_s = now
        task.job.started = True
        room.add(task)
        self.counts["starts"] += 1
        self._orders.start(task, room)

    # What endpoints answer

    def note_started(self, task, room):
        """Note that an endpoint has a run of a task."""
        if task.state is TaskState.STARTING and room.runs.get(task.name) is task:
            task.state = TaskState.RUNNING

    def adopt(self, task, room, *, attempt):
        """Take over a run that an earlier scheduler has started."""
        task.job.waiting.remove(task)
        task.state = TaskState.RUNNING
        task.attempt = max(task.attempt, attempt)
        task.endpoint_id = room.entry.endpoint_id
        task.job.started = True
        room.add(task)
        self.counts["adopted"] += 1

    def adopt_end(self, task, room, kind, *, attempt):
        """Take in the end of a run that an earlier scheduler has started; its task waits.

        What is done is not done again, and runs that failed count as attempts.
        """
        task.attempt = max(task.attempt, attempt)
        if kind not in (RunEndKind.DONE, RunEndKind.FAILED):
            return
        self.counts[f"adopted_{kind}"] += 1
        task.job.started = True
        task.job.waiting.remove(task)
        if kind is RunEndKind.DONE:
            self._finish(task)
        else:
            self._fail(task, room)

    def note_fault(self, task, room):
        """Count a fault of an endpoint, which gets single trials after several in a row."""
        task.avoided.add(room.entry.endpoint_id)
        if add_fault(room, self._now()):
            self.counts["ejected"] += 1

    def note_refused(self, task, room, *, reason, raise_attempt=False):
        """Note that a start was refused and nothing of it runs."""
        self.counts[f"refused_{reason}"] += 1
        if raise_attempt:
            task.attempt += ATTEMPT_STEP
        self.note_lost(task, room, reason=f"refused_{reason}")

    def note_lost(self, task, room, *, reason):
        """Note that a run of a task is over without an end of its own; it waits again."""
        room.remove(task)
        if not task.state.is_placed:
            return
        log.info(
            "task_waits_again",
            task=task.name,
            attempt=task.attempt,
            endpoint=room.entry.endpoint_id,
            reason=reason,
        )
        self.counts["tasks_again"] += 1
        self._wait_again(task)

    def note_end(self, task, room, kind, *, is_prompt=True):
        """Note the end of a run that the endpoint has listed.

        Parameters
        ----------
        task : Task
            What ran.
        room : EndpointRoom
            Where.
        kind : RunEndKind
            How the run ended.
        is_prompt : bool, optional
            Whether the end was reported at once, so that it tells how fast the endpoint is.
        """
        now = self._now()
        self.counts[f"ends_{kind}"] += 1
        is_placed = task.state.is_placed and room.runs.get(task.name) is task
        if kind is RunEndKind.DONE and is_placed:
            room.faults = 0
            if is_prompt:
                learn_slowness(room, now - task.started_s, self._expected_s(task, room))
        room.remove(task)
        if not is_placed:
            return
        if kind is RunEndKind.DONE:
            self._finish(task)
        elif kind is RunEndKind.FAILED:
            self._fail(task, room)
        else:
            self._wait_again(task)

    def _finish(self, task):
        task.state = TaskState.DONE
        job = task.job
        if all(t.state is TaskState.DONE for t in job.tasks):
            self.end_job(job, JobOutcome.COMPLETED, reason="all_done")
        elif any(t.state is TaskState.BLOCKED for t in job.tasks):
            job.unblock()
            self._waiting[job.job_id] = job

    def _fail(self, task, room):
        task.failures += 1
        self.note_fault(task, room)
        limit = task.job.spec.queue.max_attempts
        log.info(
            "task_failed",
            task=task.name,
            attempt=task.attempt,
            endpoint=room.entry.endpoint_id,
            failures=task.failures,
            limit=limit,
        )
        if task.failures >= limit:
            task.state = TaskState.ENDED
            self.end_job(task.job, JobOutcome.FAILED, reason="attempts_used_up")
        else:
            self._wait_again(task)

    def review_slowness(self):
        """Learn what is usual of endpoints now; to be called once a second."""
        self._usual_slowness = usual_slowness(self.rooms.values())
        for room in self.rooms.values():
            forget_slowness(room, self._usual_slowness)

    def note_slow_run(self, task, room, run_s):
        """Take in that a run under way will take so long altogether, by its progress."""
        learn_slowness(room, run_s, self._expected_s(task, room))
