"""Measures the slopes of docs/CAPACITY.md and prints its tables.

``python -m bench.capacity`` takes some minutes and starts at most 14 processes of the system at a
time over loopback; ``--quick`` measures less and is good for no page.
"""

import argparse
import ast
import sys
import warnings
from dataclasses import dataclass
from pathlib import Path

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from bench import _capacity_fleets as fleets  # noqa: E402, patches the standard library first
from bench import _capacity_state as state  # noqa: E402
from bench._capacity_day import day_table, loss_table  # noqa: E402
from bench._capacity_derived import derive, idle_line, us_per_task  # noqa: E402
from bench._capacity_model import TARGET, processes_needed, store_calls_per_s  # noqa: E402
from bench._capacity_roles import roles_table, whole_process_table  # noqa: E402
from bench._capacity_tables import spread, table  # noqa: E402
from bench.throughput import Case  # noqa: E402

__all__ = ["FULL", "QUICK", "Extent", "measure", "tables"]


DIGEST_MEMBERS = (20, TARGET.processes)
IDLE_SIZES = (("small", 24), ("large", TARGET.endpoints))
PER_PEER = "slope per watched peer"


@dataclass(frozen=True, slots=True)
class Extent:
    """How much to measure."""

    fleets: tuple = (2, 7, 14)
    many: int = 7
    cases: tuple = (Case(1, 1500, 32), Case(20, 150, 16), Case(200, 20, 8))
    rounds: int = 2
    window_s: float = 8.0
    settle_s: float = 4.0
    tickets: int = 20
    endpoints: tuple = (24, 150, 600)
    allocator_endpoints: tuple = (12, 32, 96)
    records: int = 100_000
    repeats: int = 100


FULL = Extent()
QUICK = Extent(
    fleets=(1, 2),
    many=2,
    cases=(Case(1, 20, 4), Case(20, 4, 2)),
    rounds=1,
    window_s=0.5,
    settle_s=0.5,
    tickets=2,
    records=2_000,
    repeats=5,
)


def measure(extent):
    """Return every figure that the tables need, as plain data."""
    figures = {"imports": fleets.measure_imports()}
    figures["idle"] = [
        fleets.measure_idle(size, window_s=extent.window_s, settle_s=extent.settle_s, target=TARGET)
        for size in extent.fleets
        for _ in range(extent.rounds)
    ]
    figures["starts"] = fleets.measure_starts(1, extent.cases, rounds=extent.rounds)
    figures["starts_many"] = fleets.measure_starts(extent.many, extent.cases, rounds=extent.rounds)
    figures["tickets"] = fleets.measure_tickets(
        extent.many,
        window_s=extent.window_s,
        settle_s=extent.settle_s,
        tickets=extent.tickets,
    )
    return {**figures, **measure_state(extent)}


def pool_runs(runs):
    """Return the figures of several runs: all rounds with processes, the last run's other figures.

    Examples
    --------
    >>> run = {"idle": [1], "starts": {1: ["a"]}, "starts_many": {1: ["b"]}, "ledger": 7}
    >>> pool_runs([run, {**run, "ledger": 8}])
    {'idle': [1, 1], 'starts': {1: ['a', 'a']}, 'starts_many': {1: ['b', 'b']}, 'ledger': 8}
    """
    pooled = dict(runs[-1])
    pooled["idle"] = [one for run in runs for one in run["idle"]]
    for name in ("starts", "starts_many"):
        pooled[name] = {
            tasks: [one for run in runs for one in run[name][tasks]] for tasks in pooled[name]
        }
    return pooled


def measure_state(extent):
    """Return the figures that need no other process."""
    repeats, teams = extent.repeats, TARGET.teams
    sizes = [(count, 0) for count in extent.endpoints] + [(max(extent.endpoints), teams)]
    return {
        "configuration": {size: state.measure_configuration(*size) for size in sizes},
        "refresh": {
            count: state.measure_refresh(
                count, teams=teams, processes=TARGET.processes, repeats=repeats
            )
            for count in extent.endpoints
        },
        "allocator": {
            count: state.measure_allocator(count, repeats=repeats)
            for count in extent.allocator_endpoints
        },
        "digest": {count: state.digest_bytes(count) for count in DIGEST_MEMBERS},
        "ledger": state.measure_ledger(extent.records),
        "quotas": state.measure_quotas(teams, processes=TARGET.processes, repeats=repeats),
    }


def starts_table(title, starts):
    """Return the table of processor time of a start and the processes that it takes."""
    rows = []
    for tasks, rounds in starts.items():
        us = us_per_task(rounds)
        needed = processes_needed(TARGET.starts_per_s, us, usable_share=TARGET.usable_core_share)
        rows.append(
            (
                tasks,
                spread(one["cpu_us_per_task"] for one in rounds),
                spread(one["client_us_per_task"] for one in rounds),
                spread((one["peer_bytes_sent_per_task"] for one in rounds), 1),
                spread(one["starts_per_s"] for one in rounds),
                needed,
            )
        )
    head = (
        "tasks a job",
        "µs a start",
        "client, µs",
        "peer bytes a start",
        "starts/s",
        "processes",
    )
    return table(title, head, rows)


