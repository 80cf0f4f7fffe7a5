"""Figures at the target's size, worked out from the measured ones."""

from dataclasses import dataclass

from bench._capacity_model import (
    TARGET,
    fit_line,
    processes_needed,
    store_calls_per_s,
    watched_peers,
)
from burdocklug.tickets import _decisions as ticket_decisions

__all__ = ["Derived", "derive", "idle_line", "mean", "us_per_task"]

BASE64 = 4 / 3  # bytes of a value in an answer of the store
DIGESTS_PER_S = 4  # at most, sent and received, questions and answers


@dataclass(frozen=True, slots=True)
class Derived:
    """Figures at the target's size, worked out from the measured slopes.

    Those of starts come from the fleet of several processes, where a start costs more.
    """

    watched: tuple
    per_job_us: float
    per_task_us: float
    processes: dict
    control_us_per_s: float
    control_us_per_peer: float
    control_us_alone: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    bytes_per_peer: float
    growth_bytes: float
    lease_bytes_per_s: dict
    store_calls: dict

    @property
    def control_bytes_per_s(self):
        """Bytes of idle control a second, both directions."""
        return self.sent_bytes_per_s + self.received_bytes_per_s


def mean(values):
    """Return the arithmetic mean."""
    values = list(values)
    return sum(values) / len(values)


def us_per_task(rounds):
    """Return the mean processor time of a start over rounds of one case, in microseconds."""
    return mean(one["cpu_us_per_task"] for one in rounds)


def idle_line(idle, name, *, size):
    """Return the line of a figure of idle processes over the number of watched peers.

    Parameters
    ----------
    idle : list of dict
        Runs of `bench._capacity_fleets.measure_idle`.
    name : str
        The figure.
    size : {"small", "large"}
        With few endpoints, or with as many as the target has.
    """
    return fit_line((run[size]["processes"] - 1, run[size][name]) for run in idle)


def _added(idle, name):
    """Return by how much the target's endpoints and teams raise a figure, over all fleets."""
    return mean(run["large"][name] - run["small"][name] for run in idle)


def derive(figures, target=TARGET):
    """Return what the measured figures give at the target's size.

    The slopes come from fleets in which every process watches all others. Members that are not
    watched cost rows in the digests of members; those are added.

    Parameters
    ----------
    figures : dict
        What `bench.capacity.measure` returned.
    target : Target, optional
        The size.
    """
    watched = watched_peers(target.processes, target.domains)
    job_line = fit_line(
        (tasks, us_per_task(rounds) * tasks) for tasks, rounds in figures["starts_many"].items()
    )
    idle = figures["idle"]
    cpu = idle_line(idle, "processor_us_per_s", size="small")
    resident = idle_line(idle, "resident_bytes", size="small")
    sent = idle_line(idle, "bytes_sent_per_s", size="large")
    received = idle_line(idle, "bytes_received_per_s", size="large")
    added_us, added_bytes = (
        _added(idle, name) for name in ("processor_us_per_s", "resident_bytes")
    )
    largest = max(figures["configuration"])
    reads = (
        figures["configuration"][largest]["stored_bytes"] * BASE64 / ticket_decisions.SAFETY_POLL_S
    )
    digests = fit_line(figures["digest"].items()).slope * DIGESTS_PER_S / 2  # each way
    unwatched = target.processes - 1 - watched[1]
    per_process = target.starts_per_s / target.processes
    return Derived(
        watched=watched,
        per_job_us=job_line.at_zero,
        per_task_us=job_line.slope,
        processes={
            tasks: processes_needed(
                target.starts_per_s, us_per_task(rounds), usable_share=target.usable_core_share
            )
            for tasks, rounds in figures["starts_many"].items()
        },
        control_us_per_s=cpu.at(watched[1]) + added_us,
        control_us_per_peer=cpu.slope,
        control_us_alone=cpu.at_zero + added_us,
        sent_bytes_per_s=sent.at(watched[1]) + digests * unwatched,
        received_bytes_per_s=received.at(watched[1]) + reads + digests * unwatched,
        bytes_per_peer=sent.slope + received.slope,
        growth_bytes=resident.at(watched[1]) + added_bytes - figures["imports"]["daemon"],
        lease_bytes_per_s={
            tasks: 2 * per_process * mean(one["peer_bytes_sent_per_task"] for one in rounds)
            for tasks, rounds in figures["starts_many"].items()
        },
        store_calls=store_calls_per_s(target.processes, target.domains),
    )
