"""The scheduler of a pool: which task starts where, and what the end of a run means.

It does no input or output. Orders go to the `orders` object that it is given, whose `start` and
`stop` take a task; what endpoints answer comes back through the methods here.
"""

from collections import Counter

import structlog

from burdocklug.pools._forecast import RoomForecast, expected_ends
from burdocklug.pools._health import add_fault, learn_slowness
from burdocklug.pools._jobs import TaskState, apply_progress, make_job
from burdocklug.pools._latency import LatencyCounts
from burdocklug.pools._models import JobOutcome, RunEndKind
from burdocklug.pools._placement import EndpointRoom, allowed_at, expected_run_s, places_at
from burdocklug.pools._starts import Refuse, Start, decide, rooms_with_places

__all__ = ["Scheduler"]

WEIGH_S = 0.02  # while there is no room, jobs are weighed against the forecast so often
QUIET_S = 1.2  # by then what another scheduler had begun was stopped, or has lapsed
KEEP_ENDED_S = 10.0  # outcomes are kept for callers that ask again after a broken connection
ATTEMPT_STEP = 8  # raises the number of a start over those of earlier schedulers
PLACES_KEEP_S = 1.0  # endpoints come and go seldom beside jobs
WAVE_SHARE = 0.25  # of all places; a wider step can't expect to run at once beside other jobs
LATE_RESERVE = 0.15  # tasks an endpoint that late jobs leave free for timely ones

log = structlog.get_logger(__name__)


