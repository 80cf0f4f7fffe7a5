"""A zone is cut off for 1.6 s; its connections to the others are reset and refused meanwhile."""

import random
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from harness import BROKEN, HELD, NOT_RUN, TROUBLE, job, main, new_id, route  # noqa: E402
from zones import ZonedDeployment  # noqa: E402

PROCESSES = {"n1": "north", "n2": "north", "n3": "south", "n4": "south", "n5": "north"}
PARTS = 3  # deployments side by side, each with its own cuts
ROUNDS = 20
JOBS = 12
RUN_S = 6.0
CUT_S = (1.5, 1.8)
WATCH_S = 0.8
CALM_S = 1.2
RESOLUTION_MS = 2  # starts and ends are in whole milliseconds


def overlaps(deployment, jobs):
    """Return pairs of runs of one task that went on at the same time."""
    starts, ends = deployment.runs()
    ended = {(w, t, a): (how, ms) for w, rows in ends.items() for t, a, how, ms in rows}
    runs = {}
    for worker, rows in starts.items():
        for task, attempt, began_ms in rows:
            if task.partition(".")[0] in jobs:
                how, end_ms = ended.get((worker, task, attempt), ("active", float("inf")))
                runs.setdefault(task, []).append((began_ms, end_ms, worker, attempt, how))
    pairs = []
    for task, rows in runs.items():
        rows.sort()
        for one, other in zip(rows, rows[1:], strict=False):
            # A worker may have answered a higher attempt as if it were the run that is there.
            is_next = other[3] == one[3] + 1
            if is_next and other[0] + RESOLUTION_MS < one[1]:
                pairs.append((task, one, other))
    return pairs


def play_round(deployment, rng):
    """Return the runs at the same time of one cut."""
    south = [name for name, zone in PROCESSES.items() if zone == "south"]
    jobs = [new_id() for _ in range(JOBS)]
    for number, job_id in enumerate(jobs):
        threading.Thread(
            target=deployment.client_call,
            args=(south[number % 2], "POST", f"/checks/{job_id}", job(2, run_s=RUN_S)),
            kwargs={"timeout_s": 30.0},
            daemon=True,
        ).start()
    time.sleep(rng.uniform(0.6, 0.9))
    if TROUBLE:
        deployment.cut_zone("south")
        deployment.record.write("south is cut off")
    time.sleep(rng.uniform(*CUT_S))
    if TROUBLE:
        deployment.heal_zone("south")
        deployment.record.write("no zone is cut off")
    time.sleep(WATCH_S)
    pairs = overlaps(deployment, set(jobs))
    for pair in pairs:
        deployment.record.write(f"two runs at the same time: {pair}")
    for job_id in jobs:
        deployment.client_call("n1", "DELETE", f"/checks/{job_id}")
    time.sleep(CALM_S)
    return pairs


def part(folder):
    """Play all rounds in one deployment; return the exit code of the case."""
    rng = random.Random()
    deployment = ZonedDeployment(folder, PROCESSES, workers=16, routes=[route("checks")])
    try:
        deployment.start(deployment.platform_command())
        deployment.record.write(f"{deployment.scheduler()} schedules")
        pairs = [pair for _ in range(ROUNDS) for pair in play_round(deployment, rng)]
        for name in PROCESSES:
            for row in deployment.log(name):
                if row["event"] in EVENTS:
                    deployment.record.write(f"log of {name}: {row}"[:300])
    finally:
        deployment.stop()
    return BROKEN if pairs else HELD


def case(folder):
    """Play all parts at once; return the exit code of the case."""
    with tempfile.TemporaryDirectory() as place:
        folders = [Path(place, str(number)) for number in range(PARTS)]
        for each in folders:
            each.mkdir()
        command = [sys.executable, str(Path(__file__).resolve())]
        children = [
            subprocess.Popen([*command, str(each)], stdout=subprocess.DEVNULL) for each in folders
        ]
        codes = [child.wait() for child in children]
        with open(folder / "record.txt", "w", encoding="utf-8") as record:
            for number, each in enumerate(folders):
                lines = (each / "record.txt").read_text(encoding="utf-8").splitlines()
                record.writelines(f"deployment {number}  {line}\n" for line in lines)
    print(f"exit codes of the deployments: {codes}")
    if BROKEN in codes:
        return BROKEN
    return HELD if set(codes) == {HELD} else NOT_RUN


EVENTS = (
    "scheduler_followed",
    "scheduling_begins",
    "scheduling_ends",
    "claim_evaluated",
    "endpoint_taken_over",
    "task_waits_again",
    "start_hold_ends",
    "start_held",
)

sys.exit(main(part, sys.argv[1]) if sys.argv[1:] else main(case, FOLDER))
