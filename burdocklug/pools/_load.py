"""What a scheduler has under way, as plain data for logs and dumps."""

__all__ = ["dump_scheduler", "load_of"]


def load_of(scheduler, now_s):
    """Return how much runs and waits at a scheduler.

    Parameters
    ----------
    scheduler : Scheduler
        It.
    now_s : float
        The time.
    """
    rooms = scheduler.rooms.values()
    return {
        "waiting_jobs": scheduler.waiting_jobs,
        "waiting_tasks": scheduler.waiting_tasks,
        "runs": sum(len(room.runs) for room in rooms),
        "endpoints": len(rooms),
        "open_endpoints": sum(room.is_open(now_s) for room in rooms),
        "free_cpu": sum(room.free.cpu for room in rooms if room.is_open(now_s)),
        "slowness": round(sum(room.slowness for room in rooms) / max(1, len(rooms)), 2),
    }


def dump_scheduler(scheduler):
    """Return the counts, jobs and endpoints of a scheduler."""
    return {
        "counts": dict(scheduler.counts),
        "jobs": len(scheduler.jobs),
        "waiting_jobs": scheduler.waiting_jobs,
        "endpoints": [
            {
                "id": room.entry.endpoint_id,
                "usable": room.usable,
                "draining": room.entry.draining,
                "runs": len(room.runs),
                "slowness": round(room.slowness, 2),
            }
            for room in scheduler.rooms.values()
        ],
    }