class Scheduler:
    """Jobs and endpoints of one pool.

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
    jobs, rooms : dict
        Jobs by id and endpoints by id.
    counts : Counter
        What happened, by name.
    latencies : LatencyCounts
        How long jobs took from their arrival, by queue and outcome.
    settled : bool
        Whether no endpoint has runs of an earlier scheduler that are not known here.
    missed_s : float
        Last time at which an endpoint's answer was missed.
    """

    def __init__(self, orders, *, now, distance_factor=1.5):
        self.jobs = {}
        self.rooms = {}
        self.counts = Counter()
        self.latencies = LatencyCounts()
        self.settled = True
        self.missed_s = float("-inf")
        self._weighed_s = 0.0
        self._counted_s = 0.0
        self._places = {}  # of all endpoints of a service, by service and demand of a task
        self._orders = orders
        self._now = now
        self._distance_factor = distance_factor
        self._waiting = {}  # jobs with tasks that wait, by id

    # Jobs

    def submit(self, spec, *, received_s, wait_s, quiet_s=None, progress=None):
        """Take a job, or attach to the one that has its id, and return it.

        Parameters
        ----------
        spec : JobSpec
            The job.
        received_s : float
            When its caller's process received it.
        wait_s : float
            Seconds from then for which the caller waits.
        quiet_s : float, optional
            Seconds since an earlier scheduler was heard that may have begun the job.
        progress : JobProgress, optional
            What that one has done of it.
        """
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = self._add(spec, received_s, wait_s, quiet_s)
            if progress is not None:
                apply_progress(job, progress)
                job.not_before_s = 0.0 if job.unsettled else job.not_before_s
        elif job.outcome is None:
            job.expires_s = max(job.expires_s, received_s + wait_s)
            job.suspended = False
            self._waiting[job.job_id] = job
        return job

    def _add(self, spec, received_s, wait_s, quiet_s):
        wave = self._wave(spec)
        job = make_job(spec, received_s=received_s, wait_s=wait_s, wave=wave)
        if quiet_s is not None:
            job.unsettled = not self.settled
            job.not_before_s = self._now() + max(0.0, QUIET_S - quiet_s)
        self.jobs[spec.job_id] = job
        self._waiting[spec.job_id] = job
        self.counts["jobs"] += 1
        return job

    def _wave(self, spec):
        """Return how many tasks of a job may be expected to run at once: a share of all places."""
        demand = max((step.demand for step in spec.steps), key=lambda demand: demand.cpu)
        return max(1, int(WAVE_SHARE * self._count_all_places(spec.queue.service, demand)))

    def _count_all_places(self, service, demand):
        """Return how many tasks of a demand a service's endpoints hold when nothing else runs."""
        now = self._now()
        if now - self._counted_s >= PLACES_KEEP_S:
            self._counted_s = now
            self._places.clear()
        places = self._places.get((service, demand))
        if places is None:
            entries = [room.entry for room in self.rooms.values() if not room.entry.draining]
            places = sum(places_at(demand, e.capacity) for e in entries if e.service == service)
            self._places[service, demand] = places
        return places

    def settle(self):
        """Note that no endpoint has runs of an earlier scheduler that are not known here."""
        self.settled = True
        for job in self.jobs.values():
            job.unsettled = False

    def suspend(self, job):
        """Stop what runs of a job for which nobody waits; a new submission goes on with it."""
        if job.outcome is not None or job.suspended:
            return
        job.suspended = True
        self._waiting.pop(job.job_id, None)
        self.counts["jobs_suspended"] += 1
        log.info("job_suspended", job=job.job_id, age_s=round(self._now() - job.received_s, 3))
        for task, room in self._placed(job):
            if task.state.is_placed:
                self._orders.stop(task, room)

    def impossible(self, spec):
        """Return why no endpoint could ever run the job, or None.

        An endpoint that only lacks room now counts, one that drains does not.
        """
        probe = make_job(spec, received_s=0.0, wait_s=1.0)
        rooms = [room for room in self.rooms.values() if not room.entry.draining]
        first_of_step = {task.step: task for task in reversed(probe.tasks)}
        for step, task in first_of_step.items():
            if not any(allowed_at(task, room) for room in rooms):
                return f"no endpoint of {spec.queue.service!r} can hold a task of step {step}"
        return None

    def end_job(self, job, outcome, *, reason):
        """End a job, stop what runs of it, and wake those who wait for its outcome."""
        if job.outcome is not None:
            return
        now = self._now()
        job.outcome, job.ended_s = outcome, now
        self._waiting.pop(job.job_id, None)
        job.waiting.clear()
        self.counts[f"jobs_{outcome}"] += 1
        self.latencies.add(f"{job.spec.queue.name}.{outcome}", now - job.received_s)
        log.info(
            "job_ended",
            job=job.job_id,
            queue=job.spec.queue.name,
            outcome=str(outcome),
            reason=reason,
            age_s=round(now - job.received_s, 3),
            late_s=round(now - job.goal_s, 3),
            waits_s=round(job.expires_s - job.received_s, 3),
        )
        for task in job.tasks:
            if task.state.is_placed:
                self._stop(task)
            elif task.state is not TaskState.DONE:
                task.state = TaskState.ENDED
        waiters, job.waiters = job.waiters, []
        for wake in waiters:
            wake(job)

    def drop_job(self, job):
        """Forget a job that nothing of has begun, so that its id is free again."""
        self._waiting.pop(job.job_id, None)
        self.jobs.pop(job.job_id, None)

    def _stop(self, task):
        task.state = TaskState.ENDED
        room = self.rooms.get(task.endpoint_id)
        if room is not None and task.name in room.runs:
            self._orders.stop(task, room)

    def forget_ended(self):
        """Forget outcomes that are older than `KEEP_ENDED_S`."""
        now = self._now()
        for job in list(self.jobs.values()):
            over_s = job.ended_s if job.outcome else job.expires_s
            if (job.outcome or job.suspended) and over_s < now - KEEP_ENDED_S:
                if not any(task.name in room.runs for task, room in self._placed(job)):
                    del self.jobs[job.job_id]

    def _placed(self, job):
        for task in job.tasks:
            room = self.rooms.get(task.endpoint_id)
            if room is not None:
                yield task, room

    def pending(self, queue):
        """Return how many jobs of a queue have begun nothing."""
        return sum(j.spec.queue.name == queue and not j.started for j in self._waiting.values())

    # Endpoints

    def add_endpoint(self, entry):
        """Take in an endpoint, not usable yet, and return its room."""
        room = self.rooms[entry.endpoint_id] = EndpointRoom(entry)
        self._places.clear()
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
        for decision in decide(
            list(self._waiting.values()),
            rooms,
            now,
            forecast=self._forecast(now),
            settled=self.settled,
            reserve=int(LATE_RESERVE * len(self.rooms)),
            distance_factor=self._distance_factor,
        ):
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

    def _wait_again(self, task):
        task.job.let_wait(task)
        if not task.job.suspended:
            self._waiting[task.job.job_id] = task.job

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

    def find_task(self, name):
        """Return the task of a name, or None if no job here has it."""
        job = self.jobs.get(name.partition(".")[0])
        if job is None:
            return None
        return next((task for task in job.tasks if task.name == name), None)

    @property
    def waiting_jobs(self):
        """Number of jobs with tasks that wait."""
        return len(self._waiting)

    def load(self):
        """Return how much runs and waits, as plain data."""
        now = self._now()
        rooms = self.rooms.values()
        return {
            "waiting_jobs": self.waiting_jobs,
            "waiting_tasks": sum(len(job.waiting) for job in self._waiting.values()),
            "runs": sum(len(room.runs) for room in rooms),
            "endpoints": len(self.rooms),
            "open_endpoints": sum(room.is_open(now) for room in rooms),
            "free_cpu": sum(room.free.cpu for room in rooms if room.is_open(now)),
            "slowness": round(sum(room.slowness for room in rooms) / max(1, len(self.rooms)), 2),
        }

    def dump(self):
        """Return jobs and endpoints as plain data."""
        return {
            "counts": dict(self.counts),
            "jobs": len(self.jobs),
            "waiting_jobs": self.waiting_jobs,
            "endpoints": [
                {
                    "id": room.entry.endpoint_id,
                    "usable": room.usable,
                    "draining": room.entry.draining,
                    "runs": len(room.runs),
                    "slowness": round(room.slowness, 2),
                }
                for room in self.rooms.values()
            ],
        }
