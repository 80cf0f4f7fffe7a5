"""Measurements of the capacity page with real processes over loopback."""

import glob
import os
import resource
import subprocess
import sys
import time

from bench import throughput
from bench._capacity_model import US_PER_S
from standins.fleet import Fleet, call_json

__all__ = ["measure_idle", "measure_imports", "measure_starts", "measure_tickets"]

PAGE_BYTES = resource.getpagesize()
NS_PER_S = 1e9
WARM_TASKS = 20
TICKET_GAP_S = 0.2
IN_FORCE_TIMEOUT_S = 30.0
PART_IMPORTS = (
    "from burdocklug.daemon import _imports\n"
    "_imports.import_kernel()\n"
    "import burdocklug.daemon._process\n"
    "_imports.import_parts()\n"
)
REPORT = (
    "import resource\n"
    "print(int(open('/proc/self/statm').read().split()[1]) * resource.getpagesize())"
)


def measure_imports():
    """Return the resident bytes of Python alone and with everything that the daemon imports."""
    return {
        name: int(
            subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
        )
        for name, code in (("python", REPORT), ("daemon", PART_IMPORTS + REPORT))
    }


def processor_s(pid):
    """Return the processor time of all threads of a process, in seconds."""
    total_ns = 0
    for path in glob.glob(f"/proc/{pid}/task/*/schedstat"):
        with open(path, encoding="ascii") as file:
            total_ns += int(file.read().split()[0])
    return total_ns / NS_PER_S if total_ns else throughput.cpu_seconds(pid)


def resident_bytes(pid):
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


class Sample:
    """Counters of a whole fleet at one moment."""

    def __init__(self, fleet):
        self.at_s = time.monotonic()
        self.pids = [fleet.children[name].pid for name in fleet.names]
        self.processor_s = [processor_s(pid) for pid in self.pids]
        self.peers = [fleet.state(name)["peers"]["counters"] for name in fleet.names]
        self.store = call_json("GET", f"http://{fleet.store}/record")["calls"]

    def rates_since(self, old):
        """Return figures a second and process between two samples."""
        window_s = self.at_s - old.at_s
        processor = [
            (new - before) / window_s * US_PER_S
            for new, before in zip(self.processor_s, old.processor_s, strict=True)
        ]
        return {
            "processes": len(self.pids),
            "processor_us_per_s": sum(processor) / len(processor),
            "processor_us_per_s_most": max(processor),
            "bytes_sent_per_s": self._mean(old, "bytes_sent") / window_s,
            "bytes_received_per_s": self._mean(old, "bytes_received") / window_s,
            "resident_bytes": sum(map(resident_bytes, self.pids)) / len(self.pids),
            "store_calls_per_s": self._store_rates(old, window_s),
        }

    def _mean(self, old, name):
        pairs = zip(self.peers, old.peers, strict=True)
        return sum(new.get(name, 0) - old.get(name, 0) for new, old in pairs) / len(self.peers)

    def _store_rates(self, old, window_s):
        rates = {}
        for purpose, kinds in self.store.items():
            calls = sum(kinds.values()) - sum(old.store.get(purpose, {}).values())
            if calls:
                rates[purpose] = calls / window_s
        return rates


def _window(fleet, window_s):
    before = Sample(fleet)
    time.sleep(window_s)
    return Sample(fleet).rates_since(before)


def _warm(fleet, settle_s):
    """Run jobs through every process, so that each has its state for the service."""
    fleet.apply(fleet.ticket(1))
    time.sleep(1.0)
    jobs = 2 * len(fleet.names)
    throughput.run_jobs(fleet, throughput.Case(WARM_TASKS, jobs, 4))
    time.sleep(settle_s)


def measure_idle(processes, *, window_s, settle_s, target=None):
    """Return figures of an idle process in one failure domain that has run jobs before.

    Parameters
    ----------
    processes : int
        Size of the fleet; every process watches all others.
    window_s : float
        Seconds of each measurement.
    settle_s : float
        Seconds before it, in which idle slot leases are returned and first exchanges end.
    target : Target, optional
        Measures again after a ticket with the target's endpoints and teams.

    Returns
    -------
    dict
        With ``small``, figures with 24 endpoints, and ``large``, None without a target.
    """
    with Fleet(throughput.deployment_of(processes)) as fleet:
        _warm(fleet, settle_s)
        small = _window(fleet, window_s)
        large = None
        if target is not None:
            fleet.apply(_large_ticket(fleet, target))
            time.sleep(settle_s)
            large = _window(fleet, window_s)
    return {"small": small, "large": large}


