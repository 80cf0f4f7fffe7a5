"""Measurements of the capacity page inside one process: bytes of state, processor time of steps."""

import gc
import random
import time
import tracemalloc
from types import SimpleNamespace

import msgspec

from bench._capacity_model import TARGET, US_PER_S
from burdocklug.endpoints import HttpEndpoints  # noqa: F401, the package before its private view
from burdocklug.endpoints._view import EndpointView
from burdocklug.jobs._handover import copy_batches
from burdocklug.jobs._lanes import Lane
from burdocklug.jobs._ledger import Ledger
from burdocklug.kernel import PeerSettings
from burdocklug.limits import QuotaHandover, QuotaShares
from burdocklug.peers import MemberState
from burdocklug.peers._gossip import make_digest
from burdocklug.peers._membership import MemberTable, Record
from burdocklug.routing import (
    RouteEndpoint,
    SlotAllocator,
    SlotRequest,
    SlotReturn,
)
from burdocklug.routing._messages import ReturnedLease
from burdocklug.tickets import (
    Configuration,
    ConfigValue,
    apply_ticket,
    decode_value,
    encode_value,
    ticket_from_data,
)

__all__ = [
    "digest_bytes",
    "measure_allocator",
    "measure_configuration",
    "measure_ledger",
    "measure_quotas",
    "measure_refresh",
]

DOMAINS = ("freistadt", "rohrbach", "perg", "linz")
SERVICE = {"weight": "latency", "max_queue": 5000, "max_tasks": 1700, "task_timeout_s": 20.0}
ANSWER_BYTES = 200
DIGEST_BYTES = 16
RECORDS_PER_SESSION = 1000
LEASES_PER_REQUEST = 8
STEP_S = 0.001  # virtual time between steps of an allocator


def time_us(step, repeats):
    """Return the processor time of `step()`, in microseconds."""
    step()
    began_s = time.process_time()
    for _ in range(repeats):
        step()
    return (time.process_time() - began_s) * US_PER_S / repeats


def held_bytes(build):
    """Return what `build()` returns, and the bytes that it allocated and still holds."""
    gc.collect()
    tracemalloc.start()
    try:
        built = build()
        gc.collect()
        return built, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def configuration_value(endpoints, teams):
    """Return the value with one service of so many endpoints, and teams, as operators make it."""
    rng = random.Random(1)
    objects = {"service/press": SERVICE, "endpoints/press": {"endpoints": []}}
    for number in range(endpoints):
        host = f"10.{number // 250}.{number % 250}.{rng.randrange(1, 255)}"
        objects["endpoints/press"]["endpoints"].append(
            {
                "name": f"worker-{number:03d}",
                "address": f"{host}:{rng.randrange(7000, 7100)}",
                "host": host,
                "failure_domain": DOMAINS[number % len(DOMAINS)],
                "rack": f"rack-{number // 8}",
                "slots": 8,
                "max_connections": 64,
                "accelerators": number % 3,
            }
        )
    for number in range(teams):
        objects[f"team/team-{number}"] = {"max_running": rng.randrange(10, 500), "weight": 1}
    ticket = ticket_from_data({"number": 1, "operator": "ada", "objects": objects})
    return apply_ticket(ConfigValue(), ticket)[0]


def measure_configuration(endpoints, teams):
    """Return stored and resident bytes of a configuration, and the time to decode it."""
    value = configuration_value(endpoints, teams)
    raw = encode_value(value)
    _, resident = held_bytes(lambda: decode_value(raw))
    return {
        "stored_bytes": len(raw),
        "resident_bytes": resident,
        "encode_us": time_us(lambda: encode_value(value), 20),
        "decode_us": time_us(lambda: decode_value(raw), 20),
    }


def _lane(endpoints, teams, processes):
    cfg = Configuration()
    cfg.merge(configuration_value(endpoints, teams))
    view = EndpointView(random.Random(1))
    members = [
        SimpleNamespace(
            incarnation=f"10.0.0.{n}:1~p{n:03d}",
            failure_domain=DOMAINS[n % len(DOMAINS)],
            state=MemberState.ALIVE,
        )
        for n in range(processes)
    ]
    ctx = SimpleNamespace(
        configuration=cfg,
        incarnation=members[0].incarnation,
        failure_domain=DOMAINS[0],
        endpoint_view=view,
        endpoint_usable=lambda service, e, now_s: view.usable(service, e.address, now_s),
        endpoint_changes=lambda: 0,
        live_members=lambda: members,
    )
    return Lane("press", cfg.service("press"), ctx)


def measure_refresh(endpoints, *, teams, processes, repeats):
    """Return what a lane costs: its bytes, a refresh without and with changes, a load, in us."""
    lane, resident = held_bytes(lambda: _refreshed(_lane(endpoints, teams, processes)))

    def refresh_changed():
        lane._routing_inputs = lane._refresh_inputs = None
        lane.refresh(2.0)

    return {
        "resident_bytes": resident,
        "refresh_us": time_us(lambda: lane.refresh(2.0), repeats),
        "refresh_changed_us": time_us(refresh_changed, repeats),
        "load_us": time_us(lambda: lane.router.load(2.0), repeats),
        "ejected_us": time_us(lambda: lane.ctx.endpoint_view.ejected(2.0), repeats),
    }


