"""Cost of change tickets in the simulated fleet, with a configuration of the target size.

Run as a program, prints the table of `docs/decisions/tickets.md` and the time of each step.
"""

import time
from dataclasses import dataclass

import structlog

from burdocklug.store import Entry
from burdocklug.tickets import (
    CONFIGURATION_KEY,
    Configuration,
    apply_ticket,
    decode_value,
    encode_value,
    join,
    value_digest,
)
from tests.tickets.builders import (
    apply_all,
    endpoint_set,
    fleet_tickets,
    make_ticket,
    team,
)
from tests.tickets.simulation import Fleet

SERVICES = 25
FIRST_NUMBER = 1001
BUSY_TICKETS = 60
DOMAINS = {7: 3, 25: 4, 50: 8}


@dataclass
class Cost:
    """Counts of one phase: messages and bytes between peers, calls and bytes of the store."""

    seconds: float
    processes: int
    calls: dict
    messages: dict
    peer_bytes: dict
    store_bytes: dict

    @property
    def calls_per_s(self):
        return sum(self.calls.values()) / self.seconds

    @property
    def mean_bytes_per_s(self):
        peers = sum(self.peer_bytes.values()) * 2  # each byte is sent once and received once
        return (peers + sum(self.store_bytes.values())) / self.seconds / self.processes

    @property
    def highest_store_bytes_per_s(self):
        return max(self.store_bytes.values(), default=0) / self.seconds


def configured_fleet(size, *, seed=1):
    """Return a fleet whose configuration has the target size."""
    domains = tuple(f"domain-{index}" for index in range(DOMAINS[size]))
    fleet = Fleet(size, domains=domains, seed=seed)
    fleet.store.entry = Entry(CONFIGURATION_KEY, encode_value(target_value()), 1)
    fleet.sim.run(10)
    return fleet


def busy_ticket(index):
    """Return a ticket of the busy minute: all endpoints of a service and the limits of a team."""
    service = index % SERVICES
    return make_ticket(
        FIRST_NUMBER + index,
        {
            f"endpoints/service-{service}": endpoint_set(24 - index % 5, service=service),
            f"team/team-{index}": team(index),
        },
    )


def measure(fleet, seconds, each_second=lambda: None):
    counters = (fleet.store.calls, fleet.messages, fleet.bytes, fleet.store.bytes)
    for counter in counters:
        counter.clear()
    for _second in range(seconds):
        each_second()
        fleet.sim.run(1)
    return Cost(seconds, len(fleet.processes), *(dict(counter) for counter in counters))


def busy_minute(fleet, *, spread=True):
    """Apply 60 tickets in 60 s, at changing processes or all at one, and return their cost."""
    numbers = iter(range(BUSY_TICKETS))

    def apply_next():
        index = next(numbers)
        target = fleet.processes[index * 5 % len(fleet.processes) if spread else 0]
        target.apply(busy_ticket(index))

    return measure(fleet, BUSY_TICKETS, apply_next)


def max_propagation_s(fleet):
    """Return the longest time from the acceptance of a ticket until it was in force everywhere."""
    return max(
        process.in_force_s[number] - accepted_s
        for number, accepted_s in fleet.accepted_s.items()
        for process in fleet.processes
    )


def target_value():
    """Return a value of 25 services with 600 endpoints, 75 teams and 480 recent tickets."""
    value = apply_all(fleet_tickets(services=SERVICES, endpoints_each=24, teams=75))
    return apply_all((make_ticket(n) for n in range(101, 481)), value)


def step_times_us(repeats=50):
    """Return the processor time of each step at the target size, in microseconds."""
    old = target_value()
    ticket = busy_ticket(0)
    new, _outcome = apply_ticket(old, ticket)
    raw = encode_value(new)

    def adopt():
        cfg = Configuration()
        cfg.value = old
        cfg.merge(new)

    steps = {
        "apply_ticket": lambda: apply_ticket(old, ticket),
        "encode_value": lambda: encode_value(new),
        "decode_value": lambda: decode_value(raw),
        "decode_value, rest known": lambda: decode_value(raw, known=old),
        "join": lambda: join(old, new),
        "value_digest": lambda: value_digest(new),
        "adopt": adopt,
    }
    return {name: _time_us(step, repeats) for name, step in steps.items()}


def _time_us(step, repeats):
    start_s = time.process_time()
    for _repeat in range(repeats):
        step()
    return (time.process_time() - start_s) / repeats * 1e6


def main():
    """Print the table of costs and the time of each step."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    for size in DOMAINS:
        fleet = configured_fleet(size)
        quiet = measure(fleet, 60)
        busy = busy_minute(fleet)
        fleet.sim.run(9)
        propagation_s = max_propagation_s(fleet)
        one = busy_minute(configured_fleet(size), spread=False)
        fleet.store.down = True
        down = measure(fleet, 60)
        fleet.store.down = False
        peak = max(measure(fleet, 1).calls_per_s for _second in range(10))
        print(f"{size} processes, {DOMAINS[size]} failure domains")
        for name, cost in (("quiet", quiet), ("busy", busy), ("one entry", one), ("down", down)):
            pushes = cost.messages.get("TicketPush", 0) / BUSY_TICKETS
            print(
                f"  {name}: {cost.calls} = {cost.calls_per_s:.2f}/s; per process"
                f" {cost.mean_bytes_per_s:.0f} B/s, highest of the store's bytes"
                f" {cost.highest_store_bytes_per_s:.0f} B/s; pushes per ticket {pushes:.1f};"
                f" fetches {cost.messages.get('TicketFetch', 0)}"
            )
        print(f"  in force at the last process after {propagation_s * 1000:.1f} ms")
        print(f"  most calls in one of the 10 s after the outage: {peak:.0f}")
        print(f"  faults: {fleet.sim.failures}")
    print({name: round(us) for name, us in step_times_us().items()})


if __name__ == "__main__":
    main()
