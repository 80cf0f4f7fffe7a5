"""Cases on faults: a table of what breaks, and response over ideal afterwards."""

from dataclasses import dataclass

from bench._cases import at_most, cases
from bench._cases_routing import MAX_SINGLE_P99, SEED
from bench._fleet import Fleet
from bench._leases import DETECT_S, LeaseProcess
from bench._measure import quantile, single_ratios
from bench._workload import AMHARA, MUEHLVIERTEL, JobMix, jobs

SECONDS = 100.0
FAULT_S = 15.0
HEAL_S = 35.0
SETTLED_S = FAULT_S + 2 * DETECT_S
LOAD = 0.5
SHARED_ALLOCATOR_FAULTS = ("allocator_killed", "partition")
MAX_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: what breaks, and what heals it."""

    name: str
    breaks: object
    heals: object = None


def _lie(fleet):
    fleet.endpoints["endpoint-0"].claims_free = 8


def _slow(fleet):
    fleet.endpoints["endpoint-0"].slowdown = 10.0


def _dead_endpoints(count):
    def breaks(fleet):
        for endpoint in list(fleet.endpoints.values())[:count]:
            endpoint.alive = False

    return breaks


def _allocator(fleet):
    holder = fleet.processes[0].router.holder
    return fleet.by_name[holder.allocator_by_endpoint()["endpoint-0"]].number


def _kill_allocator(fleet):
    _kill(fleet, _allocator(fleet))


def _kill_dispatcher(fleet):
    busy = [process for process in fleet.processes if process.number != _allocator(fleet)]
    _kill(fleet, max(busy, key=lambda process: process.busy).number)


def _kill(fleet, number):
    fleet.kill(number)
    fleet.loop.after(DETECT_S, _update, fleet)


def _update(fleet):
    for process in fleet.processes:
        if process.alive:
            process.update()


def _partition(fleet):
    first = fleet.deployment.failure_domains[0]
    fleet.cut = lambda one, other: (one == first) != (other == first)
    fleet.loop.after(DETECT_S, _update, fleet)


def _heal(fleet):
    fleet.cut = None
    _update(fleet)


FAULTS = (
    Fault("endpoint_lies", _lie),
    Fault("endpoint_ten_times_slow", _slow),
    Fault("half_rack_dead", _dead_endpoints(4)),
    Fault("failure_domain_dead", _dead_endpoints(8)),
    Fault("allocator_killed", _kill_allocator),
    Fault("dispatcher_killed", _kill_dispatcher),
    Fault("partition", _partition, _heal),
)


def _register(name, deployment, fault):
    @cases.register(name)
    def case():
        fleet = Fleet(deployment, LeaseProcess)
        fleet.loop.after(FAULT_S, fault.breaks, fleet)
        if fault.heals is not None:
            fleet.loop.after(HEAL_S, fault.heals, fleet)
        arrivals = jobs(deployment, JobMix(), load=LOAD, seconds=SECONDS, seed=SEED)
        fleet.run(arrivals, seconds=SECONDS)
        at_fault = single_ratios(fleet, from_s=FAULT_S, until_s=SETTLED_S)
        settled = single_ratios(fleet, from_s=SETTLED_S)
        refused = sum(endpoint.refused for endpoint in fleet.endpoints.values())
        open_jobs = sum(job.done_s is None and job.failed is None for job in fleet.jobs)
        yield at_most(
            f"{name}/settled_single_p99",
            round(quantile(settled, 0.99), 3),
            MAX_SINGLE_P99,
            at_fault_p99=round(quantile(at_fault, 0.99), 3),
            refused_starts=refused,
            failed_jobs=sum(job.failed is not None for job in fleet.jobs),
        )
        yield at_most(f"{name}/jobs_without_outcome", open_jobs, 0)


for _fault in FAULTS:
    _register(f"faults/{_fault.name}", MUEHLVIERTEL, _fault)
    if _fault.name in SHARED_ALLOCATOR_FAULTS:
        _register(f"faults/amhara/{_fault.name}", AMHARA, _fault)
