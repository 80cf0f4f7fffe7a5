"""One seeded run: a fleet, callers, the faults of its plan, and the promises at the end."""

import random
import time

import eventlet

from soak._callers import Callers
from soak._checks import Evidence
from soak._faults import fault_kinds
from soak._fleet import SoakFleet
from soak._plan import make_plan

__all__ = ["run_seed"]

DOMAINS = ("north", "south")
SETTLE_S = 8.0  # after the last fault; restarted processes are ready by then
READY_S = 15.0


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
    fleet.version = 1
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
    for name in fleet.processes:
        try:
            fleet.wait_ready(name)
        except Exception as exc:  # the look goes on, and the line says what was wrong
            yield f"{name} is not ready: {type(exc).__name__}"
            continue
        status, answer = fleet.submit(name, f"ffff{sorted(fleet.processes).index(name):012x}")
        if (status, answer) != (200, {"state": "completed"}):
            yield f"{name} answers {status} {answer}"
        status, _ = fleet.call(name, "GET", f"/v{fleet.version}/")
        if fleet.version > 1 and status != 200:
            yield f"{name} has not version {fleet.version}: {status}"
    states = {name: fleet.state(name) for name in fleet.processes}
    for name, (status, _) in states.items():
        if status != 200:
            yield f"{name} tells no state: {status} {_}"
    leaders = sum(s["pool"]["following"]["leads"] for code, s in states.values() if code == 200)
    if leaders != 1:
        yield f"{leaders} processes schedule"
