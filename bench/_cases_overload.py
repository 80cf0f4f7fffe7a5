"""Cases on overload: goodput, bursts, a flooding team, a wave of cancellations."""

import heapq
import sys
from collections import Counter
from functools import partial

from bench._cases import at_least, at_most, cases
from bench._cases_routing import MAX_SINGLE_P99, SEED
from bench._fleet import Fleet
from bench._leases import LeaseProcess
from bench._measure import WARM_UP_S, quantile, single_ratios
from bench._workload import DEPLOYMENTS, MUEHLVIERTEL, JobMix, jobs
from burdocklug.limits import FairQueue

SECONDS = 60.0
DEADLINE_S = 10.0
LARGE_DEADLINE_S = 60.0  # a process's even share of the slots runs the largest job in 22 s
MIN_GOODPUT_RATIO = 0.95
BURST = (20.0, 2.0, 10.0)
BURST_LOAD = 0.3
CANCELLED = 10_000
MAX_OPERATIONS = 50  # calls that one start may cost, whatever was cancelled before


def _goodput(deployment, load):
    """Return the slot time a second of jobs answered in time, and the jobs left out by size."""
    fleet = Fleet(deployment, LeaseProcess, admission=True)
    mix = JobMix(deadline_s=LARGE_DEADLINE_S)
    fleet.run(jobs(deployment, mix, load=load, seconds=SECONDS, seed=SEED), seconds=SECONDS)
    done = 0.0
    for job in fleet.jobs:
        if job.done_s is not None and WARM_UP_S <= job.done_s < SECONDS:
            if job.done_s <= job.arrival_s + job.deadline_s:
                done += sum(task.run_s for task in job.tasks)
    left_out = Counter(f"{job.failed} {len(job.tasks)}" for job in fleet.jobs if job.failed)
    return done / (SECONDS - WARM_UP_S), dict(sorted(left_out.items()))


def _register_goodput(deployment):
    @cases.register(f"goodput/{deployment.name}")
    def goodput():
        at_capacity, left_out = _goodput(deployment, 1.0)
        name = f"goodput/{deployment.name}"
        refused = sum(left_out.values())
        yield at_most(f"{name}/100/left_out", refused, 0, slots=round(at_capacity, 1))
        for load in (1.2, 3.0):
            goodput, left_out = _goodput(deployment, load)
            ratio = round(goodput / at_capacity, 3)
            yield at_least(f"{name}/{round(100 * load)}", ratio, MIN_GOODPUT_RATIO, **left_out)


for _deployment in DEPLOYMENTS.values():
    _register_goodput(_deployment)


@cases.register("burst/muehlviertel")
def burst():
    """Ten times the load for two seconds: later single requests are answered as before."""
    fleet = Fleet(MUEHLVIERTEL, LeaseProcess)
    arrivals = jobs(MUEHLVIERTEL, JobMix(burst=BURST), load=BURST_LOAD, seconds=SECONDS, seed=SEED)
    fleet.run(arrivals, seconds=SECONDS)
    excess_s = BURST[1] * BURST[2] * BURST_LOAD / (1 - BURST_LOAD)
    after = single_ratios(fleet, from_s=BURST[0] + BURST[1] + excess_s)
    during = single_ratios(fleet, from_s=BURST[0], until_s=BURST[0] + BURST[1] + excess_s)
    details = {"during_p99": round(quantile(during, 0.99), 3)}
    yield at_most(
        "burst/after/single_p99", round(quantile(after, 0.99), 3), MAX_SINGLE_P99, **details
    )
    unanswered = sum(job.done_s is None for job in fleet.jobs)
    yield at_most("burst/unanswered", unanswered, 0)


@cases.register("fairness/muehlviertel")
def fairness():
    """One team of 75 floods with twice the capacity; the others send single requests."""
    fleet = Fleet(MUEHLVIERTEL, LeaseProcess, admission=True)
    flood = JobMix(sizes=((200, 1.0),), teams=1, prefix="flood", deadline_s=DEADLINE_S)
    single = JobMix(sizes=((1, 1.0),), teams=74, prefix="quiet", deadline_s=DEADLINE_S)
    arrivals = heapq.merge(
        jobs(MUEHLVIERTEL, flood, load=2.0, seconds=SECONDS, seed=SEED),
        jobs(MUEHLVIERTEL, single, load=0.3, seconds=SECONDS, seed=SEED + 1),
        key=lambda job: job.arrival_s,
    )
    fleet.run(arrivals, seconds=SECONDS)
    quiet = [job for job in fleet.jobs if job.team.startswith("quiet")]
    ratios = single_ratios(fleet, from_s=WARM_UP_S)
    late = [job for job in quiet if job.arrival_s >= WARM_UP_S]
    refused = sum(job.failed is not None for job in late)
    yield at_most("fairness/quiet/single_p99", round(quantile(ratios, 0.99), 3), MAX_SINGLE_P99)
    yield at_most("fairness/quiet/refused", refused, 0)


def _operations(call):
    """Return the number of function calls, built-in ones included, that a call makes."""
    count = 0

    def profile(_frame, event, _arg):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        call()
    finally:
        sys.setprofile(None)
    return count


@cases.register("cancel/wave")
def cancel_wave():
    """Ten thousand cancelled jobs, in one team and in many, before another team's start."""
    for teams in (1, 75):
        queue = FairQueue(max_tasks=10 * CANCELLED)
        for number in range(CANCELLED):
            team = f"t{number % teams}"
            queue.push(number, team=team, job=f"j{number}", cost_s=0.1)
        for number in range(CANCELLED, CANCELLED + 100):
            queue.push(number, team="t0", job="kept", cost_s=0.1)
        queue.push("other", team="other", job="other", cost_s=0.1)
        keys = (f"j{number}" for number in range(CANCELLED))
        most = max(_operations(partial(queue.cancel_job, key)) for key in keys)
        starts = max(_operations(queue.pop) for _ in range(101))
        yield at_most(f"cancel/{teams}_teams/operations_per_cancel", most, MAX_OPERATIONS)
        yield at_most(f"cancel/{teams}_teams/operations_per_start", starts, MAX_OPERATIONS)
