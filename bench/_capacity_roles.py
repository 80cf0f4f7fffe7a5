"""The capacity page's conclusions: what each role costs at the target's size."""

from bench._capacity_derived import mean
from bench._capacity_model import TARGET, US_PER_S, allocator_loads, verdict
from bench._capacity_tables import table
from burdocklug.kernel import JobSettings, PlatformSettings
from burdocklug.store._budgeted import WRITE_SHARE

__all__ = ["HEAD", "ROLES", "roles_table", "whole_process_table"]

CLAIMS_PER_S = WRITE_SHARE * PlatformSettings(addresses=[]).calls_per_s  # of one process
STORE_WRITES_PER_S = 300
STORE_READS_PER_S = 2_000

ROLES = {
    "dispatcher": "jobs/_dispatch.py, jobs/_lanes.py, retries/",
    "allocator of endpoint slots": "routing/_allocator.py, choose_allocators",
    "owner of submissions (ledger)": "jobs/_ledger.py, jobs/_handover.py, jobs/_claims.py",
    "peer": "peers/ (heartbeats, choose_heartbeat_links)",
    "configuration follower, watcher": "decisions/tickets.md",
    "caller listener": "callers/, web/_server.py",
    "quota shares": "limits/_quotas.py, limits/_part.py",
    "host watch": "hosts/_watch.py",
    "platform's store": "store/_budget.py, store/_breaker.py",
    "endpoints": "decisions/endpoints.md, endpoints/",
    "client": "client/_client.py",
}
HEAD = (
    "role",
    "state",
    "messages",
    "processor time",
    "memory",
    "carried by",
    "breaks first",
    "within budget",
)


def whole_process_table(figures, derived, target=TARGET):
    """Return the table of what all control of one process adds up to, against the budget."""
    share = derived.control_us_per_s / US_PER_S
    floor = figures["imports"]["daemon"]
    ledger = JobSettings().max_ledger_bytes
    rows = [
        (
            "processor time, idle",
            f"{100 * share:.2f} % of a core",
            f"{100 * target.core_share:.1f} %",
            verdict(share, target.core_share),
        ),
        _bytes_row("sent", derived.sent_bytes_per_s, target),
        _bytes_row("received", derived.received_bytes_per_s, target),
        _bytes_row("sent and received", derived.control_bytes_per_s, target),
        (
            "memory: Python and libraries",
            f"{floor / 1e6:.1f} MB",
            f"{target.control_bytes / 1e6:.0f} MB",
            verdict(floor, target.control_bytes),
        ),
        (
            "memory: growth over that, without ledger",
            f"{derived.growth_bytes / 1e6:.1f} MB",
            f"{target.control_bytes / 1e6:.0f} MB",
            verdict(derived.growth_bytes, target.control_bytes),
        ),
        (
            "memory: growth with a full ledger",
            f"{(derived.growth_bytes + ledger) / 1e6:.1f} MB",
            f"{target.control_bytes / 1e6:.0f} MB",
            verdict(derived.growth_bytes + ledger, target.control_bytes),
        ),
    ]
    return table(
        f"Control of one process at {target.processes} processes",
        ("figure", "worked out", "budget", "within"),
        rows,
    )


def _bytes_row(direction, rate, target):
    return (
        f"bytes, idle, {direction}",
        f"{rate:,.0f} B/s",
        f"{target.control_bytes_per_s:,} B/s",
        verdict(rate, target.control_bytes_per_s),
    )


def roles_table(figures, derived, target=TARGET):
    """Return the table with one line for each role."""
    cells = {**_task_roles(figures, derived, target), **_control_roles(figures, derived, target)}
    rows = [_role_row(role, cells[role]) for role in ROLES]
    return table("Roles at the target's size", HEAD, rows)


def _role_row(role, cells):
    state, messages, processor, memory, breaks, within = cells
    return (role, state, messages, processor, memory, ROLES[role], breaks, within)


