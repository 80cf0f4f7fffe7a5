"""Cases on the clock: both deployments as real processes over loopback.

Their figures vary with the machine, so CI runs none of them. Response times are ratios to the
ideal of the same run: the task's run time and the bare trips, measured in the same fleet.
"""

import time

from bench._cases import at_least, at_most, clock_cases
from bench._cases_routing import IDEAL_MESSAGES, JOB_MESSAGES, MAX_SINGLE_P99, SEED
from bench._clock_fleet import (
    deployment_of,
    measure_trip_s,
    run_load,
    wait_ready,
    wait_until,
)
from bench._measure import WARM_UP_S, quantile
from bench._workload import DEPLOYMENTS
from standins.counts import endpoint_messages, peer_messages
from standins.fleet import Fleet

LOAD = 0.8
SECONDS = 30.0
LEAVING_LOAD = 0.5
LEAVING_SECONDS = 14.0
LISTED_AFTER_S = 5.0
MAX_LEAVING_S = 3.0
MAX_TICKET_S = 9.0
TICKETS = 10
TICKET_GAP_S = 0.2
STATUS = "status"  # asked by time, not by task


class Messages:
    """Messages of a fleet up to now."""

    def __init__(self, fleet):
        records = fleet.records()
        self.starts = sum(len(record["starts"]) for record in records.values())
        self.by_cause = endpoint_messages(records)
        self.by_cause += peer_messages(fleet.state(name) for name in fleet.names)
        del self.by_cause[STATUS]

    def since(self, old):
        """Return the number of starts and messages a start by cause, since an older count."""
        starts = self.starts - old.starts
        causes = self.by_cause - old.by_cause
        return starts, {cause: round(n / max(1, starts), 4) for cause, n in causes.items()}


def _twice(fleet):
    """Return the number of tasks that started more than once."""
    tasks = [start[0] for start in fleet.starts()]
    return len(tasks) - len(set(tasks))


def _ratios(seen, trip_s):
    """Return response over ideal of the complete single requests after the warm-up."""
    return [
        job.response_s / (job.longest_s + trip_s)
        for job in seen
        if job.tasks == 1 and job.response_s is not None and job.arrival_s >= WARM_UP_S
    ]


def _register_load(name, uneven):
    spread = "uneven" if uneven else "even"
    title = f"clock/{name}/80/{spread}"

    @clock_cases.register(title)
    def load():
        with Fleet(deployment_of(name)) as fleet:
            wait_ready(fleet)
            trip_s = measure_trip_s(fleet)
            before = Messages(fleet)
            seen = run_load(fleet, load=LOAD, seconds=SECONDS, seed=SEED, uneven=uneven)
            starts, causes = Messages(fleet).since(before)
            twice = _twice(fleet)
        yield from _load_lines(title, seen, trip_s, starts, causes)
        yield at_most(f"{title}/started_twice", twice, 0)


def _load_lines(title, seen, trip_s, starts, causes):
    ratios = _ratios(seen, trip_s)
    weight = DEPLOYMENTS[title.split("/")[1]].weight
    bound = round(IDEAL_MESSAGES + JOB_MESSAGES[weight] * len(seen) / max(1, starts), 3)
    yield at_most(
        f"{title}/single_p99",
        round(quantile(ratios, 0.99), 3),
        MAX_SINGLE_P99,
        p50=round(quantile(ratios, 0.5), 3),
        singles=len(ratios),
        trip_ms=round(1e3 * trip_s, 3),
    )
    wasted = {cause: rate for cause, rate in causes.items() if cause != "start"}
    total = round(sum(causes.values()), 3)
    yield at_most(f"{title}/messages_per_task", total, bound, tasks=starts, beside_starts=wasted)
    unanswered = sum(job.response_s is None or not job.whole for job in seen)
    failures = sorted({job.failure for job in seen if job.failure})
    yield at_most(f"{title}/jobs_without_whole_answer", unanswered, 0, kinds=failures)


def _register_leaving(name):
    title = f"clock/{name}/leaving"

    @clock_cases.register(title)
    def leaving():
        with Fleet(deployment_of(name)) as fleet:
            wait_ready(fleet)
            hosts = [fleet.endpoint_host(domain) for domain in fleet.endpoints]
            listed = []

            def list_one():
                time.sleep(LISTED_AFTER_S)
                listed.append(time.time())
                fleet.set_hosts(hosts[1:], hosts[:1])

            fleet.set_hosts(hosts, [])
            run_load(fleet, load=LEAVING_LOAD, seconds=LEAVING_SECONDS, seed=SEED, during=list_one)
            starts = _starts_at(fleet, hosts[0])
        late_s = max((at_s - listed[0] for at_s in starts), default=0.0)
        before = sum(at_s <= listed[0] for at_s in starts)
        yield at_most(f"{title}/last_start_s", round(late_s, 3), MAX_LEAVING_S)
        yield at_least(f"{title}/starts_before", before, 1)


def _starts_at(fleet, host):
    return [
        start[2]
        for address, record in fleet.records().items()
        if address.startswith(f"{host}:")
        for start in record["starts"]
    ]


def _register_tickets(name):
    title = f"clock/{name}/tickets"

    @clock_cases.register(title)
    def tickets():
        times = []
        with Fleet(deployment_of(name)) as fleet:
            wait_ready(fleet)
            for number in range(2, 2 + TICKETS):
                times.append(_in_force_s(fleet, number))
                time.sleep(TICKET_GAP_S)
        slowest = round(max(times), 3)
        yield at_most(
            f"{title}/in_force_s", slowest, MAX_TICKET_S, median_s=round(quantile(times, 0.5), 3)
        )


def _in_force_s(fleet, number):
    """Apply a ticket and return the seconds until every process has it, from its submission."""
    began_s = time.monotonic()
    fleet.apply(fleet.ticket(number), through=fleet.names[number % len(fleet.names)])

    def in_force():
        return all(fleet.state(name)["tickets"]["highest"] >= number for name in fleet.names)

    wait_until(in_force)
    return time.monotonic() - began_s


for _name in DEPLOYMENTS:
    for _uneven in (False, True):
        _register_load(_name, _uneven)
    _register_leaving(_name)
    _register_tickets(_name)
