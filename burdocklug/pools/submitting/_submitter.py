"""Submits callers' jobs to the scheduler, and resubmits them to its successor on a failover."""

import eventlet
import structlog
from eventlet.event import Event

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran
from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools._messages import SubmitJob, WithdrawJob
from burdocklug.pools._models import JobOutcome
from burdocklug.pools._retry_after import MIN_RETRY_S
from burdocklug.pools.cells import CellView
from burdocklug.pools.contention import MIN_RUN_FACTOR
from burdocklug.pools.scheduling import critical_path_s
from burdocklug.pools.submitting._submission import Submission
from burdocklug.pools.submitting._withdrawals import JobWithdrawals

__all__ = ["JobMoved", "Submitter"]

NO_SCHEDULER_WAIT_S = 0.5  # longest wait for a scheduler by a job that can't have started yet
HANDOVER_GRACE_S = 0.05  # wait for the last replies of a scheduler that hands over its jobs
POLL_S = 0.02
REPLY_MARGIN_S = 0.3  # wait for the scheduler's reply after the caller's waiting time has ended

log = structlog.get_logger(__name__)


class JobMoved(Exception):
    """The plan of cells has changed, so that the cell of the submission has to be chosen anew."""


class _SchedulerLost(Exception):
    """Raised in calls to a scheduler that is no longer followed, or that does not reply in time."""


class _CallerLeft(Exception):
    """Raised in calls for a job whose caller has closed its connection."""


