"""Runs the demo: ``python -m demo``; exits 0 only where every promise was kept."""

import random
import subprocess
import sys
import tempfile
import time
import warnings
from pathlib import Path

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import yaml  # noqa: E402

from demo._deployments import AMHARA, MUEHLVIERTEL  # noqa: E402
from demo._report import check_starts, message_cells, percentile, print_report  # noqa: E402
from demo._workload import run_callers  # noqa: E402
from standins.counts import endpoint_messages, peer_messages  # noqa: E402
from standins.fleet import OPERATOR_TOKEN, Fleet  # noqa: E402

RUN_S = 12.0
KILL_AFTER_S = 4.0
RESTART_AFTER_S = 6.0
CALLERS = 12
CLI_TIMEOUT_S = 15.0
SEED = 20261204


def run_cli(*args):
    """Run the command line as an operator would and return whether it succeeded."""
    command = [sys.executable, "-m", "burdocklug.cli", *args]
    done = subprocess.run(command, capture_output=True, text=True, timeout=CLI_TIMEOUT_S)
    if done.returncode:
        print(done.stdout, done.stderr, file=sys.stderr)
    return done.returncode == 0


def apply_first_ticket(fleet):
    """Apply ticket 1 through the command line and wait until it is in force everywhere."""
    path = Path(tempfile.mkdtemp(prefix="burdocklug-demo-")) / "1.yaml"
    path.write_text(yaml.safe_dump(fleet.ticket(1)), encoding="utf-8")
    where = ["-o", fleet.operators(fleet.names[0]), "--token", OPERATOR_TOKEN]
    return run_cli("ticket", "apply", str(path), *where) and run_cli("ticket", "wait", "1", *where)


def kill_one(fleet, rng):
    """Kill one process amid the run, start another under its name; return its last state."""
    eventlet.sleep(KILL_AFTER_S)
    name = rng.choice(fleet.names)
    state = fleet.state(name)
    fleet.children[name].kill()
    eventlet.sleep(RESTART_AFTER_S - KILL_AFTER_S)
    fleet.start_process(name)
    return state


def run_deployment(deployment, seed):
    """Run one deployment and return its row of the table and whether it kept the promises."""
    with Fleet(deployment) as fleet:
        applied = apply_first_ticket(fleet)
        killer = eventlet.spawn(kill_one, fleet, random.Random(seed))
        until_s = time.monotonic() + RUN_S
        addresses = fleet.all_callers()
        jobs = run_callers(deployment, addresses, callers=CALLERS, until_s=until_s, seed=seed)
        dumps = [killer.wait(), *(fleet.state(name) for name in fleet.names)]
        records = fleet.records()
    row, kept = summarise(deployment, jobs, records, dumps)
    gone = not fleet.running()
    return row, applied and kept and gone


def summarise(deployment, jobs, records, dumps):
    """Return the row of a deployment and whether no task started twice, no answer was partial."""
    starts = check_starts(records)
    states = [job.state for job in jobs]
    complete = [job for job in jobs if job.state == "complete"]
    ratios = [job.elapsed_s / job.ideal_s for job in complete]
    twice = sum(count > 1 for count in starts.values())
    broken = sum(not job.whole for job in jobs)
    row = {
        "deployment": deployment.name,
        "complete": states.count("complete"),
        "failed": states.count("failed"),
        "refused": states.count("refused"),
        "tasks": len(starts),
        "started twice": twice,
        "not whole": broken,
        "p50/ideal": f"{percentile(ratios, 0.5):.2f}",
        "p99/ideal": f"{percentile(ratios, 0.99):.2f}",
        **message_cells(endpoint_messages(records), peer_messages(dumps), len(starts)),
    }
    return row, not twice and not broken and len(complete) > 0


def main():
    """Run both deployments one after the other."""
    results = [run_deployment(deployment, SEED) for deployment in (MUEHLVIERTEL, AMHARA)]
    print_report([row for row, _ in results])
    kept = all(kept for _, kept in results)
    print("every promise was kept" if kept else "a promise was broken")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
