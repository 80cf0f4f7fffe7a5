"""Cancellations and queries of jobs, which go to the scheduler."""

import structlog

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools._cancellations import Cancellations, forget_after_s
from burdocklug.pools._messages import CancelJob, CancelledJobs, GetJobState, GetPendingCount
from burdocklug.pools._models import JobOutcome
from burdocklug.pools.cells import CellView

__all__ = ["JobControl"]

CALL_TIMEOUT_S = 1.0

log = structlog.get_logger(__name__)


class JobControl:
    """Cancels and queries jobs on behalf of this process's callers.

    Parameters
    ----------
    network : PeerNetwork
        Network to the other processes.
    election : SchedulerElection
        Source of the scheduler to call.
    timers : TimerService
        Clock and timers.
    longest_wait_s : callable
        Returns the longest time for which a caller of any queue waits, in seconds.
    cancellations : Cancellations, optional
        Where cancelled jobs are kept; cells share it, as a job may change its cell.
    cell : CellView, optional
        The cell whose scheduler is `election`'s; the only one by default.
    """

    def __init__(self, network, election, timers, *, longest_wait_s, cancellations=None, cell=None):
        self._network = network
        self._election = election
        self._timers = timers
        self._longest_wait_s = longest_wait_s
        self._cancellations = Cancellations() if cancellations is None else cancellations
        self._cell = cell or CellView(0)
        self._informed_term = None  # of the scheduler that has the cancellations, and the plan then

    def cancel(self, job_id):
        """Cancel a job and return its state; empty if the job is unknown.

        The cancellation is kept for later schedulers, for as long as another process may submit the
        job.
        """
        reply = self._call(CancelJob(job_id))
        if not reply.is_scheduler:
            raise BurdocklugError(ErrorKind.NO_SCHEDULER, "the scheduler has just changed")
        if reply.state in ("", JobOutcome.CANCELLED):
            now = self._timers.now()
            self._cancellations.add(
                job_id, forget_after_s(now, expires_s=now + self._longest_wait_s())
            )
        return reply.state

    def inform_scheduler(self):
        """Send the cancellations that this process acknowledged to a scheduler that is new here.

        After a change of the plan of cells every scheduler gets them, as it has other jobs then.
        """
        claim = self._election.confirmed_claim
        if claim is None:
            return
        term = claim.scheduler, claim.term, self._cell.plan_number
        if term == self._informed_term:
            return
        self._informed_term = term
        self._cancellations.forget(self._timers.now())
        for job_ids in self._cancellations.batches():
            if not self._send_cancelled(claim.scheduler, job_ids):
                return

    def repeat_cancellation(self, job_id):
        """Tell the scheduler of a cancellation that another cell's scheduler acknowledged."""
        claim = self._election.confirmed_claim
        if claim is not None:
            self._send_cancelled(claim.scheduler, (job_id,))

    def _send_cancelled(self, scheduler, job_ids):
        """Send cancellations; if they can't be sent, all are sent again by `inform_scheduler`."""
        try:
            self._network.send(scheduler, CancelledJobs(job_ids))
        except PeerUnreachable as exc:
            log.info("cancellations_not_sent", scheduler=scheduler, error=str(exc)[:120])
            self._informed_term = None
            return False
        return True

    def state(self, job_id):
        """Return the state of a job; empty if the job is unknown."""
        return self._call(GetJobState(job_id)).state

    def pending(self, queue):
        """Return how many jobs of a queue have started no task."""
        return self._call(GetPendingCount(queue)).count

    def _call(self, message):
        claim = self._election.claim
        if claim is None:
            raise BurdocklugError(ErrorKind.NO_SCHEDULER, "no scheduler is reachable")
        try:
            return self._network.call(claim.scheduler, message, timeout_s=CALL_TIMEOUT_S)
        except (PeerUnreachable, PeerOutcomeUnknown) as exc:
            raise BurdocklugError(
                ErrorKind.NO_SCHEDULER, f"the scheduler did not answer: {exc}"
            ) from exc