class Submitter:
    """Submits jobs on behalf of this process's callers.

    Parameters
    ----------
    network : PeerNetwork
        Network to the other processes.
    election : SchedulerElection
        Source of the scheduler to submit to.
    timers : TimerService
        Clock and timers.
    priorities : callable
        Returns the priorities of the queues in force, as a set; the lowest is the most urgent.
    cell : CellView, optional
        The cell whose scheduler is `election`'s; the only one by default.
    """

    def __init__(self, network, election, timers, *, priorities, cell=None):
        self.waiting = 0
        self._is_closing = False
        self._network = network
        self._election = election
        self._timers = timers
        self._priorities = priorities
        self._cell = cell or CellView(0)
        self._calls = {}  # scheduler and job id of each call, by its event
        self._withdrawals = JobWithdrawals(network, timers, is_awaited=self._is_awaited)

    def apply_claim(self, claim):
        """Abandon calls to schedulers other than that of the claim, after a grace period."""
        scheduler = claim.scheduler if claim is not None else None
        stale_calls = [event for event, call in self._calls.items() if call[0] != scheduler]
        if stale_calls:
            self._timers.after(HANDOVER_GRACE_S, lambda: self._abandon_calls(stale_calls))

    @staticmethod
    def _abandon_calls(events, error=_SchedulerLost):
        for event in events:
            if not event.ready():
                event.send_exception(error())

    def _is_awaited(self, scheduler, job_id):
        return (scheduler, job_id) in self._calls.values()

    def withdraw_waiting(self, *, only_waiting):
        """Ask the scheduler to give up the jobs that callers of this process wait for.

        Parameters
        ----------
        only_waiting : bool
            Whether to leave the jobs alone of which a task was started.
        """
        self._is_closing = True
        for scheduler, job_id in list(self._calls.values()):
            try:
                self._network.send(scheduler, WithdrawJob(job_id, only_waiting))
            except PeerUnreachable as exc:
                log.info("withdrawal_not_sent", job=job_id, error=str(exc)[:120])

    def abandon_waiting(self):
        """Answer all callers that still wait, without the scheduler's reply."""
        self._is_closing = True
        self._abandon_calls(list(self._calls))

    @staticmethod
    def _check_caller(submission):
        """Raise if nobody waits for the job any more; the answer has no reader."""
        if submission.has_caller_left:
            raise BurdocklugError(
                ErrorKind.OUTCOME_UNKNOWN, "the caller closed its connection before the job ended"
            )

    def _check_open(self, submission):
        """Raise the answer to a caller whose job this process does not submit again."""
        self._check_caller(submission)
        if not self._is_closing:
            return
        if submission.may_have_started:
            raise BurdocklugError(
                ErrorKind.OUTCOME_UNKNOWN, "this process shuts down before the job has ended"
            )
        raise BurdocklugError(ErrorKind.SHUTTING_DOWN, "this process is shutting down")

    def submit(self, spec, *, wait_s):
        """Submit a job and wait for its outcome.

        Parameters
        ----------
        spec : JobSpec
            The job.
        wait_s : float
            Time for which the caller waits, in seconds.

        Returns
        -------
        JobOutcome
            How the job ended.

        Raises
        ------
        BurdocklugError
            Of kind ``would_miss_deadline``, ``no_endpoint``, ``no_scheduler`` or ``not_found`` if
            no task ran, of kind ``outcome_unknown`` or ``deadline_exceeded`` if a task may have.
        """
        return self.resume(Submission(spec, self._timers.now(), wait_s))

    def resume(self, submission):
        """Go on with a submission that another cell's submitter began, or begin a new one.

        Raises
        ------
        JobMoved
            If the plan of cells has changed; nothing is under way for the job here.
        BurdocklugError
            See `submit`.
        """
        spec = submission.spec
        submission.is_unplaceable = False
        submission.asked.clear()
        self.waiting += 1
        try:
            return self._submit(submission)
        except BurdocklugError as exc:
            claim = self._election.claim
            log.info(
                "submission_failed",
                job=spec.job_id,
                queue=spec.queue.name,
                kind=str(exc.kind),
                ran=str(exc.ran),
                reason=exc.message,
                waited_s=round(self._timers.now() - submission.received_s, 3),
                scheduler=claim.scheduler if claim else None,
            )
            raise
        finally:
            self.waiting -= 1
            if submission.has_caller_left:
                self._withdrawals.withdraw(submission.spec.job_id, submission.asked)

    def _submit(self, submission):
        deadline_s = submission.received_s + submission.wait_s + REPLY_MARGIN_S
        while True:
            claim = self._wait_for_scheduler(submission, deadline_s)
            self._admit(submission)
            sequence = self._election.reply_sequence
            reply = self._call(claim.scheduler, submission, deadline_s)
            if reply is None:
                self._check_open(submission)
                self._check_in_time(submission)
                continue
            if reply.outcome is JobOutcome.EXPIRED:
                raise BurdocklugError(
                    ErrorKind.DEADLINE_EXCEEDED, "the job did not or could not end by its deadline"
                )
            if reply.outcome is not None:
                return reply.outcome
            if reply.may_have_started:
                submission.earlier_reply_s = self._timers.now()
                submission.progress = reply.progress
            submission.is_unplaceable = reply.unplaceable
            self._check_open(submission)
            if reply.refused and submission.may_have_started:
                raise BurdocklugError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    f"the job's scheduler was lost, and the next one refused it: {reply.refused}",
                )
            if reply.is_queue_removed:
                raise BurdocklugError(ErrorKind.NOT_FOUND, reply.refused, ran=Ran.NO)
            if reply.refused:
                raise BurdocklugError(
                    ErrorKind.NO_ENDPOINT if reply.unplaceable else ErrorKind.WOULD_MISS_DEADLINE,
                    f"refused: {reply.refused}",
                    retry_after_s=reply.retry_after_s,
                )
            self._wait_for_newer_reply(submission, claim, sequence)

    def _check_in_time(self, submission):
        """Refuse a job that has not started and can't end before its caller stops waiting."""
        if submission.may_have_started:
            return
        least_s = MIN_RUN_FACTOR * critical_path_s(submission.spec.steps)
        if least_s <= submission.wait_s < self._timers.now() - submission.received_s + least_s:
            raise BurdocklugError(
                ErrorKind.WOULD_MISS_DEADLINE,
                "refused: the job can't end before its deadline any more",
                retry_after_s=MIN_RETRY_S,
            )

    def _admit(self, submission):
        """Refuse a job that a congested scheduler would read too late.

        A job that an earlier scheduler may have started is always sent.
        """
        congestion = self._election.congestion
        is_admitted = congestion.try_admit(self._urgency(submission.spec.queue))
        if not is_admitted and not submission.may_have_started:
            raise BurdocklugError(
                ErrorKind.WOULD_MISS_DEADLINE,
                "refused: the scheduler is congested",
                retry_after_s=congestion.retry_after_s(),
            )

    def _urgency(self, queue):
        """Return how many of the configured priorities are less urgent than the queue's."""
        return sum(priority > queue.priority for priority in self._priorities())

    def _wait_for_newer_reply(self, submission, claim, sequence):
        """Wait until the scheduler has replied to a later heartbeat, or another one is followed.

        The scheduler bounds a submission's age by the last reply that it names, so a submission
        refused as stale would be refused again with the same reply.
        """
        while True:
            eventlet.sleep(POLL_S)
            self._check_caller(submission)
            self._check_in_time(submission)
            election = self._election
            if election.claim is None or election.claim.scheduler != claim.scheduler:
                return
            if election.is_scheduler or election.reply_sequence > sequence:
                return

    def _wait_for_scheduler(self, submission, deadline_s):
        began_s = self._timers.now()
        while True:
            if submission.plan_number != self._cell.plan_number:
                raise JobMoved()
            self._check_caller(submission)
            now, claim = self._timers.now(), self._election.confirmed_claim
            if claim is not None and now < deadline_s:
                return claim
            self._check_open(submission)
            self._check_in_time(submission)
            if submission.may_have_started:
                if now >= deadline_s:
                    raise BurdocklugError(
                        ErrorKind.OUTCOME_UNKNOWN, "the scheduler of the job was lost"
                    )
            elif now - began_s >= NO_SCHEDULER_WAIT_S or now >= deadline_s:
                raise BurdocklugError(ErrorKind.NO_SCHEDULER, "no scheduler is reachable")
            eventlet.sleep(POLL_S)

    def _call(self, scheduler, submission, deadline_s):
        """Return the scheduler's reply, or None if the job has to be resubmitted."""
        done = Event()
        self._calls[done] = (scheduler, submission.spec.job_id)
        submission.asked.add(scheduler)
        if submission.caller is not None:
            submission.caller.on_end(lambda: self._abandon_calls([done], _CallerLeft))
        thread = eventlet.spawn(self._send_submission, scheduler, submission, deadline_s, done)
        try:
            reply = done.wait()
            submission.asked.discard(scheduler)
            return reply
        except _CallerLeft:
            log.info("caller_left", job=submission.spec.job_id, scheduler=scheduler)
            return None
        except PeerUnreachable as exc:
            submission.asked.discard(scheduler)
            log.info("scheduler_not_reached", job=submission.spec.job_id, error=str(exc)[:120])
            self._election.note_not_reached(scheduler)
            eventlet.sleep(POLL_S)
            return None
        except (PeerOutcomeUnknown, _SchedulerLost) as exc:
            submission.earlier_reply_s = self._last_reply_s(scheduler)
            submission.progress = None
            log.info(
                "scheduler_lost_during_job",
                job=submission.spec.job_id,
                scheduler=scheduler,
                heard_ago_s=round(self._timers.now() - submission.earlier_reply_s, 3),
                error=type(exc).__name__,
            )
            return None
        finally:
            del self._calls[done]
            thread.kill()

    def _last_reply_s(self, scheduler):
        claim = self._election.claim
        if claim is not None and claim.scheduler == scheduler:
            return self._election.last_reply_s
        return self._election.former_reply_s.get(scheduler, self._timers.now())

    def _send_submission(self, scheduler, submission, deadline_s, done):
        now = self._timers.now()
        message = SubmitJob(
            submission.spec,
            age_s=now - submission.received_s,
            wait_s=submission.wait_s,
            reply_sequence=self._election.reply_sequence,
            since_heard_s=now - submission.earlier_reply_s if submission.may_have_started else None,
            progress=submission.progress,
            plan_number=self._cell.plan_number,
        )
        try:
            reply = self._network.call(scheduler, message, timeout_s=max(deadline_s - now, POLL_S))
        except (PeerUnreachable, PeerOutcomeUnknown) as exc:
            if not done.ready():
                done.send_exception(exc)
        else:
            if not done.ready():
                done.send(reply)
