"""The scheduler's side of submissions, cancellations and queries from the processes of a pool."""

import msgspec
import structlog
from eventlet.event import Event

from burdocklug.pools._cancellations import forget_after_s
from burdocklug.pools._lease_times import TAKEOVER_DELAY_S
from burdocklug.pools._messages import (
    CancelJob,
    CancelledJobs,
    GetJobState,
    GetPendingCount,
    JobStateReply,
    PendingCountReply,
    SubmitJob,
    SubmitReply,
    WithdrawJob,
)
from burdocklug.pools._retry_after import MAX_RETRY_S, MIN_RETRY_S
from burdocklug.pools.cells import CellView
from burdocklug.pools.scheduling import job_size_bytes

__all__ = ["JobServer"]

# Shorter than `SCHEDULER_TIMEOUT_S`: the sender cannot have resubmitted the job elsewhere yet.
MAX_SUBMISSION_AGE_S = 0.7
DEFAULT_MAX_JOB_BYTES = 64 * 1024 * 1024
# Time after a change of the cells by which the former scheduler of a job has given it up, and its
# runs have ended.
PLAN_CHANGE_DELAY_S = 1.2
MAX_KNOWN_DOMAINS = 2000  # bound on the remembered failure domains of incarnations

log = structlog.get_logger(__name__)


