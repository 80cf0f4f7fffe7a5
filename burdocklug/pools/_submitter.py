"""Hands callers' jobs to the scheduler, and to the next one when that is lost."""

from dataclasses import dataclass

import eventlet
import structlog
from eventlet.event import Event

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.peers import PeerNotReached, PeerSilent
from burdocklug.pools._messages import AskJob, CancelJob, CountPending, SubmitJob
from burdocklug.pools._models import JobOutcome

__all__ = ["Submitter"]

NO_SCHEDULER_WAIT_S = 0.5  # a job that nobody has waits so long for a scheduler to be there
HANDOVER_S = 0.05  # for what a scheduler that yields has to say of its jobs
POLL_S = 0.02
CONTROL_CALL_S = 1.0  # cancellations and questions
ANSWER_MARGIN_S = 0.3  # for the scheduler to answer a job whose caller stops waiting

log = structlog.get_logger(__name__)


class _SchedulerLost(Exception):
    """Ends the wait for a scheduler that is not followed any more."""


@dataclass(slots=True)
class _Submission:
    """A job on its way, and what other schedulers may have done of it."""

    spec: object
    received_s: float
    wait_s: float
    heard_s: float | None = None  # last sign of a scheduler that may have begun it
    progress: object = None

    @property
    def maybe_begun(self):
        return self.heard_s is not None


