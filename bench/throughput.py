"""Task starts a second and processor time per task of the real path, over real processes.

``python -m bench.throughput [--processes N] [--tasks N] [--rounds N] [--profile]`` prints one JSON
line a case. Load comes from the client library in this process; each case is bounded in jobs and
time. ``scaled_us_per_task`` is relative to the reference work. With ``--profile`` the first process
runs under the sampler, and the functions that were sampled most follow each case; its figures are
then not to be compared with those without.
"""

import argparse
import json
import os
import signal
import time
import warnings
from dataclasses import dataclass

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from bench._reference import REFERENCE_S, reference_s  # noqa: E402
from burdocklug.client import Client, JobFailed  # noqa: E402
from standins.fleet import Deployment, Fleet  # noqa: E402

__all__ = ["Case", "cpu_seconds", "measure"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
WARM_JOBS = 5
SHOWN_FUNCTIONS = 25
WRITE_S = 5.0
POLL_S = 0.02
US_PER_S = 1e6


@dataclass(frozen=True)
class Case:
    """Jobs of one size: how many, and how many at once."""

    tasks: int
    jobs: int
    callers: int


CASES = (Case(1, 1500, 32), Case(20, 150, 16), Case(200, 20, 8))


class SampledFleet(Fleet):
    """A fleet whose first process runs under the sampler."""

    @property
    def samples_path(self):
        """File that the sampler writes."""
        return self.directory / "samples.json"

    def program(self, name, path):
        """Return the sampler for the first process."""
        if name != self.names[0]:
            return super().program(name, path)
        return "bench._sampler", str(self.samples_path), str(path)

    def clear_samples(self):
        """Drop the samples so far."""
        self.children[self.names[0]].signal(signal.SIGUSR1)

    def read_samples(self):
        """Return the samples since the last `clear_samples`."""
        self.samples_path.unlink(missing_ok=True)
        self.children[self.names[0]].signal(signal.SIGUSR2)
        with eventlet.Timeout(WRITE_S):
            while not self.samples_path.exists():
                eventlet.sleep(POLL_S)
        return json.loads(self.samples_path.read_text(encoding="utf-8"))


def cpu_seconds(pid):
    """Return the processor time a process has used, in seconds."""
    return sum(cpu_of_modes([pid]))


def cpu_of_modes(pids):
    """Return the processor time of processes in user and in system mode, in seconds."""
    user_s = system_s = 0.0
    for pid in pids:
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        user_s += int(fields[11]) / TICKS_PER_S
        system_s += int(fields[12]) / TICKS_PER_S
    return user_s, system_s


def deployment_of(processes):
    """Return a deployment of `processes` entry processes and 24 endpoints with 8 slots."""
    return Deployment(
        name="throughput",
        service="press",
        weight="messages",
        processes={"north": processes},
        endpoints=24,
        teams={"floor": 100_000},
    )


def run_jobs(fleet, case):
    """Run the jobs of a case and return the number of complete ones."""
    addresses = fleet.all_callers()
    clients = [Client([address], team="floor") for address in addresses]
    tasks = [{"payload": {"run_s": 0.0, "value": 1}, "declared_s": 0.05}] * case.tasks
    complete = []

    def run(number):
        try:
            clients[number % len(clients)].submit("press", tasks, deadline_s=60.0)
        except JobFailed:
            return
        complete.append(number)

    pool = eventlet.GreenPool(case.callers)
    for number in range(case.jobs):
        pool.spawn_n(run, number)
    pool.waitall()
    return len(complete)


def measure(fleet, case):
    """Return the figures of one case as plain data."""
    run_jobs(fleet, Case(case.tasks, WARM_JOBS, WARM_JOBS))
    pids = [fleet.children[name].pid for name in fleet.names]
    work_s = reference_s()
    user_s, system_s = cpu_of_modes(pids)
    began_s = time.monotonic()
    complete = run_jobs(fleet, case)
    wall_s = time.monotonic() - began_s
    ended_user_s, ended_system_s = cpu_of_modes(pids)
    user_s, system_s = ended_user_s - user_s, ended_system_s - system_s
    cpu_s = user_s + system_s
    work_s = (work_s + reference_s()) / 2
    started = complete * case.tasks
    return {
        "name": f"throughput/processes={len(pids)}/tasks={case.tasks}",
        "jobs": complete,
        "starts_per_s": round(started / wall_s),
        "cpu_us_per_task": round(US_PER_S * cpu_s / max(1, started)),
        "system_us_per_task": round(US_PER_S * system_s / max(1, started)),
        "scaled_us_per_task": round(US_PER_S * cpu_s / max(1, started) * REFERENCE_S / work_s),
        "cpu_share": round(cpu_s / wall_s, 2),
    }


def print_samples(samples):
    """Print the functions that were sampled most, by their shares in percent."""
    total = max(1, samples["samples"])
    for kind in ("own", "all"):
        print(f"{kind} % of {total} samples")
        shares = sorted(samples[kind].items(), key=lambda item: -item[1])
        for name, count in shares[:SHOWN_FUNCTIONS]:
            print(f"  {100 * count / total:5.1f} {name}")


def main():
    """Run every case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--tasks", type=int, help="only the case of jobs of this size")
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    fleet_type = SampledFleet if options.profile else Fleet
    cases = [case for case in CASES if options.tasks in (None, case.tasks)]
    with fleet_type(deployment_of(options.processes)) as fleet:
        fleet.apply(fleet.ticket(1))
        time.sleep(2.0)
        for case in cases * options.rounds:
            if options.profile:
                fleet.clear_samples()
            print(json.dumps(measure(fleet, case)), flush=True)
            if options.profile:
                print_samples(fleet.read_samples())


if __name__ == "__main__":
    main()