def _large_ticket(fleet, target):
    """Return a ticket with as many endpoints as the target has; most of them do not exist."""
    ticket = fleet.ticket(2)
    endpoints = ticket["objects"]["endpoints/press"]["endpoints"]
    for number in range(len(endpoints), target.endpoints):
        host = f"127.1.{number // 250}.{number % 250 + 1}"
        more = {"name": f"north-worker-{number + 1}", "address": f"{host}:9", "host": host}
        endpoints.append({**endpoints[0], **more, "rack": f"north-rack-{number // 8}"})
    for number in range(target.teams):
        ticket["objects"][f"team/team-{number}"] = {"max_running": 100 + number, "weight": 1}
    return ticket


def measure_tickets(processes, *, window_s, settle_s, tickets):
    """Return what one ticket with 24 endpoints and a team costs each process.

    Notes
    -----
    The cost of the same time without tickets, measured just before, is taken off.
    """
    with Fleet(throughput.deployment_of(processes)) as fleet:
        _warm(fleet, settle_s)
        idle = _window(fleet, window_s)
        before = Sample(fleet)
        for number in range(tickets):
            ticket = fleet.ticket(10 + number, **{"team/vat": {"max_running": 9, "weight": 1}})
            fleet.apply(ticket, through=fleet.names[number % processes])
            time.sleep(TICKET_GAP_S)
        time.sleep(1.0)
        after = Sample(fleet)
        busy = after.rates_since(before)
        in_force_s = _time_until_in_force(fleet, 10 + tickets)
    window_s = after.at_s - before.at_s
    names = ("processor_us_per_s", "bytes_sent_per_s", "bytes_received_per_s")
    cost = {
        name.removesuffix("_per_s"): (busy[name] - idle[name]) * window_s / tickets
        for name in names
    }
    calls = sum(busy["store_calls_per_s"].values()) - sum(idle["store_calls_per_s"].values())
    cost["store_calls"] = calls * window_s / tickets
    return {**cost, "s_until_seen_in_force_everywhere": in_force_s, "idle": idle}


def _time_until_in_force(fleet, number):
    """Apply a ticket and return the seconds until every process was seen to have it."""
    fleet.apply(fleet.ticket(number))
    began_s = time.monotonic()
    while any(fleet.state(name)["tickets"]["highest"] < number for name in fleet.names):
        if time.monotonic() > began_s + IN_FORCE_TIMEOUT_S:
            raise TimeoutError(f"ticket {number} is not in force everywhere")
    return time.monotonic() - began_s


def measure_starts(processes, cases, *, rounds):
    """Return processor time and peer bytes of a task start for jobs of several sizes.

    Parameters
    ----------
    processes : int
        Size of the fleet.
    cases : iterable of bench.throughput.Case
        Jobs.
    rounds : int
        How often each case runs.

    Returns
    -------
    dict
        By tasks of a job a list of one dict for each round.
    """
    figures = {case.tasks: [] for case in cases}
    with Fleet(throughput.deployment_of(processes)) as fleet:
        fleet.apply(fleet.ticket(1))
        time.sleep(2.0)
        for _ in range(rounds):
            for case in cases:
                figures[case.tasks].append(_measure_case(fleet, case))
    return figures


def _measure_case(fleet, case):
    before, own_s = Sample(fleet), time.process_time()
    result = throughput.measure(fleet, case)
    own_s = time.process_time() - own_s
    after = Sample(fleet)
    tasks = (result["jobs"] + throughput.WARM_JOBS) * case.tasks
    pairs = list(zip(after.peers, before.peers, strict=True))
    result["client_us_per_task"] = own_s / tasks * US_PER_S
    for name in ("bytes_sent", "frames_sent"):
        result[f"peer_{name}_per_task"] = (
            sum(new.get(name, 0) - old.get(name, 0) for new, old in pairs) / tasks
        )
    result["loadavg"] = os.getloadavg()[0]
    return result
