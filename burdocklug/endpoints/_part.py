"""Endpoints as a part of a process: attempts, cancellations, which endpoints take work."""

import random
from collections import Counter

import eventlet

from burdocklug.endpoints._protocol import endpoint_protocols
from burdocklug.kernel import part
from burdocklug.retries import backoff_s, run_attempt

__all__ = ["EndpointsPart"]

PROTOCOL = "http"
CANCEL_TIMEOUT_S = 2.0
MIN_SILENCE_S = 1.0  # an attempt is not asked after before this
SILENCE_FACTOR = 3.0  # declared run times are often far off


class EndpointsPart:
    """What dispatching needs of endpoints.

    Parameters
    ----------
    process : Process
        The process with its parts.
    """

    def __init__(self, process):
        self._now = process.timers.now
        self._hosts = process["hosts"]
        self._rng = random.Random()
        self._counts = Counter()
        self.protocol = endpoint_protocols.get(PROTOCOL)(now=process.timers.now)

    def run_attempt(self, address, attempt, *, expected_s):
        """Run an attempt to a known end, or to its deadline."""
        now = self._now()
        return run_attempt(
            self.protocol,
            address,
            attempt,
            now + attempt.deadline_s,
            max(MIN_SILENCE_S, SILENCE_FACTOR * expected_s),
            counts=self._counts,
            now=self._now,
            rng=self._rng,
        )

    def cancel_attempt(self, address, attempt_id):
        """Tell an endpoint to stop an attempt; best effort."""
        eventlet.spawn_n(self._cancel, address, attempt_id)

    def _cancel(self, address, attempt_id):
        try:
            self.protocol.cancel(address, [attempt_id], timeout_s=CANCEL_TIMEOUT_S)
        except Exception:
            return

    def usable(self, endpoint, now_s):
        """Return whether an endpoint takes new work."""
        return not self._hosts.is_leaving(endpoint.host)

    def retry_delay_s(self, retries, reason):
        """Return the pause before a task that did not start is queued again."""
        return backoff_s(retries, self._rng)

    def counts(self):
        """Return counters by name."""
        return dict(self._counts)


@part("endpoints", needs=("hosts",))
def build_endpoints(process):
    """Return the endpoints part of a process."""
    return EndpointsPart(process)
