"""Plays the case that ``claim.txt`` describes."""

import signal
import time

from review.standins.deployment import CannotRun, Deployment, job, main, phase

PROCESSES = {
    "freistadt-1": "freistadt",
    "freistadt-2": "freistadt",
    "rohrbach-1": "rohrbach",
    "perg-1": "perg",
}
JOB_ID = "00000000000000c1"
STEPS = 10
FREEZE_S = 3.5
CANCEL_S = 3.0  # `cancel_ms`
DEADLINE_MS = 30_000
RETRY_S = 0.25


def case(record, trouble):
    """Freeze the scheduler, cancel a job that it took, and look for starts after the cancel."""
    deployment = Deployment(PROCESSES, workers=2, record=record).start()
    leader = deployment.leader()
    other = next(name for name in PROCESSES if PROCESSES[name] != PROCESSES[leader])
    chain = [phase(1, 1000, after=(n - 1,) if n else ()) for n in range(STEPS)]
    deployment.request_later(
        leader,
        "POST",
        f"/press/{JOB_ID}",
        job("run 1.0 cpu 2000", *chain),
        timeout_s=40.0,
        deadline_ms=DEADLINE_MS,
    )
    time.sleep(1.5)
    if trouble:
        deployment.signal(leader, signal.SIGSTOP)
    thaw_s = time.monotonic() + FREEZE_S
    acknowledged_s = cancel(deployment, other, until_s=thaw_s)
    time.sleep(max(0.0, thaw_s - time.monotonic()))
    if trouble:
        deployment.signal(leader, signal.SIGCONT)
    if acknowledged_s is None:
        raise CannotRun("the cancel was not acknowledged before the process went on")
    record.note("cancel acknowledged", at=acknowledged_s)
    time.sleep(STEPS + 2.0)
    runs = deployment.runs()
    record.note_runs(runs)
    if not runs:
        raise CannotRun("no task was started")
    late = [run for run in runs if run["start"] > acknowledged_s + CANCEL_S]
    for run in late:
        record.note(
            "start after the cancel",
            task=run["task"],
            attempt=run["attempt"],
            after_s=round(run["start"] - acknowledged_s, 3),
        )
    return bool(late)


def cancel(deployment, name, *, until_s):
    """Cancel the job as a client does, until an ack; return its time, or None."""
    while time.monotonic() < until_s:
        status, _answer = deployment.request(name, "DELETE", f"/press/{JOB_ID}", timeout_s=2.0)
        if status in (200, 202, 204, 410):
            return time.monotonic()
        time.sleep(RETRY_S)
    return None


if __name__ == "__main__":
    main(case)
