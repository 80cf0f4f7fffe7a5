"""Endpoints as a part of a process: attempts, cancellations, which endpoints take work."""

import random
from collections import Counter

import msgspec

from burdocklug.endpoints._cancel import CancelBatcher
from burdocklug.endpoints._coarse_timers import CoarseTimers
from burdocklug.endpoints._protocol import endpoint_protocols
from burdocklug.endpoints._view import EndpointView
from burdocklug.kernel import part
from burdocklug.retries import (
    FailedPhase,
    Finished,
    NotRun,
    RetryBudget,
    backoff_s,
    health_outcome,
    run_attempt,
)

__all__ = ["EndpointsPart"]

PROTOCOL = "http"
MIN_SILENCE_S = 1.0  # an attempt is not asked after before this
SILENCE_FACTOR = 3.0  # declared run times are often far off
CLOSE_IDLE_S = 5.0


class EndpointsPart:
    """What dispatching needs of endpoints.

    Parameters
    ----------
    process : Process
        The process with its parts.
    """

    def __init__(self, process):
        self._now = process.timers.now
        self._timers = process.timers
        self._hosts = process["hosts"]
        self._peers = process["peers"]
        self._rng = random.Random()
        self._counts = Counter()
        self._coarse_timers = CoarseTimers()
        self.protocol = endpoint_protocols.get(PROTOCOL)(
            now=process.timers.now, timers=self._coarse_timers
        )
        self.view = EndpointView(self._rng)
        self.budget = RetryBudget()
        self._cancellations = CancelBatcher(self.protocol, process.timers)
        self._peers.add_heartbeat_part("ejected", self._tell_ejected, self._on_ejected)

    def start(self):
        """Subscribe to the timer service."""
        self._timers.every(CLOSE_IDLE_S, self._tidy)

    def _tidy(self):
        self.protocol.close_idle(self._now())
        self.view.forget_peers({member.incarnation for member in self._peers.members()})

    def _tell_ejected(self):
        return self.view.ejected(self._now())

    def _on_ejected(self, member, value):
        ejected = msgspec.convert(value, dict[str, int])
        self.view.receive_ejected(member.incarnation, ejected, self._now())

    def run_attempt(self, service, address, attempt, *, expected_s):
        """Run an attempt to a known end, or to its deadline, and learn from its outcome.

        Parameters
        ----------
        service, address : str
            Where to run it.
        attempt : Attempt
            What to run.
        expected_s : float
            Run time to expect, in seconds.

        Returns
        -------
        Finished or NotRun or Unknown
            The attempt's outcome.
        """
        began_s = self._now()
        outcome = run_attempt(
            self.protocol,
            address,
            attempt,
            began_s + attempt.deadline_s,
            max(MIN_SILENCE_S, SILENCE_FACTOR * expected_s),
            counts=self._counts,
            now=self._now,
            rng=self._rng,
            timers=self._coarse_timers,
        )
        job = attempt.task_id.rpartition("/")[0]
        self._learn(service, address, outcome, expected_s, job=job)
        return outcome

    def _learn(self, service, address, outcome, expected_s, *, job=""):
        now = self._now()
        if _says_leaving(outcome):
            self.view.note_leaving(address, now)
        if _was_cancelled(outcome):
            return
        shown = health_outcome(outcome, expected_s, job=job)
        if shown is not None:
            self.view.note(service, address, shown, now)

    def cancel_attempt(self, address, attempt_id):
        """Tell an endpoint to stop an attempt, together with others; best effort."""
        self._cancellations.add(address, attempt_id)

    def usable(self, service, endpoint, now_s):
        """Return whether an endpoint takes new work."""
        if self._hosts.is_leaving(endpoint.host):
            return False
        return self.view.usable(service, endpoint.address, now_s)

    def changes(self):
        """Return a value that differs once an event may have changed the usable endpoints."""
        return self._hosts.hosts.version, self.view.changes

    def retry_delay_s(self, retries):
        """Return the pause before a task that did not start is queued again."""
        return backoff_s(retries - 1, self._rng)

    def dump(self):
        """Return the state as plain data."""
        return {**self.view.dump(self._now()), "counts": self.counts()}

    def counts(self):
        """Return counters by name."""
        protocol = getattr(self.protocol, "counts", {})
        return {
            **self._counts,
            **protocol,
            **{f"cancel_{name}": n for name, n in self._cancellations.counts.items()},
            "retries_refused": self.budget.refused_retries,
        }


def _says_leaving(outcome):
    if isinstance(outcome, Finished):
        return outcome.result.leaving
    return isinstance(outcome, NotRun) and outcome.reason == FailedPhase.LEAVING


def _was_cancelled(outcome):
    if not isinstance(outcome, Finished) or outcome.result.ok:
        return False
    return outcome.result.value == "cancelled"


@part("endpoints", needs=("hosts", "peers"))
def build_endpoints(process):
    """Return the endpoints part of a process."""
    return EndpointsPart(process)
