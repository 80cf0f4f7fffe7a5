"""How long runs take: speeds of endpoints, cold endpoints, run times of queues, progress."""

from burdocklug.pools.speed._cold import ColdPace, cold_extra_s
from burdocklug.pools.speed._endpoint_speed import SLOW_FACTOR, EndpointSpeed
from burdocklug.pools.speed._progress import RunProgress
from burdocklug.pools.speed._queue_times import QueueTimes
from burdocklug.pools.speed._run_samples import RunSamples

__all__ = [
    "SLOW_FACTOR",
    "ColdPace",
    "EndpointSpeed",
    "QueueTimes",
    "RunProgress",
    "RunSamples",
    "cold_extra_s",
]
