"""Figures of one run: response over ideal, messages a task, goodput."""

import math

__all__ = ["WARM_UP_S", "figures", "quantile", "single_ratios"]

WARM_UP_S = 5.0
PROTOCOL = ("request", "grant", "return", "recall", "delegate", "handback")
CONTROL = ("report", "renewal", "load")


def quantile(values, share):
    """Return the smallest value that at least `share` of the values don't exceed.

    Examples
    --------
    >>> quantile([3, 1, 2, 4], 0.5)
    2
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else math.nan


def single_ratios(fleet, *, from_s, until_s=math.inf):
    """Return response over ideal of the answered single requests that arrived in between."""
    client_s = 2 * fleet.deployment.client_trip_s
    return [
        (job.done_s - job.arrival_s + client_s) / fleet.ideal_s(job)
        for job in fleet.jobs
        if len(job.tasks) == 1 and job.done_s is not None and from_s <= job.arrival_s < until_s
    ]


def figures(fleet):
    """Return a dict of the run's figures, rounded.

    Notes
    -----
    Ratios are taken over jobs that arrived after the warm-up and were answered. Messages of
    the control plane (renewals, loads) don't depend on the number of tasks and are counted
    a second, apart from those a task.
    """
    ratios = {"single": single_ratios(fleet, from_s=WARM_UP_S)}
    ratios |= _job_ratios(fleet)
    ratios["all"] = ratios["single"] + ratios["jobs"]
    tasks = max(1, fleet.messages["result"])
    paid = sum(fleet.messages[cause] for cause in ("start", "refused", "result", *PROTOCOL))
    out = {"tasks": tasks, "jobs": len(fleet.jobs)}
    for kind, values in ratios.items():
        out[f"{kind}_p50"] = round(quantile(values, 0.50), 3)
        out[f"{kind}_p99"] = round(quantile(values, 0.99), 3)
    out["messages_per_task"] = round(paid / tasks, 3)
    out["wasted"] = {
        cause: round(fleet.messages[cause] * (2 if cause == "refused" else 1) / tasks, 4)
        for cause in ("refused", *PROTOCOL)
        if fleet.messages[cause]
    }
    control = sum(fleet.messages[cause] for cause in CONTROL)
    out["control_per_s"] = round(control / max(fleet.loop.now_s, 1e-9), 1)
    out["unanswered"] = sum(job.done_s is None for job in fleet.jobs)
    return out


def _job_ratios(fleet):
    """Return response of whole jobs over their longest task, and over what all slots could do."""
    client_s = 2 * fleet.deployment.client_trip_s
    ratios = {"jobs": [], "jobs_over_capacity": []}
    for job in fleet.jobs:
        if len(job.tasks) > 1 and job.done_s is not None and job.arrival_s >= WARM_UP_S:
            response_s = job.done_s - job.arrival_s + client_s
            ratios["jobs"].append(response_s / fleet.ideal_s(job))
            ratios["jobs_over_capacity"].append(response_s / fleet.capacity_s(job))
    return ratios
