"""What starts where, what is refused: decisions over the jobs that wait, one after the other."""

from dataclasses import dataclass

from burdocklug.pools._order import is_hopeless, late_end_s, order_key, start_by_s
from burdocklug.pools._placement import count_places, place_tasks, without_slow

__all__ = ["Expire", "PoolView", "Refuse", "Start", "decide", "rooms_with_places"]


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


@dataclass(frozen=True, slots=True)
class PoolView:
    """What is known of a pool's endpoints when jobs are weighed.

    Parameters
    ----------
    now_s : float
        The time.
    rooms : list of EndpointRoom
        Endpoints with room for a task.
    forecast : RoomForecast
        When places become free.
    settled : bool
        Whether all endpoints are known; nothing is refused for want of room before.
    reserve : int
        Places that late jobs leave free.
    distance_factor : float
        Times as long a task takes away from the rack of its data.
    usual_slowness : float
        That of most endpoints.
    """

    now_s: float
    rooms: list
    forecast: object
    settled: bool
    reserve: int
    distance_factor: float
    usual_slowness: float

    def rooms_until(self, job, by_s):
        """Return the endpoints without slow ones at which a job's next task ends after a time."""
        return without_slow(
            job.waiting[0],
            self.rooms,
            self.now_s,
            by_s,
            usual_slowness=self.usual_slowness,
            distance_factor=self.distance_factor,
        )


def decide(jobs, view):
    """Yield decisions; each has to be carried out before the next one is asked for.

    A job takes room only where a wave of its tasks can begin in time, be it as others end. Jobs
    that are late get what is left, but for a reserve for timely ones to come.

    Parameters
    ----------
    jobs : iterable of Job
        Those with tasks that wait.
    view : PoolView
        What is known of the endpoints.

    Yields
    ------
    Start, Refuse or Expire
    """
    late, now_s = [], view.now_s
    for job in sorted(jobs, key=lambda job: order_key(job, now_s)):
        if job.expires_s < now_s:
            yield Expire(job)
        elif job.unsettled:
            continue  # its runs may be under way, or done
        elif job.not_before_s > now_s:
            if not job.started and is_hopeless(job, job.not_before_s):
                yield Refuse(job)
        elif job.waiting:
            rooms = view.rooms_until(job, job.goal_s)
            if _begins_in_time(job, rooms, view):
                yield from _starts(job, rooms, view)
            else:
                late.append(job)
    for job in late:
        yield from _serve_late(job, view.rooms_until(job, late_end_s(job)), view)


def _begins_in_time(job, rooms, view):
    need = job.next_wave()
    places = count_places(job.waiting[0], rooms, view.now_s, most=need)
    return view.forecast.begin_s(need - places) <= start_by_s(job)


def _starts(job, rooms, view):
    """Yield starts of the tasks that find room, and reserve places for the next ones."""
    tasks = list(job.waiting)
    factor = view.distance_factor
    for task, room in place_tasks(tasks, rooms, view.now_s, distance_factor=factor):
        yield Start(task, room)
    view.forecast.take(job.next_wave())


def _serve_late(job, rooms, view):
    """Yield starts of a late job in what room is left, or its refusal if it has no prospect."""
    need = job.next_wave()
    most = need + view.reserve
    begin_s = view.forecast.begin_s(need) if view.settled else view.now_s
    if job.started or count_places(job.waiting[0], rooms, view.now_s, most=most) >= most:
        yield from _starts(job, rooms, view)
    elif is_hopeless(job, begin_s):
        yield Refuse(job)
    else:
        view.forecast.take(need)
