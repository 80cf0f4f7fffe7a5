"""Failures at the target's size: an ordinary day, a lost failure domain, regions cut off."""

from bench._capacity_derived import us_per_task
from bench._capacity_model import (
    TARGET,
    US_PER_S,
    allocator_loads,
    processes_needed,
    rest_share_of_day,
)
from bench._capacity_tables import table
from burdocklug.kernel import JobSettings, PeerSettings
from burdocklug.limits._quotas import LOAN_TERM_S
from burdocklug.routing._allocator import LEASE_TERM_S, TAKEOVER_GRACE_S

__all__ = ["day_table", "loss_table", "longest_mean_run_s", "name_writes"]

RACK_ENDPOINTS = 8
KILLED_WRITES = 2  # by the next process of a name: refused as present, then written over
REPLACED_WRITES = 3  # the same, and the record of the graceful shutdown


def name_writes(target=TARGET):
    """Return the writes of process names a day, as if every such host were an entry host.

    Examples
    --------
    >>> name_writes()
    322
    """
    return (
        KILLED_WRITES * target.failed_hosts_per_day
        + REPLACED_WRITES * target.replaced_hosts_per_day
    )


def longest_mean_run_s(target=TARGET):
    """Return the mean run time of a task that keeps every slot busy at the target's rate.

    Examples
    --------
    >>> round(longest_mean_run_s(), 3)
    0.104
    """
    return target.endpoints * target.slots / target.starts_per_s


def day_table(figures, target=TARGET):
    """Return the table of a day of failed and replaced hosts."""
    settings = JobSettings()
    ledger = figures["ledger"]
    records = settings.max_ledger_bytes / ledger["charged_bytes_per_record"]
    copy_s = records * ledger["copy_us_per_record"] / US_PER_S
    messages = records / 100_000 * ledger["copy_messages_per_100k"]
    rest_s = LOAN_TERM_S + settings.longest_task_s
    rest = rest_share_of_day(target.failed_hosts_per_day, rest_s, target.processes)
    slots = target.endpoints * target.slots / target.processes
    largest = allocator_loads(target)[0]
    rows = [
        ("names in the store", f"{name_writes(target)} writes a day", "limits/_part.py"),
        (
            "quota that rests after a kill",
            f"1/{target.processes} of each quota for {rest_s:.0f} s a kill; {rest:.4%} of a day",
            "limits/_quotas.py",
        ),
        (
            "tasks with unknown outcome a kill",
            f"{slots:.0f} run there if load is even, and what its other jobs wait for",
            "jobs/_ledger.py",
        ),
        (
            "sessions lost a kill",
            f"1/{target.processes} of all; their keys are answered as unknown, never as not run",
            "jobs/_service.py",
        ),
        (
            "slots out of use a kill",
            f"{slots:.0f} for {PeerSettings(shared_key='x' * 16).dead_after_s:.0f} to "
            f"{LEASE_TERM_S:.0f} s; grants for its endpoints pause {TAKEOVER_GRACE_S} s "
            f"(at most {largest} endpoints)",
            "routing/_allocator.py",
        ),
        (
            "handover of a full ledger",
            f"{records:,.0f} records in {messages:.0f} messages, {copy_s:.2f} s of processor time "
            f"at the sender for copies and codec; {settings.shutdown_s:.0f} s for running jobs",
            "jobs/_handover.py",
        ),
    ]
    title = (
        f"A day of {target.failed_hosts_per_day} failed and {target.replaced_hosts_per_day} "
        "replaced hosts, all taken as entry hosts"
    )
    return table(title, ("matter", "worked out", "carried by"), rows)


def loss_table(figures, target=TARGET):
    """Return the table of a lost rack, a lost failure domain and two regions cut off."""
    rack = RACK_ENDPOINTS / target.endpoints
    half = target.domains // 2
    rows = [
        _loss_row("all there", figures, target),
        _loss_row("a rack lost", figures, target, share=rack),
        _loss_row("a failure domain lost", figures, target, domains=1),
        _loss_row("one of two regions, seen from the other", figures, target, domains=half),
    ]
    head = (
        "state",
        "processes left",
        "slots left",
        "mean run time that fills them at the peak",
        "job sizes carried at the peak",
        "most endpoints of one allocator",
    )
    return table("Losses", head, rows)


def _loss_row(name, figures, target, *, share=0.0, domains=0):
    left = target.processes - target.processes * domains // target.domains
    share = share or domains / target.domains
    slots = round(target.endpoints * target.slots * (1 - share))
    run_ms = 1000 * slots / target.starts_per_s
    sizes = [
        str(tasks)
        for tasks, rounds in figures["starts_many"].items()
        if processes_needed(
            target.starts_per_s, us_per_task(rounds), usable_share=target.usable_core_share
        )
        <= left
    ]
    loads = allocator_loads(target, lost_domains=domains)
    return (name, left, f"{slots:,}", f"{run_ms:.0f} ms", ", ".join(sizes) or "none", loads[0])
