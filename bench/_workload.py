"""The two deployments of the brief, and jobs that arrive at their processes."""

import math
import random
from dataclasses import dataclass, field

__all__ = ["AMHARA", "DEPLOYMENTS", "MUEHLVIERTEL", "Deployment", "Job", "JobMix", "Task", "jobs"]

ENDPOINTS = 24
SLOTS = 8
LOCAL_TRIP_S = 0.00025  # one way inside a failure domain
SHORT_RUN_S = (0.05, 1.0)
LONG_RUN_S = (2.0, 5.0)
LONG_SHARE = 0.03
TEAMS = 12


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of one user's fleet; trips are one way, in seconds."""

    name: str
    weight: str
    failure_domains: tuple
    processes: tuple  # number in each failure domain
    remote_trip_s: float
    client_trip_s: float
    rack_size: int

    def trip_s(self, one, other):
        """Return the one-way time between two failure domains."""
        return LOCAL_TRIP_S if one == other else self.remote_trip_s


MUEHLVIERTEL = Deployment(
    "muehlviertel", "latency", ("freistadt", "rohrbach", "perg"), (3, 2, 2), 0.0015, 0.003, 8
)
AMHARA = Deployment(
    "amhara", "messages", ("weave", "dye", "yarn", "office"), (2, 2, 2, 1), 0.0005, 0.001, 6
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (MUEHLVIERTEL, AMHARA)}


@dataclass(slots=True)
class Task:
    """One task: its true run time and the declared one, in seconds."""

    job: object
    run_s: float
    declared_s: float


@dataclass(slots=True)
class Job:
    """One job and what became of it."""

    key: str
    team: str
    process: int
    arrival_s: float
    deadline_s: float
    tasks: list = field(default_factory=list)
    left: int = 0
    done_s: float | None = None
    failed: str | None = None


@dataclass(frozen=True, slots=True)
class JobMix:
    """Shares of job sizes, and how arrivals spread over processes and time.

    Parameters
    ----------
    sizes : tuple of (int, float)
        Number of tasks and share of the jobs.
    uneven : bool
        Whether one process gets half of the jobs.
    burst : tuple of (float, float, float) or None
        Start and length in seconds, and the factor on the rate meanwhile.
    deadline_s : float
        Time from arrival until the caller gives up.
    teams : int
        Number of teams, with equal arrivals.
    prefix : str
        Start of the teams' names.
    """

    sizes: tuple = ((1, 0.80), (20, 0.155), (200, 0.04), (1700, 0.005))
    uneven: bool = False
    burst: tuple | None = None
    deadline_s: float = 1e9
    teams: int = TEAMS
    prefix: str = "team"

    def mean_tasks(self):
        """Return the mean number of tasks of a job."""
        return sum(size * share for size, share in self.sizes)


def mean_run_s():
    """Return the mean run time of a task, in seconds."""
    low, high = SHORT_RUN_S
    short = (high - low) / math.log(high / low)
    return (1 - LONG_SHARE) * short + LONG_SHARE * sum(LONG_RUN_S) / 2


def _run_s(rng):
    if rng.random() < LONG_SHARE:
        return rng.uniform(*LONG_RUN_S)
    low, high = SHORT_RUN_S
    return low * (high / low) ** rng.random()


def _declared_s(rng, run_s):
    return run_s * 10 ** rng.uniform(-1.0, 1.0)


def jobs(deployment, mix, *, load, seconds, seed):
    """Yield jobs in order of arrival.

    Parameters
    ----------
    deployment : Deployment
        The fleet.
    mix : JobMix
        What arrives.
    load : float
        Offered slot time over the slots of all endpoints.
    seconds : float
        Length of the arrivals.
    seed : int
        Seed of the generator.
    """
    rng = random.Random(seed)
    rate = load * ENDPOINTS * SLOTS / mean_run_s() / mix.mean_tasks()
    processes = sum(deployment.processes)
    weights = [1.0] * processes
    if mix.uneven:
        weights[0] = processes - 1.0
    now_s, number = 0.0, 0
    while True:
        factor = 1.0
        if mix.burst and mix.burst[0] <= now_s < mix.burst[0] + mix.burst[1]:
            factor = mix.burst[2]
        now_s += rng.expovariate(rate * factor)
        if now_s >= seconds:
            return
        size = rng.choices([s for s, _ in mix.sizes], [w for _, w in mix.sizes])[0]
        process = rng.choices(range(processes), weights)[0]
        team = f"{mix.prefix}-{rng.randrange(mix.teams)}"
        job = Job(f"{mix.prefix}-j{number}", team, process, now_s, mix.deadline_s)
        for _ in range(size):
            run_s = _run_s(rng)
            job.tasks.append(Task(job, run_s, _declared_s(rng, run_s)))
        job.left = size
        number += 1
        yield job
