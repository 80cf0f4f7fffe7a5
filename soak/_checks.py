"""The promises, checked on what callers were told and what workers recorded: plain functions."""

from collections import defaultdict
from dataclasses import dataclass, field

from burdocklug.kernel import Registry

__all__ = ["Evidence", "checks", "find_violations"]

checks = Registry("soak check")
REFUSED = (429, 503)
MAX_ATTEMPTS = 2  # of the queue in the stand-in's configuration
CANCEL_S = 3.0  # after the ack of a cancellation, until nothing of the job starts any more
CALM_S = 3.0  # before a request, without an unplanned fault, for it to be owed an answer


@dataclass
class Evidence:
    """What a run left behind.

    Parameters
    ----------
    jobs : list of Job
        What callers submitted and were told.
    starts : list of tuple
        Worker, task, attempt and milliseconds of each run that began.
    ends : list of tuple
        Worker, task, attempt, how and milliseconds of each run that ended.
    unplanned : list of tuple
        Begin and end, in the callers' seconds, of each fault that is not planned work.
    unserved : list of str
        What was not as it should be after all faults were made good.
    """

    jobs: list
    starts: list
    ends: list
    unplanned: list = field(default_factory=list)
    unserved: list = field(default_factory=list)


def find_violations(evidence):
    """Yield a line for each broken promise."""
    for name in checks.names():
        for line in checks.get(name)(evidence):
            yield f"{name}: {line}"


@checks.register("no task runs twice at once")
def overlapping_runs(evidence):
    """Yield tasks of which two runs overlap."""
    ended = {(w, task, attempt): ms for w, task, attempt, _how, ms in evidence.ends}
    runs = defaultdict(list)
    for worker, task, attempt, ms in evidence.starts:
        runs[task].append((ms, ended.get((worker, task, attempt), float("inf")), worker, attempt))
    for task, spans in runs.items():
        spans.sort()
        for one, other in zip(spans, spans[1:], strict=False):
            if other[0] < one[1]:
                yield f"{task} runs {one} and {other}"


@checks.register("what is refused has not run")
def refused_but_run(evidence):
    """Yield jobs of which every attempt was refused and a task began."""
    begun = {task.partition(".")[0] for _w, task, _a, _ms in evidence.starts}
    for job in evidence.jobs:
        told = [attempt.status for attempt in job.attempts]
        if told and all(status in REFUSED for status in told) and job.job_id in begun:
            yield f"{job.job_id} was refused: {told}"


@checks.register("answers are whole")
def false_answers(evidence):
    """Yield jobs whose answer does not agree with the ends of their runs."""
    done, failed = set(), defaultdict(int)
    for _worker, task, _attempt, how, _ms in evidence.ends:
        if how == "done":
            done.add(task)
        failed[task] += how == "failed"
    for job in evidence.jobs:
        tasks = [f"{job.job_id}.0.0.{number}" for number in range(job.count)]
        states = {attempt.state for attempt in job.attempts if attempt.status == 200}
        if "completed" in states and not done.issuperset(tasks):
            yield f"{job.job_id} is completed, not done: {sorted(set(tasks) - done)}"
        if "failed" in states and max(failed[task] for task in tasks) < MAX_ATTEMPTS:
            yield f"{job.job_id} is failed, its tasks have failed {[failed[t] for t in tasks]}"
        cancelled = {"cancelled"} if job.cancelled_s is not None else set()
        if states - {"completed", "failed"} - cancelled:
            yield f"{job.job_id} was answered {states}"


@checks.register("nothing runs that nobody asked for")
def unasked(evidence):
    """Yield tasks that are none of a submitted job's."""
    asked = {f"{j.job_id}.0.0.{number}" for j in evidence.jobs for number in range(j.count)}
    yield from sorted({task for _w, task, _a, _ms in evidence.starts} - asked)


@checks.register("what was cancelled starts no more")
def started_after_cancellation(evidence):
    """Yield tasks that start long after their job's cancellation, with no fault near."""
    cancelled = {job.job_id: job.cancelled_s for job in evidence.jobs if job.cancelled_s}
    for worker, task, attempt, ms in evidence.starts:
        acked_s = cancelled.get(task.partition(".")[0])
        start_s = ms / 1000
        if acked_s is None or start_s <= acked_s + CANCEL_S:
            continue
        if not any(a < start_s and start_s - CALM_S < b for a, b in evidence.unplanned):
            yield f"{task} attempt {attempt} at {worker}, {start_s - acked_s:.2f} s after the ack"


@checks.register("planned work cuts no request")
def cut_requests(evidence):
    """Yield requests without an answer that no unplanned fault came near."""
    for job in evidence.jobs:
        for attempt in job.attempts:
            if attempt.status is not None or not attempt.connected:
                continue
            begin_s, end_s = attempt.sent_s - CALM_S, attempt.ended_s
            if not any(a < end_s and begin_s < b for a, b in evidence.unplanned):
                yield f"{job.job_id} at {attempt.process}, sent at {attempt.sent_s:.2f}"


@checks.register("all is served after the last fault")
def unserved(evidence):
    """Yield what the closing look found."""
    yield from evidence.unserved
