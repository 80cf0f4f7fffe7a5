"""Property test: whatever happens in whatever order, only jobs that may run are in the queue."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._models import JobOutcome, RunEndKind
from burdocklug.pools.scheduling._jobs import TaskState, progress_of
from tests.pools.builders import VirtualPool, entry, step

JOBS = ("j1", "j2")
STEPS = (step(2), step(1), step(1, after=(1,)))
KINDS = (RunEndKind.DONE, RunEndKind.FAILED, RunEndKind.STOPPED, RunEndKind.LAPSED)


def actions():
    """Return events at a scheduler: pairs of a name and arguments."""
    job = st.sampled_from(JOBS)
    return st.one_of(
        st.tuples(st.just("submit"), job, st.sampled_from((None, 0.0, 2.0))),
        st.tuples(st.just("suspend"), job),
        st.tuples(st.just("cancel"), job),
        st.tuples(st.just("end"), job, st.integers(0, 3), st.sampled_from(KINDS)),
        st.tuples(st.just("vanish"), job, st.integers(0, 3)),
        st.tuples(st.just("adopt"), job, st.integers(0, 3)),
        st.tuples(st.just("adopt_end"), job, st.integers(0, 3), st.sampled_from(KINDS)),
        st.tuples(st.just("wait"), st.sampled_from((0.05, 0.7, 3.0))),
        st.tuples(st.just("upkeep")),
    )


class Player:
    """Applies events to a scheduler with two endpoints."""

    def __init__(self):
        self.pool = VirtualPool(entry(1), entry(2))
        self.scheduler = self.pool.scheduler

    def play(self, action, *args):
        getattr(self, action)(*args)

    def _task(self, job_id, index):
        job = self.scheduler.jobs.get(job_id)
        return None if job is None else job.tasks[index]

    def submit(self, job_id, since_heard_s):
        job = self.scheduler.jobs.get(job_id)
        is_handed_over = since_heard_s == 0.0 and job is not None
        self.pool.submit(
            job_id,
            *STEPS,
            wait_s=9.0,
            since_heard_s=since_heard_s,
            progress=progress_of(job) if is_handed_over else None,
        )

    def suspend(self, job_id):
        if job_id in self.scheduler.jobs:
            self.scheduler.suspend(self.scheduler.jobs[job_id])

    def cancel(self, job_id):
        if job_id in self.scheduler.jobs:
            job = self.scheduler.jobs[job_id]
            self.scheduler.end_job(job, JobOutcome.CANCELLED, reason="test")

    def end(self, job_id, index, kind):
        task = self._task(job_id, index)
        if task is not None and task.endpoint_id in self.scheduler.endpoints:
            self.pool.end(task, kind)

    def vanish(self, job_id, index):
        task = self._task(job_id, index)
        if task is not None and task.state.is_placed:
            endpoint = self.scheduler.endpoints[task.endpoint_id]
            self.scheduler.requeue_lost(task, endpoint, reason="test")

    def _adoptable(self, job_id, index):
        task = self._task(job_id, index)
        is_open = task is not None and task.state is TaskState.WAITING and not task.job.outcome
        return task if is_open else None

    def adopt(self, job_id, index):
        task = self._adoptable(job_id, index)
        if task is not None and not task.job.suspended:
            endpoint = self.scheduler.endpoints["e1"]
            self.scheduler.adopt(task, endpoint, attempt=task.attempt + 1, started_s=0.0)

    def adopt_end(self, job_id, index, kind):
        task = self._adoptable(job_id, index)
        if task is not None:
            endpoint = self.scheduler.endpoints["e1"]
            self.scheduler.adopt_end(task, endpoint, kind, attempt=task.attempt + 1)

    def wait(self, seconds):
        self.pool.now_s += seconds
        self.scheduler.start_waiting()

    def upkeep(self):
        self.scheduler.forget_ended()
        self.scheduler.start_waiting()


class JobStateTest(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(actions(), max_size=25))
    def test_the_queue_has_exactly_the_jobs_with_tasks_that_may_start(self, events):
        player = Player()
        for event in events:
            player.play(*event)
            jobs = player.scheduler.jobs.values()
            may_start = [j for j in jobs if j.waiting and not j.outcome and not j.suspended]
            self.assertThat(set(player.scheduler._waiting), Equals({j.job_id for j in may_start}))
            for job in jobs:
                waiting = [t for t in job.tasks if t.state is TaskState.WAITING]
                self.assertThat({t.name for t in job.waiting}, Equals({t.name for t in waiting}))