def _refreshed(lane):
    lane.refresh(1.0)
    return lane


def measure_allocator(endpoints, *, repeats, slots=TARGET.slots):
    """Return the cost of a lease that is asked for, granted and returned, and its bytes.

    Parameters
    ----------
    endpoints : int
        Endpoints whose slots one process leases out.
    repeats : int
        Requests, each for several leases.
    """
    routes = [RouteEndpoint(f"worker-{n:03d}", "perg", slots) for n in range(endpoints)]
    allocator = SlotAllocator(service="press", incarnation="p0")
    allocator.update(0.0, routes, live={"p1", "p2"})
    sequence, now_s = 0, 1.0

    def round_trip():
        nonlocal sequence, now_s
        sequence, now_s = sequence + 1, now_s + STEP_S
        request = SlotRequest("press", sequence, LEASES_PER_REQUEST)
        leases = [
            item for out in allocator.receive_request(now_s, "p1", request) for item in _leases(out)
        ]
        back = [ReturnedLease(lease.lease_id, lease.endpoint) for lease in leases]
        allocator.receive_return(now_s, "p1", SlotReturn("press", back))
        return len(leases)

    granted = round_trip()
    cost_us = time_us(round_trip, repeats) / max(1, granted)
    every = SlotRequest("press", sequence + 1, endpoints * slots)
    _, resident = held_bytes(lambda: allocator.receive_request(now_s + 1.0, "p2", every))
    return {
        "us_per_lease": cost_us,
        "resident_bytes_per_lease": resident / (endpoints * slots),
        "tick_us": time_us(lambda: allocator.tick(now_s + 1.0), repeats),
    }


def _leases(outgoing):
    return getattr(outgoing.message, "leases", [])


def digest_bytes(members):
    """Return the bytes of a digest of so many members, before the frame around it."""
    names = (f"10.0.{n // 250}.{n % 250}:7000~18edf837c060860724a9c29{n:x}" for n in range(members))
    records = {name: Record(name, "perg-1", "perg", 0.0) for name in names}
    table = MemberTable("10.9.9.9:7000~18edf837c060860724a9c290", "perg", records)
    settings = PeerSettings(shared_key="0123456789abcdef")
    return len(msgspec.msgpack.encode(make_digest(table, 1.0, settings)))


def _fill(records):
    ledger = Ledger(max_sessions=10**6, max_records=10**6, max_bytes=10**12, idle_s=900.0)
    for number in range(records):
        session = f"10.0.0.1:7000~18edf837c060860724a9c290.{number // RECORDS_PER_SESSION}"
        if number % RECORDS_PER_SESSION == 0:
            ledger.open_session(session, now_s=0.0)
        digest = number.to_bytes(DIGEST_BYTES, "big")
        record, _ = ledger.get_or_add(session, 1 + number % RECORDS_PER_SESSION, digest, now_s=0.0)
        ledger.finish(record, 200, bytes(ANSWER_BYTES))
    return ledger


def measure_ledger(records):
    """Return bytes and microseconds of a record in the ledger, and of copying it at a handover."""
    ledger, resident = held_bytes(lambda: _fill(records))
    charged = ledger.bytes / records
    del ledger
    began_s = time.process_time()
    ledger = _fill(records)
    filled_s = time.process_time() - began_s
    began_s = time.process_time()
    sizes = [len(msgspec.msgpack.encode(batch)) for batch in copy_batches(ledger)]
    copied_s = time.process_time() - began_s
    return {
        "resident_bytes_per_record": resident / records,
        "charged_bytes_per_record": charged,
        "us_per_record": filled_s * US_PER_S / records,
        "copy_us_per_record": copied_s * US_PER_S / records,
        "copy_bytes_per_record": sum(sizes) / records,
        "copy_messages_per_100k": len(sizes) * 100_000 / records,
    }


def measure_quotas(teams, *, processes, repeats):
    """Return bytes of the shares of so many teams, and microseconds of a tick while all wait."""
    fleet = [f"perg-{n}" for n in range(processes)]

    def build():
        shares = QuotaShares(
            process=fleet[0],
            fleet=fleet,
            started_s=0.0,
            longest_task_s=30.0,
            handover=QuotaHandover(),
        )
        for number in range(teams):
            shares.set_quota(0.0, f"team-{number}", 100 + number)
        return shares

    shares, resident = held_bytes(build)
    waiting = {f"team-{number}": 50 for number in range(teams)}
    peers = {name: f"{name}~1" for name in fleet[1:]}
    return {
        "resident_bytes": resident,
        "idle_tick_us": time_us(lambda: shares.tick(1.0, {}, peers), repeats),
        "pressed_tick_us": time_us(lambda: shares.tick(2.0, waiting, peers), repeats),
    }
