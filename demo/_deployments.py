"""The two deployments as the demo runs them, and the kinds of their jobs."""

from dataclasses import dataclass

from standins.fleet import Deployment

__all__ = ["AMHARA", "JobKind", "KINDS", "MUEHLVIERTEL"]

DEMO_JOBS = {"shutdown_s": 10.0}


@dataclass(frozen=True)
class JobKind:
    """A kind of job: its team, its number of tasks, the range of its run times in seconds."""

    name: str
    team: str
    tasks: tuple
    run_s: tuple
    long_share: float = 0.0  # share of tasks that take several seconds


MUEHLVIERTEL = Deployment(
    name="muehlviertel",
    service="press-control",
    weight="latency",
    processes={"freistadt": 3, "rohrbach": 2, "perg": 2},
    endpoints=2,
    teams={"couch-line": 24, "vat-crew": 24, "sheet-run": 24},
    jobs=DEMO_JOBS,
)

AMHARA = Deployment(
    name="amhara",
    service="loom-desk",
    weight="messages",
    processes={"weave": 2, "dye-house": 2, "yarn-store": 2, "office-block": 1},
    endpoints=2,
    teams={"floor": 32, "dye-house": 32},
    jobs=DEMO_JOBS,
)

KINDS = {
    "muehlviertel": (
        JobKind("moisture check", "couch-line", (1, 4), (0.05, 0.2)),
        JobKind("pulp-mix recipe", "vat-crew", (1, 8), (0.1, 0.6)),
        JobKind("density check", "sheet-run", (1, 12), (0.05, 0.4), 0.02),
    ),
    "amhara": (
        JobKind("warp pattern", "floor", (4, 20), (0.05, 0.3)),
        JobKind("batch plan", "floor", (1, 6), (0.3, 1.0), 0.05),
        JobKind("colour lot", "dye-house", (1, 4), (0.1, 0.4)),
        JobKind("yarn booking", "dye-house", (1, 2), (0.05, 0.2)),
    ),
}
