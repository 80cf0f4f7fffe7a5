"""Withdraws jobs for which no caller of this process waits any more."""

import eventlet
import structlog

from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools._messages import WithdrawJob

__all__ = ["JobWithdrawals"]

CALL_TIMEOUT_S = 0.2
RETRY_S = 0.05
# A scheduler that has not been reached for this time counts this process as lost.
MAX_TRY_S = 2.0

log = structlog.get_logger(__name__)


class JobWithdrawals:
    """Tells schedulers of jobs whose callers have closed their connections.

    Such a caller may send its job again to any process, also to one that follows another scheduler
    behind a partition. The first runs have to be over by then.

    Parameters
    ----------
    network : PeerNetwork
        Network to the other processes.
    timers : TimerService
        Clock.
    is_awaited : callable
        Takes a scheduler and a job id, and returns whether another caller waits for that job.
    """

    def __init__(self, network, timers, *, is_awaited):
        self._network = network
        self._timers = timers
        self._is_awaited = is_awaited

    def withdraw(self, job_id, schedulers):
        """Withdraw a job in the background.

        Parameters
        ----------
        job_id : str
            The job.
        schedulers : iterable of str
            The schedulers that may have the job from this process.
        """
        for scheduler in schedulers:
            eventlet.spawn_n(self._withdraw, scheduler, job_id)

    def _withdraw(self, scheduler, job_id):
        """Tell one scheduler until it has replied or this process counts as lost there.

        A scheduler that doesn't know the job is told once more, as the submission may still be on
        its way.
        """
        until_s, was_unknown = self._timers.now() + MAX_TRY_S, False
        while self._timers.now() < until_s and not self._is_awaited(scheduler, job_id):
            try:
                message = WithdrawJob(job_id, only_waiting=False)
                reply = self._network.call(scheduler, message, timeout_s=CALL_TIMEOUT_S)
            except (PeerUnreachable, PeerOutcomeUnknown) as exc:
                log.info("withdrawal_not_sent", job=job_id, error=str(exc)[:120])
            else:
                # Processes of earlier releases don't reply with a state.
                if reply is None or reply.state or was_unknown:
                    return
                was_unknown = True
            eventlet.sleep(RETRY_S)