class JobServer:
    """Serves the messages about jobs that processes send to the scheduler.

    Parameters
    ----------
    leader : Leader
        Has the scheduler, or None while this process is not the scheduler.
    network : PeerNetwork
        Network to the other processes.
    timers : TimerService
        Clock and timers.
    directory : Directory
        Source of the longest time that callers wait.
    election : SchedulerElection
        Source of the last heartbeats of other processes.
    is_paused : callable
        Returns whether this process was paused and may have lost the scheduler's role meanwhile.
    cell : CellView, optional
        The jobs of the cell; all of them by default.
    max_job_bytes : int, optional
        Memory for jobs, beyond which a new job is refused.
    """

    def __init__(
        self,
        leader,
        network,
        timers,
        directory,
        election,
        *,
        is_paused,
        cell=None,
        max_job_bytes=DEFAULT_MAX_JOB_BYTES,
    ):
        self._leader = leader
        self._network = network
        self._timers = timers
        self._directory = directory
        self._election = election
        self._is_paused = is_paused
        self._max_job_bytes = max_job_bytes
        self._domains = {}
        self._cell = cell or CellView(0)
        network.register(SubmitReply)
        network.register(PendingCountReply)
        network.register(JobStateReply)
        network.register(SubmitJob, self._on_submit)
        network.register(CancelJob, self._on_cancel, inline=True)
        network.register(CancelledJobs, self._on_cancelled, inline=True)
        network.register(WithdrawJob, self._on_withdraw, inline=True)
        network.register(GetJobState, self._on_get_state, inline=True)
        network.register(GetPendingCount, self._on_count, inline=True)

    def _on_submit(self, sender, message):
        scheduler = self._leader.scheduler
        if scheduler is None or self._is_paused() or self._is_stale(sender, message):
            return SubmitReply(resubmit=True)
        if message.plan_number != self._cell.plan_number:
            return SubmitReply(resubmit=True)  # one of the two does not know the latest plan yet
        now = self._timers.now()
        spec = self._with_current_queue(message)
        if spec is None:
            reason = f"version {self._directory.configuration.version} has no such queue"
            return SubmitReply(refused=reason, is_queue_removed=True)
        obstacle = self._leader.find_obstacle(spec) if scheduler.is_reconciled else None
        if obstacle is not None and self._leader.is_moving:
            return SubmitReply(resubmit=True)  # an endpoint that can hold it may still come
        if obstacle is None and scheduler.passed_on.has(spec.job_id, now):
            obstacle = "another cell may have it"
        if obstacle is not None:
            log.info("job_impossible", job=spec.job_id, reason=obstacle)
            expires_s = now - message.age_s + message.wait_s
            return self._refuse_unplaceable(scheduler, spec.job_id, obstacle, expires_s)
        if message.since_heard_s is None and not self._has_memory_for(scheduler, spec):
            log.warning("job_refused", job=spec.job_id, reason="memory", held=scheduler.held_bytes)
            return SubmitReply(refused="memory", retry_after_s=MAX_RETRY_S)
        job = scheduler.submit(
            spec,
            received_s=now - message.age_s,
            wait_s=message.wait_s,
            since_heard_s=self._since_heard_s(message, now),
            progress=message.progress,
            caller_domain=self._failure_domain_of(sender),
        )
        if job.outcome is not None:
            return SubmitReply(job.outcome)
        return self._wait_for_outcome(scheduler, job, sender)

    def _has_memory_for(self, scheduler, spec):
        """Return whether a job is known, or fits beside those that are held already."""
        is_known = spec.job_id in scheduler.jobs
        return is_known or scheduler.held_bytes + job_size_bytes(spec) <= self._max_job_bytes

    def _with_current_queue(self, message):
        """Return the job with its queue by the newest configuration; None if that has none for it.

        A job that a scheduler may have begun goes on by the rule by which it was accepted.
        """
        spec, configuration = message.spec, self._directory.configuration
        is_older = 0 < spec.configuration_version < configuration.version
        is_known = spec.job_id in self._leader.scheduler.jobs
        if not is_older or is_known or message.since_heard_s is not None:
            return spec
        queue = configuration.find_queue(spec.queue.host, spec.queue.prefix + spec.job_id)
        if queue == spec.queue:
            return spec
        log.info(
            "job_requeued",
            job=spec.job_id,
            queue=spec.queue.name,
            version=spec.configuration_version,
            newest_version=configuration.version,
            newest_queue=queue.name if queue else None,
        )
        return msgspec.structs.replace(spec, queue=queue) if queue else None

    def _since_heard_s(self, message, now):
        """Return the seconds since another scheduler may have acted on a job; None if none has.

        Just after a change of the cells, the scheduler that had the job before may still run it.
        """
        remaining_s = self._cell.changed_s + PLAN_CHANGE_DELAY_S - now
        if message.since_heard_s is None and remaining_s > 0.0:
            return TAKEOVER_DELAY_S - remaining_s
        return message.since_heard_s

    def _wait_for_outcome(self, scheduler, job, sender):
        done = Event()
        job.waiters.append(lambda job: None if done.ready() else done.send(job.suspended))
        job.callers[sender] += 1
        self._leader.update_contact(job)
        self._leader.schedule_start_waiting()  # one pass for all submissions of this loop iteration
        try:
            is_suspended = done.wait()
        finally:
            job.callers[sender] -= 1
            job.callers += type(job.callers)()  # drops counts of zero
        if job.outcome is not None:
            return SubmitReply(job.outcome)
        if is_suspended or self._leader.scheduler is not scheduler:
            return SubmitReply(
                resubmit=True, may_have_started=job.started, progress=scheduler.progress_of(job)
            )
        if job.obstacle:
            return self._refuse_unplaceable(scheduler, job.job_id, job.obstacle, job.expires_s)
        return SubmitReply(refused="overload", retry_after_s=self._book_return(job))

    def _refuse_unplaceable(self, scheduler, job_id, obstacle, expires_s):
        """Refuse a job that no endpoint of this cell can hold.

        If there are other cells, its process passes it on to them. This one goes on refusing it,
        even if an endpoint comes that can hold it, so that it doesn't run in two cells at once.
        """
        if self._cell.is_split:
            until_s = forget_after_s(self._timers.now(), expires_s=expires_s)
            scheduler.passed_on.add(job_id, until_s)
        return SubmitReply(refused=obstacle, unplaceable=True, retry_after_s=MAX_RETRY_S)

    def _is_stale(self, sender, message):
        if sender == self._network.incarnation:
            return False
        followers, now = self._election.followers, self._timers.now()
        age_s = followers.max_message_age_s(sender, message.reply_sequence, now)
        if age_s is not None and age_s < MAX_SUBMISSION_AGE_S:
            return False
        log.info("submission_stale", job=message.spec.job_id, sender=sender, age_s=age_s)
        return True

    def _book_return(self, job):
        """Return the delay after which a refused job is expected back."""
        returns = self._leader.scheduler.contention.returns
        return returns.book(job.job_id, len(job.tasks), self._timers.now(), earliest_s=MIN_RETRY_S)

    def _failure_domain_of(self, sender):
        """Return the failure domain of a process; empty while this process does not know it."""
        domain = self._domains.get(sender)
        if domain is None:
            domain = self._election.failure_domain_of(sender)
            if domain and len(self._domains) < MAX_KNOWN_DOMAINS:
                self._domains[sender] = domain
        return domain

    def _on_cancel(self, _sender, message):
        if self._leader.scheduler is None or self._is_paused():
            return JobStateReply("", is_scheduler=False)
        job = self._leader.scheduler.cancel(
            message.job_id, longest_wait_s=self._directory.longest_wait_s()
        )
        if job is None:
            return JobStateReply("")
        self._leader.schedule_start_waiting()
        return JobStateReply(str(job.outcome))

    def _on_cancelled(self, sender, message):
        """Take over cancellations that another process acknowledged under an earlier scheduler."""
        if self._leader.scheduler is None:
            return
        log.info("cancellations_taken_over", sender=sender, jobs=len(message.job_ids))
        for job_id in message.job_ids:
            self._leader.scheduler.cancel(job_id, longest_wait_s=self._directory.longest_wait_s())

    def _on_withdraw(self, sender, message):
        job = self._find_job(message.job_id)
        if job is not None:
            self._leader.scheduler.withdraw(job, sender, only_waiting=message.only_waiting)
        return self._state_reply(job)

    def _on_get_state(self, _sender, message):
        return self._state_reply(self._find_job(message.job_id))

    def _find_job(self, job_id):
        return self._leader.scheduler.jobs.get(job_id) if self._leader.scheduler else None

    @staticmethod
    def _state_reply(job):
        if job is None:
            return JobStateReply("")
        if job.outcome is not None:
            return JobStateReply(str(job.outcome))
        return JobStateReply("running" if job.started else "queued")

    def _on_count(self, _sender, message):
        return PendingCountReply(
            self._leader.scheduler.pending(message.queue) if self._leader.scheduler else 0
        )
