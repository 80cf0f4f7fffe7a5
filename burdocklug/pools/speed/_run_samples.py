"""What runs tell: the speeds of endpoints, and how queues' tasks differ from their estimates."""

import structlog

from burdocklug.pools.speed._endpoint_speed import SLOW_FACTOR
from burdocklug.pools.speed._queue_times import TAIL_FACTOR, QueueTimes

__all__ = ["RunSamples"]

MAX_HELD = 4  # long runs of an endpoint in a row until they count as the queue's tail
MIN_RATIO = 0.08  # least ratio of a sample; the histogram can not tell speeds apart below it

log = structlog.get_logger(__name__)


class RunSamples:
    """Applies the times of runs to their endpoints and queues.

    Parameters
    ----------
    counts : Counter
        Takes ``runs_slow``, runs far longer than expected, and ``endpoints_slow``, how often an
        endpoint was found to be slow.

    Attributes
    ----------
    median_slowness : float
        Median slowness of all endpoints.
    """

    def __init__(self, counts):
        self.median_slowness = 1.0
        self._counts = counts
        self._queues = {}

    def queue(self, name):
        """Return the run times of a queue."""
        if name not in self._queues:
            self._queues[name] = QueueTimes()
        return self._queues[name]

    def is_slow(self, endpoint):
        """Return whether an endpoint is much slower than most."""
        return endpoint.slowness > SLOW_FACTOR * self.median_slowness

    def add(self, endpoint, times, run_s, usual_s):
        """Apply the time of one run.

        Parameters
        ----------
        endpoint : PoolEndpoint
            Endpoint of the run.
        times : QueueTimes
            Run times of its queue.
        run_s : float
            Its run time, measured or projected from its progress.
        usual_s : float
            Its estimate, with the factor for data that is far away.
        """
        if usual_s <= 0:
            return
        ratio = max(run_s / usual_s, MIN_RATIO)
        is_long = ratio > TAIL_FACTOR * times.ratio * endpoint.slowness
        self._counts["runs_slow"] += is_long
        was_slow = self.is_slow(endpoint)
        endpoint.speed.add(ratio, times)
        endpoint.slowness = endpoint.speed.slowness
        self._note_change(endpoint, was_slow)
        self._add_to_queue(endpoint, times, ratio, is_long=is_long)

    def _add_to_queue(self, endpoint, times, ratio, *, is_long):
        """Add a run to its queue, at its endpoint's speed.

        Whether a long run is of the queue's tail or the first of a slow endpoint is only known
        after the next ones on the endpoint, so it is held back until then.
        """
        held = endpoint.speed.held
        held.append((times, ratio))
        if is_long and not self.is_slow(endpoint) and len(held) < MAX_HELD:
            return
        for held_times, held_ratio in held:
            held_times.add(held_ratio / endpoint.slowness)
        held.clear()

    def update_median(self, endpoints):
        """Update the median, and let slow endpoints without runs get work again.

        Call it once a second.
        """
        values = sorted(endpoint.slowness for endpoint in endpoints)
        self.median_slowness = values[len(values) // 2] if values else 1.0
        for endpoint in endpoints:
            if not endpoint.runs and endpoint.slowness > self.median_slowness:
                was_slow = self.is_slow(endpoint)
                endpoint.speed.forget()
                endpoint.slowness = endpoint.speed.slowness
                self._note_change(endpoint, was_slow)

    def _note_change(self, endpoint, was_slow):
        is_slow = self.is_slow(endpoint)
        if is_slow == was_slow:
            return
        self._counts["endpoints_slow"] += is_slow
        log.info(
            "endpoint_slow" if is_slow else "endpoint_not_slow",
            endpoint=endpoint.entry.endpoint_id,
            slowness=endpoint.slowness,
            median=self.median_slowness,
        )

    def dump(self):
        """Return the ratio of real run time to estimate and the tail of each queue."""
        return {
            name: {
                "runs": times.runs,
                "ratio": times.ratio,
                "ratio_p90": round(times.quantile(0.9), 2),
                "tail_share": round(times.tail_share(), 3),
            }
            for name, times in self._queues.items()
        }