class Submitter:
    """Submits jobs for callers of this process.

    Parameters
    ----------
    network : PeerNetwork
        Carries the messages.
    following : Following
        Tells the scheduler.
    timers : TimerService
        Source of time.
    priorities : callable
        Returns the priorities of the queues in force, as a set; the lowest is the most urgent.
    """

    def __init__(self, network, following, timers, *, priorities):
        self.waiting = 0
        self._network = network
        self._following = following
        self._timers = timers
        self._priorities = priorities
        self._calls = {}

    def follow_claim(self, claim):
        """End the waits for schedulers other than the one that is followed now."""
        scheduler = claim.scheduler if claim is not None else None
        left = [event for event, called in self._calls.items() if called != scheduler]
        if left:
            self._timers.after(HANDOVER_S, lambda: self._give_up(left))

    @staticmethod
    def _give_up(events):
        for event in events:
            if not event.ready():
                event.send_exception(_SchedulerLost())

    def submit(self, spec, *, wait_s):
        """Submit a job and wait for its end.

        Parameters
        ----------
        spec : JobSpec
            The job.
        wait_s : float
            Seconds for which the caller waits.

        Returns
        -------
        JobOutcome
            How it ended.

        Raises
        ------
        BurdocklugError
            Of kind ``would_miss_deadline``, ``no_endpoint``, ``no_scheduler`` if nothing ran, of
            kind ``outcome_unknown`` or ``deadline_exceeded`` where something may have.
        """
        submission = _Submission(spec, self._timers.now(), wait_s)
        self.waiting += 1
        try:
            return self._submit(submission)
        except BurdocklugError as exc:
            claim = self._following.claim
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

    def _submit(self, submission):
        until_s = submission.received_s + submission.wait_s + ANSWER_MARGIN_S
        while True:
            claim = self._wait_for_scheduler(submission, until_s)
            self._admit(submission)
            sequence = self._following.heard_sequence
            answer = self._call(claim.scheduler, submission, until_s)
            if answer is None:
                continue
            if answer.outcome is JobOutcome.EXPIRED:
                raise BurdocklugError(ErrorKind.DEADLINE_EXCEEDED, "not done before the deadline")
            if answer.outcome is not None:
                return answer.outcome
            if answer.refused and submission.maybe_begun:
                raise BurdocklugError(
                    ErrorKind.OUTCOME_UNKNOWN, f"lost with its scheduler, then {answer.refused}"
                )
            if answer.refused:
                raise BurdocklugError(
                    ErrorKind.NO_ENDPOINT if answer.impossible else ErrorKind.WOULD_MISS_DEADLINE,
                    f"refused: {answer.refused}",
                    retry_after_s=answer.retry_after_s,
                )
            if answer.begun:
                submission.heard_s = self._timers.now()
                submission.progress = answer.progress
            self._wait_for_news(claim, sequence)

    def _admit(self, submission):
        """Refuse a job that the scheduler would not come to read; one that may run goes on."""
        congestion = self._following.congestion
        is_admitted = congestion.try_admit(self._urgency(submission.spec.queue))
        if not is_admitted and not submission.maybe_begun:
            raise BurdocklugError(
                ErrorKind.WOULD_MISS_DEADLINE,
                "refused: the scheduler is behind",
                retry_after_s=congestion.retry_after_s(),
            )

    def _urgency(self, queue):
        """Return how many less urgent priorities the queues in force have."""
        return sum(priority > queue.priority for priority in self._priorities())

    def _wait_for_news(self, claim, sequence):
        """Wait until the scheduler has answered a later question, or another one is followed.

        A scheduler that has turned a job away for its age would do so again with the same answer.
        """
        while True:
            eventlet.sleep(POLL_S)
            following = self._following
            if following.claim is None or following.claim.scheduler != claim.scheduler:
                return
            if following.leads or following.heard_sequence > sequence:
                return

    def _wait_for_scheduler(self, submission, until_s):
        began_s = self._timers.now()
        while True:
            now, claim = self._timers.now(), self._following.reached_claim
            if claim is not None and now < until_s:
                return claim
            if submission.maybe_begun:
                if now >= until_s:
                    raise BurdocklugError(
                        ErrorKind.OUTCOME_UNKNOWN, "the scheduler of the job was lost"
                    )
            elif now - began_s >= NO_SCHEDULER_WAIT_S or now >= until_s:
                raise BurdocklugError(ErrorKind.NO_SCHEDULER, "no scheduler is reached")
            eventlet.sleep(POLL_S)

    def _call(self, scheduler, submission, until_s):
        """Return the scheduler's answer, or None if another one has to be asked."""
        done = Event()
        self._calls[done] = scheduler
        thread = eventlet.spawn(self._ask, scheduler, submission, until_s, done)
        try:
            return done.wait()
        except PeerNotReached as exc:
            log.info("scheduler_not_reached", job=submission.spec.job_id, error=str(exc)[:120])
            self._following.note_not_reached(scheduler)
            eventlet.sleep(POLL_S)
            return None
        except (PeerSilent, _SchedulerLost) as exc:
            submission.heard_s = self._last_heard_s(scheduler)
            submission.progress = None
            log.info(
                "scheduler_lost_with_job",
                job=submission.spec.job_id,
                scheduler=scheduler,
                heard_ago_s=round(self._timers.now() - submission.heard_s, 3),
                error=type(exc).__name__,
            )
            return None
        finally:
            del self._calls[done]
            thread.kill()

    def _last_heard_s(self, scheduler):
        claim = self._following.claim
        if claim is not None and claim.scheduler == scheduler:
            return self._following.heard_s
        return self._following.lost_heard_s.get(scheduler, self._timers.now())

    def _ask(self, scheduler, submission, until_s, done):
        now = self._timers.now()
        message = SubmitJob(
            submission.spec,
            age_s=now - submission.received_s,
            wait_s=submission.wait_s,
            heard_sequence=self._following.heard_sequence,
            quiet_s=now - submission.heard_s if submission.maybe_begun else None,
            progress=submission.progress,
        )
        try:
            answer = self._network.call(scheduler, message, timeout_s=max(until_s - now, POLL_S))
        except (PeerNotReached, PeerSilent) as exc:
            if not done.ready():
                done.send_exception(exc)
        else:
            if not done.ready():
                done.send(answer)

    def cancel(self, job_id):
        """Cancel a job and return its state, empty for an unknown one."""
        return self._control(CancelJob(job_id)).state

    def state(self, job_id):
        """Return the state of a job, empty for an unknown one."""
        return self._control(AskJob(job_id)).state

    def pending(self, queue):
        """Return how many jobs of a queue have begun nothing."""
        return self._control(CountPending(queue)).count

    def _control(self, message):
        claim = self._following.claim
        if claim is None:
            raise BurdocklugError(ErrorKind.NO_SCHEDULER, "no scheduler is reached")
        try:
            return self._network.call(claim.scheduler, message, timeout_s=CONTROL_CALL_S)
        except (PeerNotReached, PeerSilent) as exc:
            raise BurdocklugError(
                ErrorKind.NO_SCHEDULER, f"the scheduler did not answer: {exc}"
            ) from exc
