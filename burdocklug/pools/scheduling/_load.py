"""Load and state of a scheduler, as plain data for logs and dumps."""

__all__ = ["dump_scheduler", "scheduler_load"]


def scheduler_load(scheduler, now_s):
    """Return the load of a scheduler: its waiting and running work and its free capacity.

    Parameters
    ----------
    scheduler : Scheduler
        The scheduler to inspect.
    now_s : float
        The current time.
    """
    endpoints = scheduler.endpoints.values()
    return {
        "waiting_jobs": scheduler.waiting_jobs,
        "waiting_tasks": scheduler.waiting_tasks,
        "runs": sum(len(endpoint.runs) for endpoint in endpoints),
        "endpoints": len(endpoints),
        "evacuated_endpoints": sum(endpoint.evacuated for endpoint in endpoints),
        "open_endpoints": sum(endpoint.is_available(now_s) for endpoint in endpoints),
        "cold_endpoints": sum(now_s < endpoint.cold_until_s for endpoint in endpoints),
        "free_cpu": sum(
            endpoint.free.cpu for endpoint in endpoints if endpoint.is_available(now_s)
        ),
        "slowness": round(
            sum(endpoint.slowness for endpoint in endpoints) / max(1, len(endpoints)), 2
        ),
        "shares_served": scheduler.contention.accounts.shares(now_s, has_sizes=False),
    }


def dump_scheduler(scheduler, now_s):
    """Return the counts, jobs, endpoints and contention of a scheduler at a time."""
    return {
        "counts": dict(scheduler.counts),
        "jobs": len(scheduler.jobs),
        "waiting_jobs": scheduler.waiting_jobs,
        "contention": scheduler.contention.dump(now_s),
        "queues": scheduler.samples.dump(),
        "median_slowness": scheduler.samples.median_slowness,
        "endpoints": [
            {
                "id": endpoint.entry.endpoint_id,
                "usable": endpoint.usable,
                "draining": endpoint.entry.draining,
                "evacuated": endpoint.evacuated,
                "runs": len(endpoint.runs),
                "slowness": round(endpoint.slowness, 2),
                "cold_s": round(max(0.0, endpoint.cold_until_s - now_s), 3),
            }
            for endpoint in scheduler.endpoints.values()
        ],
    }
