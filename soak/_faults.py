"""Faults from outside: each is a generator that harms the fleet, waits, and makes it good."""

import signal
import socket

from burdocklug.kernel import Registry
from standins.platform_fleet import CONFIG

__all__ = ["PLANNED", "fault_kinds"]

fault_kinds = Registry("soak fault")
PLANNED = frozenset(
    {"configuration", "evacuate", "hangup", "stop", "unruly_clients", "worker_drain"}
)
SHARE = 0.3  # of the calls that a fault of a share hits
DELAY_S = 0.15  # over what peers usually take, under their timeouts
CROWD = 60  # connections of unruly clients to a process
CONNECT_TIMEOUT_S = 1.0
BODY = b"POST /checks/dddddddddddddddd HTTP/1.1\r\nHost: checks.example\r\n"
UNFINISHED_REQUESTS = (
    b"",
    b"POST /che",
    BODY,
    BODY + b"Content-Length: 60000\r\n\r\n" + b" " * 50_000,
    BODY + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 5000,
    BODY + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-A: " + b"a" * 30_000,
    b"POST /nowhere HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 5000,
    b"GET /checks/ HTTP/1.1\r\nHost: checks.example\r\n\r\n" * 200,
)


def _processes(fleet, rng, most):
    names = sorted(fleet.processes)
    return rng.sample(names, rng.randint(1, min(most, len(names))))


@fault_kinds.register("pause")
def pause(fleet, rng):
    """Freeze processes."""
    children = [fleet.children[name] for name in _processes(fleet, rng, 2)]
    for child in children:
        child.pause()
    yield
    for child in children:
        child.resume()


@fault_kinds.register("kill")
def kill(fleet, rng):
    """Kill processes and start them again."""
    names = _processes(fleet, rng, 2)
    for name in names:
        fleet.children[name].kill()
    yield
    for name in names:
        fleet.restart(name)


@fault_kinds.register("kill_all")
def kill_all(fleet, _rng):
    """Kill every process and start them again."""
    for name in fleet.processes:
        fleet.children[name].kill()
    yield
    for name in fleet.processes:
        fleet.restart(name)


@fault_kinds.register("stop")
def stop(fleet, rng):
    """End a process gracefully and start it again."""
    (name,) = _processes(fleet, rng, 1)
    fleet.children[name].stop()
    fleet.restart(name)
    yield


@fault_kinds.register("hangup")
def hangup(fleet, rng):
    """Have processes read their settings again."""
    for name in _processes(fleet, rng, 3):
        fleet.children[name].signal(signal.SIGHUP)
    yield


@fault_kinds.register("configuration")
def configuration(fleet, _rng):
    """Write a newer configuration."""
    fleet.version += 1
    route = {**CONFIG["routes"][0], "name": "r-new", "prefix": f"/v{fleet.version}/"}
    newer = {**CONFIG, "version": fleet.version, "routes": [*CONFIG["routes"], route]}
    fleet.control("PUT", "/operator/op/config", newer)
    yield


@fault_kinds.register("unruly_clients")
def unruly_clients(fleet, rng):
    """Open connections with requests that do not end, or whose responses nobody reads."""
    socks = []
    for name in _processes(fleet, rng, 2):
        ip, _, port = fleet.addresses[name].rpartition(":")
        for _ in range(CROWD):
            try:
                sock = socket.create_connection((ip, int(port)), timeout=CONNECT_TIMEOUT_S)
                socks.append(sock)
                sock.sendall(rng.choice(UNFINISHED_REQUESTS))
            except OSError:
                continue  # the process is down, or no longer reads
    yield
    for sock in socks:
        sock.close()


def _store_fault(name, value):
    def harm(fleet, _rng):
        fleet.control("POST", "/faults", {name: value})
        yield
        fleet.control("POST", "/faults", {name: type(value)()})

    harm.__doc__ = f"Set the fault {name} of the platform's stand-in."
    return fault_kinds.register(name)(harm)


for _name, _value in (
    ("store_down", True),
    ("store_silent", True),
    ("lost_writes", SHARE),
    ("lost_orders", SHARE),
    ("lost_answers", SHARE),
    ("late_orders", SHARE),
):
    _store_fault(_name, _value)


@fault_kinds.register("evacuate")
def evacuate(fleet, rng):
    """Evacuate a failure domain and take it back."""
    domain = rng.choice(sorted(set(fleet.processes.values())))
    fleet.control("PUT", f"/operator/op/evacuate/{domain}", {})
    yield
    fleet.control("DELETE", f"/operator/op/evacuate/{domain}")


@fault_kinds.register("compact")
def compact(fleet, _rng):
    """Discard the store's history."""
    fleet.control("POST", "/compact")
    yield


@fault_kinds.register("worker_crash")
def worker_crash(fleet, rng):
    """Let a worker begin anew."""
    fleet.control("POST", f"/worker/{rng.randrange(len(fleet.worker_addresses))}/crash")
    yield


@fault_kinds.register("worker_drain")
def worker_drain(fleet, rng):
    """Let a worker say that it leaves; then it begins anew."""
    number = rng.randrange(len(fleet.worker_addresses))
    fleet.control("POST", f"/worker/{number}/drain")
    yield
    fleet.control("POST", f"/worker/{number}/crash")


def _link_fault(kind, choose, mode, **options):
    def harm(fleet, rng):
        addresses = choose(fleet, rng)
        for address in addresses:
            fleet.set_link(address, mode, **options)
        yield
        for address in addresses:
            fleet.set_link(address, "forward")

    harm.__doc__ = f"Set forwarders to {mode}, {options or 'both ways'}."
    return fault_kinds.register(kind)(harm)


def _peer_links(fleet, rng):
    return [fleet.peer_links[name] for name in _processes(fleet, rng, 2)]


def _store_links(fleet, rng):
    return [fleet.store_links[name] for name in _processes(fleet, rng, 2)]


def _worker_links(fleet, rng):
    return rng.sample(fleet.worker_links, rng.randint(1, len(fleet.worker_links) // 2))


for _name, _choose in (("peers", _peer_links), ("store", _store_links), ("worker", _worker_links)):
    _link_fault(f"{_name}_link_cut", _choose, "silent", scope="all")
    _link_fault(f"{_name}_link_reset", _choose, "cut")
    _link_fault(f"{_name}_link_silent", _choose, "silent", scope="existing")
    _link_fault(f"{_name}_link_one_way", _choose, "silent", scope="all", direction="to_client")
    _link_fault(f"{_name}_link_slow", _choose, "forward", delay_s=DELAY_S)
