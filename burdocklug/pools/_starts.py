"""What starts where, what is refused: decisions over the jobs that wait, one after the other."""

from dataclasses import dataclass

from burdocklug.pools._order import is_hopeless, order_key, start_by_s
from burdocklug.pools._placement import count_places, place_tasks

__all__ = ["Expire", "Refuse", "Start", "decide", "rooms_with_places"]


@dataclass(frozen=True, slots=True)
class Start:
    """A task starts at an endpoint."""

    task: object
    room: object


@dataclass(frozen=True, slots=True)
class Refuse:
    """A job is refused; nothing of it ran."""

    job: object


@dataclass(frozen=True, slots=True)
class Expire:
    """The caller of a job has stopped waiting."""

    job: object


def rooms_with_places(jobs, rooms, now_s):
    """Return the endpoints with room for the smallest task that waits."""
    least = min((job.waiting[0].demand.cpu for job in jobs if job.waiting), default=0)
    return [room for room in rooms if room.free.cpu >= least and room.is_open(now_s)]


def decide(jobs, rooms, now_s, *, forecast, settled, reserve, distance_factor):
    """Yield decisions; each has to be carried out before the next one is asked for.

    A job takes room only where a wave of its tasks can begin in time, be it as others end. Jobs
    that are late get what is left, but for a reserve for timely ones to come.

    Parameters
    ----------
    jobs : iterable of Job
        Those with tasks that wait.
    rooms : list of EndpointRoom
        Endpoints with room for a task.
    now_s : float
        The time.
    forecast : RoomForecast
        When places become free.
    settled : bool
        Whether all endpoints are known; nothing is refused for want of room before.
    reserve : int
        Places that late jobs leave free.
    distance_factor : float
        Times as long a task takes away from the rack of its data.

    Yields
    ------
    Start, Refuse or Expire
    """
    late = []
    for job in sorted(jobs, key=lambda job: order_key(job, now_s)):
        if job.expires_s < now_s:
            yield Expire(job)
        elif job.unsettled:
            continue  # its runs may be under way, or done
        elif job.not_before_s > now_s:
            if not job.started and is_hopeless(job, job.not_before_s):
                yield Refuse(job)
        elif job.waiting and _begins_in_time(job, rooms, forecast, now_s):
            yield from _starts(job, rooms, forecast, now_s, distance_factor)
        elif job.waiting:
            late.append(job)
    for job in late:
        yield from _serve_late(job, rooms, forecast, now_s, settled, reserve, distance_factor)


def _begins_in_time(job, rooms, forecast, now_s):
    need = job.next_wave()
    places = count_places(job.waiting[0], rooms, now_s, most=need)
    return forecast.begin_s(need - places) <= start_by_s(job)


def _starts(job, rooms, forecast, now_s, distance_factor):
    """Yield starts of the tasks that find room, and reserve places for the next ones."""
    tasks = list(job.waiting)
    for task, room in place_tasks(tasks, rooms, now_s, distance_factor=distance_factor):
        yield Start(task, room)
    forecast.take(job.next_wave())


def _serve_late(job, rooms, forecast, now_s, settled, reserve, distance_factor):
    """Yield starts of a late job in what room is left, or its refusal if it has no prospect."""
    need = job.next_wave()
    places = count_places(job.waiting[0], rooms, now_s, most=need + reserve)
    if job.started or places >= need + reserve:
        yield from _starts(job, rooms, forecast, now_s, distance_factor)
    elif is_hopeless(job, forecast.begin_s(need) if settled else now_s):
        yield Refuse(job)
    else:
        forecast.take(need)