def idle_tables(idle):
    """Return the tables of idle processes, with the slopes per watched peer."""
    names = ("processor_us_per_s", "bytes_sent_per_s", "bytes_received_per_s", "resident_bytes")
    processor, traffic = [], []
    for count in sorted({run["small"]["processes"] for run in idle}):
        runs = [run for run in idle if run["small"]["processes"] == count]
        for size, endpoints in IDLE_SIZES:
            some = [run[size] for run in runs]
            us, sent, received, resident = ([one[name] for one in some] for name in names)
            resident_mb = spread((value / 1e6 for value in resident), 1)
            processor.append((count, endpoints, spread(us)))
            traffic.append((count, endpoints, spread(sent), spread(received), resident_mb))
    for size, endpoints in IDLE_SIZES:
        cpu, sent, received, resident = (idle_line(idle, name, size=size) for name in names)
        slope = f"{cpu.slope:.0f} (points within {cpu.largest_residual:.0f})"
        processor.append((PER_PEER, endpoints, slope))
        rates = (f"{sent.slope:.0f}", f"{received.slope:.0f}", f"{resident.slope / 1e6:.2f}")
        traffic.append((PER_PEER, endpoints, *rates))
    where = "of idle processes in one failure domain, means over the fleet"
    head = ("processes", "endpoints")
    more = ("sent, B/s", "received, B/s", "resident, MB")
    return [
        table(f"Processor time {where}", (*head, "processor, µs/s"), processor),
        table(f"Peer traffic and memory {where}", (*head, *more), traffic),
    ]


def state_tables(figures):
    """Return the tables of what was measured inside one process."""
    configuration = [
        (endpoints, teams, *(f"{one[name]:,.0f}" for name in one))
        for (endpoints, teams), one in figures["configuration"].items()
    ]
    refresh = [
        (count, *(f"{value:,.0f}" for value in one.values()))
        for count, one in figures["refresh"].items()
    ]
    allocator = [
        (count, *(f"{value:,.1f}" for value in one.values()))
        for count, one in figures["allocator"].items()
    ]
    more = [
        (f"{name}: {key.replace('_', ' ')}", f"{value:,.3g}" if value < 1 else f"{value:,.1f}")
        for name in ("ledger", "quotas", "tickets")
        for key, value in figures[name].items()
        if isinstance(value, float | int)
    ]
    more += [(f"peers: digest of {n} members, B", size) for n, size in figures["digest"].items()]
    return [
        table(
            "Configuration in one process",
            (
                "number of endpoints",
                "teams",
                "stored, B",
                "resident, B",
                "encode, µs",
                "decode, µs",
            ),
            configuration,
        ),
        table(
            f"A service's lane, {TARGET.processes} members, {TARGET.teams} teams",
            (
                "number of endpoints",
                "resident, B",
                "refresh, µs",
                "with changes, µs",
                "load, µs",
                "ejected, µs",
            ),
            refresh,
        ),
        table(
            "Allocator of slots",
            ("number of endpoints", "µs a lease and its return", "B a lease", "tick, µs"),
            allocator,
        ),
        table("Ledger, quotas, tickets", ("figure", "value"), more),
    ]


def store_table(figures):
    """Return the table of platform calls: measured with one failure domain, worked out."""
    idle = figures["tickets"]["idle"]
    runs = [
        run["small"] for run in figures["idle"] if run["small"]["processes"] == idle["processes"]
    ]
    runs.append(idle)
    expected = store_calls_per_s(idle["processes"], 1)
    at_target = store_calls_per_s(TARGET.processes, TARGET.domains)
    rows = [
        (
            name,
            spread((run["store_calls_per_s"].get(name, 0.0) for run in runs), 2),
            f"{expected[name]:.2f}",
            f"{at_target[name]:.2f}",
        )
        for name in expected
    ]
    size = idle["processes"]
    head = ("purpose", f"measured, {size}", f"formula, {size}", f"formula, {TARGET.processes}")
    return table("Platform calls a second of an idle fleet", head, rows)


def tables(figures):
    """Return the page's tables as Markdown."""
    derived = derive(figures)
    many = figures["tickets"]["idle"]["processes"]
    parts = [
        starts_table("Starts with 1 process", figures["starts"]),
        starts_table(f"Starts with {many} processes", figures["starts_many"]),
        *idle_tables(figures["idle"]),
        *state_tables(figures),
        store_table(figures),
        whole_process_table(figures, derived),
        roles_table(figures, derived),
        day_table(figures),
        loss_table(figures),
    ]
    return "\n".join(parts)


def main(argv=None):
    """Measure and print."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="measure less, for a test")
    parser.add_argument("--save", metavar="FILE", help="write the measured figures to a file")
    parser.add_argument("--load", metavar="FILE", nargs="+", help="print the tables of saved runs")
    options = parser.parse_args(argv)
    if options.load:
        texts = [Path(name).read_text(encoding="utf-8") for name in options.load]
        figures = pool_runs([ast.literal_eval(text) for text in texts])
    else:
        figures = measure(QUICK if options.quick else FULL)
    if options.save:
        Path(options.save).write_text(repr(figures), encoding="utf-8")
    print(tables(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
