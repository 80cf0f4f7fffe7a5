"""Cost of the peer network: idle fleets of several sizes, and calls between two processes.

Run ``python -m bench.peers`` from the root of the repository. Each process of a fleet is a real
one that only runs the peer network.
"""

import argparse
import json
import resource
import subprocess
import sys
import time
import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import msgspec  # noqa: E402

from burdocklug.kernel import PeerSettings, TimerService  # noqa: E402
from burdocklug.peers import PeerNetwork  # noqa: E402

__all__ = ["measure_calls", "measure_fleet", "slope_per_peer"]

KEY = "0123456789abcdef"
FIRST_PORT = 21_000
SETTLE_S = 6.0
WINDOW_S = 10.0
START_GAP_S = 0.02  # between process starts
REPORT_TIMEOUT_S = 60.0
PAGE_BYTES = resource.getpagesize()


class Echo(msgspec.Struct, tag="echo", array_like=True):
    """Call that is answered by itself."""

    number: int


def _resident_bytes():
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _start_network(options):
    settings = PeerSettings(shared_key=KEY, seeds=options["seeds"])
    timers = TimerService()
    network = PeerNetwork(
        options["name"], options["failure_domain"], options["address"], settings, timers
    )
    network.register(Echo, lambda _sender, message: message, inline=True)
    network.add_heartbeat_part("load", lambda: [17, 0.25, 12], lambda _member, _value: None)
    network.start()
    eventlet.spawn(timers.serve, lambda: False)
    return network


def _report(network, before):
    now, counts, processor_s, resident = before
    window_s = time.monotonic() - now
    after = network.counts()

    def rate(name):
        return (after.get(name, 0) - counts.get(name, 0)) / window_s

    states = [str(member.state) for member in network.members()]
    return {
        "members_alive": states.count("alive"),
        "watched": sum(member["is_watched"] for member in network.dump()["members"]),
        "frames_sent_per_s": rate("frames_sent"),
        "bytes_sent_per_s": rate("bytes_sent"),
        "bytes_received_per_s": rate("bytes_received"),
        "processor_us_per_s": (time.process_time() - processor_s) / window_s * 1e6,
        "resident_bytes": _resident_bytes(),
        "resident_growth_bytes": _resident_bytes() - resident,
    }


def _serve(options):
    resident = _resident_bytes()
    network = _start_network(options)
    print(network.incarnation, flush=True)
    if options["window_s"] is not None:
        _measure_and_report(options, network, resident)
    while True:  # the others are still measured
        eventlet.sleep(1)


def _measure_and_report(options, network, resident):
    eventlet.sleep(options["settle_s"])
    before = time.monotonic(), network.counts(), time.process_time(), resident
    eventlet.sleep(options["window_s"])
    print(json.dumps(_report(network, before)), flush=True)


def _spawn(options):
    command = [sys.executable, "-m", "bench.peers", "--serve", json.dumps(options)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def _fleet_options(processes, domains, window_s):
    addresses = [f"127.0.0.1:{FIRST_PORT + number}" for number in range(processes)]
    for number, address in enumerate(addresses):
        yield {
            "name": f"p{number}",
            "failure_domain": f"domain-{number % domains}",
            "address": address,
            "seeds": addresses[:domains],
            "settle_s": SETTLE_S + (processes - number) * START_GAP_S,
            "window_s": window_s,
        }


def measure_fleet(processes, *, domains=4, window_s=WINDOW_S):
    """Return the mean and worst figures of one idle process in a fleet.

    Parameters
    ----------
    processes : int
        Size of the fleet.
    domains : int
        Number of failure domains that the processes are dealt out to.
    window_s : float
        Seconds of measurement, after the fleet has settled.

    Returns
    -------
    dict
        For each figure a pair of mean and maximum over the processes.
    """
    children = []
    try:
        for options in _fleet_options(processes, domains, window_s):
            children.append(_spawn(options))
            eventlet.sleep(START_GAP_S)
        reports = []
        with eventlet.Timeout(REPORT_TIMEOUT_S + window_s):
            for child in children:
                child.stdout.readline()
                reports.append(json.loads(child.stdout.readline()))
    finally:
        _end(children)
    return {
        name: (
            sum(report[name] for report in reports) / processes,
            max(report[name] for report in reports),
        )
        for name in reports[0]
    }


def _end(children):
    for child in children:
        child.kill()
    for child in children:
        child.wait()
        child.stdout.close()


def measure_calls(*, calls=10_000, concurrency=(1, 10, 100)):
    """Return wall and processor time per call, in microseconds, by number of calls at once.

    The processor time is that of the calling process alone.
    """
    addresses = [f"127.0.0.1:{FIRST_PORT - number}" for number in (1, 2)]
    common = {"failure_domain": "domain-0", "seeds": [], "settle_s": 0.0, "window_s": None}
    child = _spawn({"name": "callee", "address": addresses[0], **common})
    try:
        incarnation = child.stdout.readline().strip()
        network = _start_network({"name": "caller", "address": addresses[1], **common})
        figures = {}
        for greenlets in concurrency:
            figures[greenlets] = _time_calls(network, incarnation, calls, greenlets)
        network.stop()
    finally:
        _end([child])
    return figures


def _time_calls(network, incarnation, calls, greenlets):
    def work():
        for number in range(calls // greenlets):
            network.call(incarnation, Echo(number), timeout_s=5.0)

    network.call(incarnation, Echo(0), timeout_s=5.0)
    started_s, processor_s = time.perf_counter(), time.process_time()
    for thread in [eventlet.spawn(work) for _ in range(greenlets)]:
        thread.wait()
    wall_s = time.perf_counter() - started_s
    return {
        "wall_us": wall_s / calls * 1e6,
        "processor_us": (time.process_time() - processor_s) / calls * 1e6,
    }


def slope_per_peer(small, large, figure):
    """Return by how much a mean figure grows with each further watched peer.

    Examples
    --------
    >>> small = {"watched": (6.0, 6), "bytes_sent_per_s": (600.0, 700.0)}
    >>> large = {"watched": (16.0, 18), "bytes_sent_per_s": (1600.0, 1700.0)}
    >>> slope_per_peer(small, large, "bytes_sent_per_s")
    100.0
    """
    watched = large["watched"][0] - small["watched"][0]
    return (large[figure][0] - small[figure][0]) / watched


def main():
    """Print the figures for the sizes that are named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", help=argparse.SUPPRESS)
    parser.add_argument("--sizes", type=int, nargs="*", default=[7, 25, 50])
    arguments = parser.parse_args()
    if arguments.serve:
        _serve(json.loads(arguments.serve))
        return
    for greenlets, figures in measure_calls().items():
        print(f"calls at once {greenlets}: {figures}")
    fleets = []
    for size in arguments.sizes:
        fleets.append(measure_fleet(size))
        for name, (mean, worst) in fleets[-1].items():
            print(f"processes {size}: {name}: mean {mean:.1f}, worst {worst:.1f}")
    if len(fleets) > 1:
        for figure in ("processor_us_per_s", "bytes_sent_per_s", "bytes_received_per_s"):
            slope = slope_per_peer(fleets[0], fleets[-1], figure)
            print(f"slope per watched peer: {figure}: {slope:.1f}")


if __name__ == "__main__":
    main()