def _task_roles(figures, derived, target):
    per_process = target.starts_per_s / target.processes
    loads = allocator_loads(target)
    lease_us = figures["allocator"][max(figures["allocator"])]["us_per_lease"]
    lease_bytes = figures["allocator"][max(figures["allocator"])]["resident_bytes_per_lease"]
    ledger = figures["ledger"]
    refresh = figures["refresh"][max(figures["refresh"])]
    client_us = {
        tasks: mean(one["client_us_per_task"] for one in rounds)
        for tasks, rounds in figures["starts"].items()
    }
    ledger_s = JobSettings().max_ledger_bytes / ledger["charged_bytes_per_record"]
    return {
        "dispatcher": (
            f"a lane a service; {target.endpoints} endpoints: {refresh['resident_bytes']:,} B",
            f"{per_process:.0f} starts/s a process, 2 messages each",
            f"{derived.per_task_us:.0f} µs a task; refresh {refresh['refresh_us']:.0f} µs, 1/s and "
            "on events",
            f"{refresh['resident_bytes'] / 1e6:.1f} MB, and the queue",
            "processor time of starts in jobs of one task",
            _sizes_that_fit(derived, target),
        ),
        "allocator of endpoint slots": (
            f"{len(loads)} of {target.processes} processes lease out {loads[-1]} to {loads[0]} "
            f"endpoints, {loads[0] * target.slots} leases at most",
            f"at the peak, a process, sent and received: {_lease_bytes(derived)}",
            f"{lease_us:.0f} µs a lease at {max(figures['allocator'])} endpoints",
            f"{loads[0] * target.slots * lease_bytes / 1e6:.2f} MB",
            f"the busiest allocator, {loads[0] / target.endpoints:.0%} of all leases",
            "bytes: "
            + "; ".join(
                f"jobs of {tasks}: {verdict(rate, target.control_bytes_per_s)}"
                for tasks, rate in derived.lease_bytes_per_s.items()
            ),
        ),
        "owner of submissions (ledger)": (
            f"a record a job: {ledger['resident_bytes_per_record']:.0f} B with an answer of 200 B",
            "none; one forward and its reply for a key at another process",
            f"{ledger['us_per_record']:.1f} µs a record",
            f"up to {JobSettings().max_ledger_bytes / 1e6:.0f} MB, {ledger_s:,.0f} such records",
            f"the bound after {ledger_s / per_process:.0f} s of single tasks that nobody "
            "acknowledges; caller keys from "
            f"{CLAIMS_PER_S:.0f} jobs/s a process on",
            verdict(JobSettings().max_ledger_bytes, target.control_bytes),
        ),
        "caller listener": (
            "1,000 connections at most",
            "2 a job",
            f"{derived.per_job_us:.0f} µs a job beside its tasks (with ledger and answer)",
            "not measured apart",
            "processor time of jobs of one task",
            f"one task a job: {verdict(derived.processes[1], target.processes)}",
        ),
        "endpoints": (
            f"{target.endpoints} × {target.slots} slots; nothing of the system runs there",
            "2 a task; asks and cancellations beside",
            "none of ours",
            "attempts and fences for the longest deadline",
            f"connections: {target.processes} processes × up to {target.slots} idle ones, "
            "64 allowed; nobody counts over processes",
            "connections: not proved",
        ),
        "client": (
            "a session, a sequence, a mark",
            "2 a job",
            "; ".join(f"{us:.0f} µs a task in jobs of {tasks}" for tasks, us in client_us.items()),
            "its jobs",
            f"one client process at {US_PER_S / client_us[1]:,.0f} single tasks/s",
            "no budget",
        ),
    }


def _lease_bytes(derived):
    return "; ".join(
        f"{rate:,.0f} B/s in jobs of {tasks}" for tasks, rate in derived.lease_bytes_per_s.items()
    )


def _sizes_that_fit(derived, target):
    """Say for which sizes of jobs the target's processes carry its starts."""
    verdicts = (
        f"jobs of {tasks}: {verdict(count, target.processes)}"
        for tasks, count in derived.processes.items()
    )
    return "; ".join(verdicts)


def _control_roles(figures, derived, target):
    largest = figures["configuration"][max(figures["configuration"])]
    ticket = figures["tickets"]
    quotas = figures["quotas"]
    calls = derived.store_calls
    total = sum(calls.values())
    ticket_bytes = ticket["bytes_sent"] + ticket["bytes_received"]
    control_share = derived.control_us_per_s / US_PER_S
    return {
        "peer": (
            f"{target.processes} members; {derived.watched[0]:.0f} watched, at most "
            f"{derived.watched[1]}",
            f"2 heartbeats/s each way a peer, {derived.bytes_per_peer:.0f} B/s",
            f"{derived.control_us_per_peer:.0f} µs/s a peer; {derived.control_us_alone:,.0f} µs/s "
            "with none",
            "in the growth below",
            "bytes, by the size of a failure domain (full mesh inside)",
            f"bytes: {verdict(derived.control_bytes_per_s, target.control_bytes_per_s)}; "
            f"processor: {verdict(control_share, target.core_share)}",
        ),
        "configuration follower, watcher": (
            f"one value, {largest['stored_bytes']:,} B stored",
            f"{ticket_bytes:.0f} B a ticket and process, {ticket['store_calls']:.1f} store calls",
            f"{ticket['processor_us']:.0f} µs a ticket and process; decode "
            f"{largest['decode_us']:.0f} µs",
            f"{largest['resident_bytes'] / 1e6:.2f} MB",
            "a busy minute with all tickets at one process (decisions/tickets.md)",
            f"{target.changes_per_day} a day: yes",
        ),
        "quota shares": (
            f"{target.teams} teams: {quotas['resident_bytes']:,} B",
            "one request a waiting team and 0.5 s",
            f"tick {quotas['pressed_tick_us']:.0f} µs, 20/s while tasks wait; "
            f"{quotas['idle_tick_us']:.0f} µs, 2/s idle",
            f"{quotas['resident_bytes'] / 1e6:.2f} MB",
            f"quotas below {target.processes}: some processes have a base share of 0 and borrow",
            verdict(20 * quotas["pressed_tick_us"] / US_PER_S, target.core_share),
        ),
        "host watch": (
            "one list of hosts",
            f"{calls['hosts']:.1f} store calls/s in the fleet",
            "in the idle figure",
            "in the growth below",
            "the fallback poll grows with the fleet (0.1/s a process)",
            "yes",
        ),
        "platform's store": (
            "configuration, a name a process, claims",
            f"{total:.1f} calls/s idle; writes for claims only as callers bring keys",
            "the platform's",
            "the platform's",
            f"claims: {CLAIMS_PER_S * target.processes:.0f} "
            f"writes/s allowed to {target.processes} processes, {STORE_WRITES_PER_S} assumed",
            f"idle: {verdict(total, STORE_READS_PER_S)}; own keys at "
            f"{target.starts_per_s:,} single tasks/s: no",
        ),
    }
