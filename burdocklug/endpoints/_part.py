"""Endpoints as a part of a process: attempts, cancellations, and which endpoints take work."""

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
MIN_QUERY_DELAY_S = 1.0  # shortest wait for a result before the attempt's state is queried
# Multiple of the expected run time after which an attempt's state is queried; run times declared
# by callers, on which the expectation is based, are often far off.
QUERY_DELAY_FACTOR = 3.0
CLEAN_UP_PERIOD_S = 5.0  # between two removals of idle connections and of departed peers


class EndpointsPart:
    """Runs and cancels attempts for the dispatcher, and tells which endpoints are usable.

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
        self._peers.add_heartbeat_part(
            "ejected", self._ejected_for_heartbeat, self._on_peer_ejected
        )

    def start(self):
        """Start closing idle connections periodically."""
        self._timers.every(CLEAN_UP_PERIOD_S, self._clean_up)

    def _clean_up(self):
        self.protocol.close_idle(self._now())
        self.view.forget_departed_peers({member.incarnation for member in self._peers.members()})

    def _ejected_for_heartbeat(self):
        return self.view.ejected(self._now())

    def _on_peer_ejected(self, member, value):
        ejected = msgspec.convert(value, dict[str, int])
        self.view.receive_peer_ejections(member.incarnation, ejected, self._now())

    def run_attempt(self, service, address, attempt, *, expected_s):
        """Run an attempt until its outcome is known or its deadline, and update endpoint health.

        Parameters
        ----------
        service, address : str
            The service, and the address of the endpoint.
        attempt : Attempt
            The attempt to run.
        expected_s : float
            Expected run time in seconds.

        Returns
        -------
        Finished or NotRun or Unknown
            The attempt's outcome.
        """
        started_s = self._now()
        outcome = run_attempt(
            self.protocol,
            address,
            attempt,
            started_s + attempt.deadline_s,
            max(MIN_QUERY_DELAY_S, QUERY_DELAY_FACTOR * expected_s),
            counts=self._counts,
            now=self._now,
            rng=self._rng,
            timers=self._coarse_timers,
        )
        job = attempt.task_id.rpartition("/")[0]
        self._record_outcome(service, address, outcome, expected_s, job=job)
        return outcome

    def _record_outcome(self, service, address, outcome, expected_s, *, job=""):
        now = self._now()
        if _reports_leaving(outcome):
            self.view.note_leaving(address, now)
        if _was_cancelled(outcome):
            return
        observed = health_outcome(outcome, expected_s, job=job)
        if observed is not None:
            self.view.record_outcome(service, address, observed, now)

    def cancel_attempt(self, address, attempt_id):
        """Cancel an attempt in the next batch to its endpoint; best effort."""
        self._cancellations.add(address, attempt_id)

    def usable(self, service, endpoint, now_s):
        """Return whether an endpoint takes new work."""
        if self._hosts.is_leaving(endpoint.host):
            return False
        return self.view.usable(service, endpoint.address, now_s)

    def changes(self):
        """Return a token that changes with every event that may change the usable endpoints."""
        return self._hosts.hosts.version, self.view.changes

    def retry_delay_s(self, retries):
        """Return the backoff in seconds before a task that did not start is queued again."""
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


def _reports_leaving(outcome):
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
