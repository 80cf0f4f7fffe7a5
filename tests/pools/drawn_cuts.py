"""Drawn cuts between two failure domains while tasks run, in virtual time; shows double runs."""

import random
from dataclasses import dataclass

import eventlet

from tests.pools.builders import RULE, spec, step
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time

__all__ = ["Mix", "play_seed"]

PROCESSES = {"n1": "north", "n2": "north", "n3": "south", "n4": "south", "n5": "north"}
ENDPOINTS = {f"w{number}": ("north", "south")[number % 2] for number in range(16)}
QUEUE = RULE.__class__(
    "checks", "press.example", "/press/", "press-control", max_attempts=3, target_s=10.0
)
JOBS = 12
RUN_S = (0.8, 2.0, 6.0)
WAIT_S = 12.0
CUT_S = (0.2, 4.0)
MAX_CUTS = 3
RELISTED = 6
UNLISTED_S = (0.1, 2.5)
MAX_PAUSE_S = 2.0  # between the end of a cut and the next one
ANSWER_S = 0.5  # by then a caller is answered after its waiting time
POLL_S = 0.1
RESOLUTION_S = 0.002  # runs that overlap for less do not count


@dataclass(frozen=True, slots=True)
class Mix:
    """What is drawn.

    Parameters
    ----------
    ways : tuple of str
        Directions in which a failure domain is cut off: "both", "in", "out".
    loss_share : float
        Share of the cuts in which a process is killed or loses its power, too.
    relist_share : float
        Share of the cuts in which endpoints leave the store's list for a while, too.
    max_delay_s, stop_s : float
        See `VirtualDeployment`.
    cpu : int
        Processor that a task needs, in thousandths of a core.
    """

    ways: tuple = ("both",)
    loss_share: float = 0.0
    relist_share: float = 0.0
    max_delay_s: float = 0.0
    stop_s: float = 0.0
    cpu: int = 1000


def overlaps(deployment):
    """Return the pairs of runs of one task that overlap for longer than `RESOLUTION_S`."""
    pairs = []
    for one, other in deployment.overlaps():
        ends = [row[3] if row[3] is not None else now_s() for row in (one, other)]
        if min(ends) - max(one[2], other[2]) > RESOLUTION_S:
            pairs.append((one, other))
    return pairs


def unanswered(deployment, answers):
    """Return the jobs that have no answer yet from a process that lives."""
    return [
        job_id
        for job_id, (name, answer) in answers.items()
        if not answer and deployment.processes[name].is_alive
    ]


def lose_process(deployment, rng):
    """Kill a process or cut its power after a while; it is the scheduler in half of the cases."""
    eventlet.sleep(rng.uniform(0.0, 2.0))
    alive = [name for name, process in deployment.processes.items() if process.is_alive]
    if len(alive) <= 3:
        return
    leaders = [n for n in alive if deployment.processes[n].pool.election.is_scheduler]
    name = rng.choice(leaders if leaders and rng.random() < 0.5 else alive)
    rng.choice([deployment.kill, deployment.lose_power])(name)


def relist_endpoint(deployment, rng):
    """Take an endpoint from the list and list it again, as after a lapsed entry."""
    eventlet.sleep(rng.uniform(0.0, 2.0))
    name = rng.choice(list(ENDPOINTS))
    deployment.store.delete_worker(name)
    eventlet.sleep(rng.uniform(*UNLISTED_S))
    deployment.store.put_worker(name, ENDPOINTS[name])


def play_seed(seed, mix):
    """Play a seed and return the overlapping runs and the jobs without an answer."""
    rng = random.Random(seed)

    def scenario():
        deployment = VirtualDeployment(
            PROCESSES,
            ENDPOINTS,
            run_s=rng.choice(RUN_S),
            stop_s=mix.stop_s,
            max_delay_s=mix.max_delay_s,
        ).start()
        answers = {}
        for number in range(JOBS):
            job = spec(f"j{number}", step(2, cpu=mix.cpu, estimate_s=1.0), rule=QUEUE)
            name = rng.choice(list(PROCESSES))
            answers[job.job_id] = name, deployment.submit(name, job, wait_s=WAIT_S)
            eventlet.sleep(rng.uniform(0.0, 0.1))
        for _ in range(rng.randint(1, MAX_CUTS)):
            if rng.random() < mix.loss_share:
                eventlet.spawn(lose_process, deployment, rng)
            if rng.random() < mix.relist_share:
                for _ in range(RELISTED):
                    eventlet.spawn(relist_endpoint, deployment, rng)
            cut_s = rng.uniform(*CUT_S)
            domain, how = rng.choice(["north", "south"]), rng.choice(mix.ways)
            deployment.cut_off(domain, how=how, for_s=cut_s)
            eventlet.sleep(cut_s + rng.uniform(0.0, MAX_PAUSE_S))
        until_s = now_s() + WAIT_S + ANSWER_S
        while unanswered(deployment, answers) and now_s() < until_s:
            eventlet.sleep(POLL_S)
        return overlaps(deployment), unanswered(deployment, answers)

    return run_in_virtual_time(scenario, seed=seed)
