"""Cases on response over ideal, messages a task and the two weights."""

import functools

import bench._leases  # noqa: F401, registers the way
from bench._cases import at_least, at_most, cases
from bench._fleet import Fleet
from bench._measure import figures
from bench._ways import ways
from bench._workload import DEPLOYMENTS, JobMix, jobs

__all__ = ["run_way"]

SECONDS = 100.0
SEED = 7
MAX_SINGLE_P99 = 1.5
IDEAL_MESSAGES = 2.0
JOB_MESSAGES = {"latency": 4.0, "messages": 2.0}  # stated share of a job beside its tasks
LOADS = (0.5, 0.8, 0.95, 1.2)


def run_way(name, deployment, *, load, mix=None, seconds=SECONDS, **options):
    """Run one way of routing and return its figures."""
    mix = mix or JobMix()
    fleet = Fleet(deployment, ways.get(name), **options)
    arrivals = jobs(deployment, mix, load=load, seconds=seconds, seed=SEED)
    fleet.run(arrivals, seconds=seconds, drain_s=20.0)
    return figures(fleet)


@functools.cache
def _at_80(deployment, *, weight, uneven=False):
    """Return the figures of the leases at 80 % load; runs once for each weight."""
    return run_way("leases", deployment, load=0.8, mix=JobMix(uneven=uneven), weight=weight)


def _register_bounds(deployment, uneven):
    spread = "uneven" if uneven else "even"

    @cases.register(f"routing/{deployment.name}/80/{spread}")
    def bounds():
        found = _at_80(deployment, weight=deployment.weight, uneven=uneven)
        name = f"routing/{deployment.name}/80/{spread}"
        share = JOB_MESSAGES[deployment.weight] * found["jobs"] / found["tasks"]
        bound = round(IDEAL_MESSAGES + share, 3)
        yield at_most(f"{name}/single_p99", found["single_p99"], MAX_SINGLE_P99, **found)
        yield at_most(f"{name}/messages_per_task", found["messages_per_task"], bound)


def _register_weights(deployment):
    @cases.register(f"weights/{deployment.name}")
    def weights():
        latency = _at_80(deployment, weight="latency")
        messages = _at_80(deployment, weight="messages")
        name = f"weights/{deployment.name}"
        for weight, found in (("latency", latency), ("messages", messages)):
            yield at_most(f"{name}/{weight}/single_p99", found["single_p99"], MAX_SINGLE_P99)
        yield at_least(
            f"{name}/p99_of_messages_over_latency",
            round(messages["all_p99"] / latency["all_p99"], 3),
            1.0,
            latency=latency,
            messages=messages,
        )
        extra = [found["messages_per_task"] - IDEAL_MESSAGES for found in (latency, messages)]
        yield at_least(
            f"{name}/extra_messages_of_latency_over_messages", round(extra[0] / extra[1], 3), 1.0
        )


def _register_comparison(deployment, load, uneven, way):
    spread = "uneven" if uneven else "even"
    name = f"compare/{deployment.name}/{round(100 * load)}/{spread}/{way}"

    @cases.register(name)
    def comparison():
        found = run_way(way, deployment, load=load, mix=JobMix(uneven=uneven), seconds=60.0)
        yield at_most(name, found["single_p99"], None, **found)


for _deployment in DEPLOYMENTS.values():
    _register_weights(_deployment)
    for _uneven in (False, True):
        _register_bounds(_deployment, _uneven)
        for _load in LOADS:
            for _way in ways.names():
                _register_comparison(_deployment, _load, _uneven, _way)
