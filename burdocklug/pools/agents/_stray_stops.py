"""Stops the stray runs of one endpoint until its reports show that they have ended."""

import eventlet
import structlog

__all__ = ["StrayStops"]

RETRY_PAUSE_S = 0.02  # after a stop that was not accepted
REPEAT_PAUSE_S = 0.1  # after an accepted stop, which takes 50 ms at most

log = structlog.get_logger(__name__)


class StrayStops:
    """The runs on one endpoint that its agent has no order for, and their stops.

    The scheduler does not start a task that is listed here.

    Parameters
    ----------
    agent : EndpointAgent
        The agent of the endpoint.
    """

    def __init__(self, agent):
        self._agent = agent
        self._attempts = {}  # highest known attempt, by the name of the task

    def __bool__(self):
        return bool(self._attempts)

    def __contains__(self, name):
        return name in self._attempts

    @property
    def _endpoint_id(self):
        return self._agent.endpoint.entry.endpoint_id

    def add(self, name, attempt, *, reason):
        """Record a run, and stop it in a separate greenlet as soon as this agent has a token."""
        is_new = name not in self._attempts
        self._attempts[name] = max(attempt, self._attempts.get(name, 0))
        if not is_new:
            return
        log.info(
            "stray_run_found", task=name, attempt=attempt, endpoint=self._endpoint_id, reason=reason
        )
        self._agent.scheduler.note_stray(name, self._endpoint_id)
        eventlet.spawn(self._stop, name)

    def reconcile(self, active):
        """Forget the runs that a report of the endpoint does not list as active.

        Parameters
        ----------
        active : container of str
            Names of the tasks that are listed.
        """
        for name in [name for name in self._attempts if name not in active]:
            self._forget(name, "ended")

    def clear(self, reason):
        """Forget all runs, as the endpoint has restarted or their leases have lapsed."""
        for name in list(self._attempts):
            self._forget(name, reason)

    def _forget(self, name, reason):
        del self._attempts[name]
        log.info("stray_run_ended", task=name, endpoint=self._endpoint_id, reason=reason)
        self._agent.scheduler.strays.discard(name, self._endpoint_id)
        self._agent.wake()

    def _stop(self, name):
        """Stop a run again and again until it is not listed any more."""
        while name in self._attempts and not self._agent.closed:
            is_accepted = self._agent.token is not None and self._agent.sender.try_stop(
                name, self._attempts[name]
            )
            eventlet.sleep(REPEAT_PAUSE_S if is_accepted else RETRY_PAUSE_S)
