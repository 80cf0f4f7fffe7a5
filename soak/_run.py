"""One seeded run: a fleet, callers, the faults of its plan, and the promises at the end."""

import random
import time

import eventlet

from soak._callers import Callers
from soak._checks import Evidence
from soak._faults import fault_kinds
from soak._fleet import SoakFleet
from soak._plan import make_plan
from standins.launch import LaunchError

__all__ = ["run_seed"]

DOMAINS = ("north", "south")
SETTLE_S = 8.0  # after the last fault; restarted processes are ready by then


def run_seed(seed, *, duration_s, processes=4, workers=6, callers=6, kinds=None, say=print):
    """Play one run and return its evidence.

    Parameters
    ----------
    seed : int
        Decides the plan, the jobs and the callers' choices.
    duration_s : float
        Seconds in which faults come.
    processes, workers, callers : int
        Sizes of the fleet.
    kinds : sequence of str, optional
        Kinds of faults, all of them if left out.
    say : callable, optional
        Takes a line for each fault.
    """
    names = {f"p{n}": DOMAINS[n % len(DOMAINS)] for n in range(processes)}
    fleet = SoakFleet(names, workers=workers)
    try:
        fleet.start()
        return _play(fleet, make_plan(seed, duration_s, kinds=kinds), seed, callers, say)
    finally:
        fleet.stop()


def _play(fleet, plan, seed, callers, say):
    began_s = time.monotonic()
    clients = Callers(fleet, seed=seed, number=callers)
    threads = [eventlet.spawn(_carry_out, fleet, entry, began_s, say) for entry in plan]
    spans = [thread.wait() for thread in threads]
    for name in fleet.processes:
        fleet.restart(name)
    eventlet.sleep(SETTLE_S)
    clients.stop()
    record = fleet.control("GET", "/record")
    unserved = list(_look_at_the_end(fleet))
    return Evidence(
        jobs=clients.jobs,
        starts=[(w, *start) for w, starts in record["starts"].items() for start in starts],
        ends=[(w, *end) for w, ends in record["ends"].items() for end in ends],
        unplanned=[span for entry, span in zip(plan, spans, strict=True) if not entry.is_planned],
        unserved=unserved,
    )


def _carry_out(fleet, entry, began_s, say):
    """Harm the fleet and make it good; return when that was."""
    eventlet.sleep(max(0.0, began_s + entry.at_s - time.monotonic()))
    begin_s = time.monotonic()
    say(f"{entry.at_s:6.2f} s  {entry.kind} for {entry.for_s} s")
    steps = fault_kinds.get(entry.kind)(fleet, random.Random(entry.seed))
    next(steps)
    eventlet.sleep(entry.for_s)
    for _ in steps:
        pass
    return begin_s, time.monotonic()


def _look_at_the_end(fleet):
    """Yield what is not as it should be: each process serves, one schedules."""
    for number, name in enumerate(sorted(fleet.processes)):
        yield from _look_at(fleet, name, f"ffff{number:012x}")
    leaders = 0
    for name in fleet.processes:
        status, state = fleet.state(name)
        if status == 200:
            leaders += state["pool"]["following"]["leads"]
        else:
            yield f"{name} tells no state: {status} {state}"
    if leaders != 1:
        yield f"{leaders} processes schedule"


def _look_at(fleet, name, job_id):
    try:
        fleet.wait_ready(name)
    except LaunchError as exc:
        yield f"{name} is not ready: {str(exc)[-200:]}"
        return
    status, answer = fleet.submit(name, job_id)
    if (status, answer) != (200, {"state": "completed"}):
        yield f"{name} answers {status} {answer}"
    status, _answer = fleet.call(name, "GET", f"/v{fleet.version}/")
    if fleet.version > 1 and status != 200:
        yield f"{name} has not version {fleet.version}: {status}"
