"""Messages between the processes of a pool."""

import msgspec

from burdocklug.pools._models import JobOutcome, JobSpec

__all__ = [
    "GetJobState",
    "CancelJob",
    "CancelledJobs",
    "Claim",
    "ClaimNotice",
    "GetPendingCount",
    "FollowerHeartbeat",
    "HeartbeatReply",
    "SubmitReply",
    "PendingCountReply",
    "JobStateReply",
    "JobProgress",
    "ReachReply",
    "ReachRequest",
    "SubmitJob",
    "WithdrawJob",
]


class Claim(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A process's claim to be the scheduler; of two claims the greater one takes precedence.

    Parameters
    ----------
    is_full : bool
        Whether the process reaches most others and schedules the endpoints of all failure domains.
    term : int
        Election term, higher than that of every claim known when this one was made.
    scheduler : str
        Incarnation of the process that claims the role or is appointed.
    domains : tuple of str
        Failure domains of a partial claim; empty for a full one.
    """

    is_full: bool
    term: int
    scheduler: str
    domains: tuple[str, ...] = ()

    def serves(self, domain):
        """Return whether the claim covers the endpoints of a failure domain."""
        return self.is_full or domain in self.domains


class ClaimNotice(msgspec.Struct, frozen=True, array_like=True, tag="claim_notice"):
    """Announces a claim."""

    claim: Claim


class FollowerHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="pool_follow"):
    """Heartbeat to the scheduler from a process that submits its jobs to it.

    Parameters
    ----------
    sequence : int
        Number of the heartbeat.
    claim : Claim
        Claim that the sender follows.
    configuration_version : int
        Version of the sender's configuration.
    usable_cores : float
        Usable cores of the sender's host, 0 while it is overloaded.
    reply_sequence : int
        Number of the last heartbeat whose reply the sender has received; 0 for none.
    evacuations_revision, evacuations_digest : int
        Revision up to which the sender knows the evacuations, and a digest of those that stand.
    plan_number : int
        Number of the plan of cells that the sender has in force.
    """

    sequence: int
    claim: Claim
    configuration_version: int = 0
    usable_cores: float = 1.0
    reply_sequence: int = 0
    evacuations_revision: int = 0
    evacuations_digest: int = 0
    plan_number: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="pool_followed"):
    """Reply to `FollowerHeartbeat`.

    Parameters
    ----------
    sequence : int
        Number of the heartbeat that is replied to.
    claim : Claim or None
        Claim that the replying process follows or holds, None if it has no scheduler.
    configuration_version : int
        Version of the replying process's configuration.
    loop_lag_s : float
        Recent lag of the replying process's event loop, in seconds.
    is_version_current : bool
        Whether the replying process has just read that version from the store, so that the
        receiver need not do so.
    evacuations_revision, evacuations_digest, plan_number : int
        As in `FollowerHeartbeat`.
    operators_revision : int
        Revision of the store up to which the replying process knows all that operators wrote.
    """

    sequence: int
    claim: Claim | None
    configuration_version: int = 0
    loop_lag_s: float = 0.0
    is_version_current: bool = False
    evacuations_revision: int = 0
    evacuations_digest: int = 0
    plan_number: int = 0
    operators_revision: int = 0


class ReachRequest(msgspec.Struct, frozen=True, array_like=True, tag="pool_reach"):
    """Request that checks whether a process is reachable and asks which scheduler it follows."""


class ReachReply(msgspec.Struct, frozen=True, array_like=True, tag="pool_reached"):
    """Reply to `ReachRequest`.

    Parameters
    ----------
    claim : Claim or None
        Claim of the scheduler that the sender follows, None if that has not replied recently.
    draining : bool
        Whether the sender must not become the scheduler: it is shutting down, or it does not know
        the other processes yet.
    usable_cores : float
        Usable cores of the sender's host, 0 while it is overloaded.
    configuration_version : int
        Version of the sender's configuration.
    """

    claim: Claim | None
    draining: bool = False
    usable_cores: float = 1.0
    configuration_version: int = 0


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job under an earlier scheduler.

    Parameters
    ----------
    done : tuple of int
        Indexes of the completed tasks, counted over all steps.
    attempts, failures : tuple of int
        Number of starts, and number of failed runs, of each task.
    endpoint_ids : tuple of str or None
        Endpoints that may still run a task of the job; None if they are not all known.
    """

    done: tuple[int, ...]
    attempts: tuple[int, ...]
    failures: tuple[int, ...]
    endpoint_ids: tuple[str, ...] | None = None


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="pool_submit"):
    """Submits a job to the scheduler, which replies when the job has ended.

    Parameters
    ----------
    spec : JobSpec
        The job.
    age_s : float
        Seconds since the sender received the job from its caller.
    wait_s : float
        Time for which the caller waits, in seconds from its reception.
    reply_sequence : int
        Number of the last `HeartbeatReply` that the sender has from the scheduler; bounds the age
        of this message.
    since_heard_s : float or None
        Seconds since the last reply of an earlier scheduler that may have started the job; None if
        there is none.
    progress : JobProgress or None
        Progress that the earlier scheduler reported, if it handed the job over.
    plan_number : int
        Number of the plan of cells by which the sender chose the scheduler.
    """

    spec: JobSpec
    age_s: float
    wait_s: float
    reply_sequence: int = 0
    since_heard_s: float | None = None
    progress: JobProgress | None = None
    plan_number: int = 0


class SubmitReply(msgspec.Struct, frozen=True, array_like=True, tag="pool_answer"):
    """Reply to `SubmitJob`.

    Parameters
    ----------
    outcome : JobOutcome or None
        How the job ended; None if it has not ended here.
    resubmit : bool
        Whether the job has to be submitted again: this process is not the scheduler, or the
        submission may be stale.
    may_have_started : bool
        Whether a task of a job to be resubmitted may have started.
    progress : JobProgress or None
        Progress of a job that is handed over to another scheduler.
    refused : str
        Why the job was refused without running any task; empty if it was not.
    retry_after_s : float
        Delay in seconds before a refused job may be retried.
    unplaceable : bool
        Whether the job was refused because a task exceeds every endpoint, even an idle one.
    is_queue_removed : bool
        Whether the job was refused because a newer configuration than the sender's lacks its queue.
    """

    outcome: JobOutcome | None = None
    resubmit: bool = False
    may_have_started: bool = False
    progress: JobProgress | None = None
    refused: str = ""
    retry_after_s: float = 0.0
    unplaceable: bool = False
    is_queue_removed: bool = False


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="pool_cancel"):
    """Cancels a job."""

    job_id: str


class CancelledJobs(msgspec.Struct, frozen=True, array_like=True, tag="pool_cancelled"):
    """Tells a scheduler of cancellations that others acknowledged."""

    job_ids: tuple[str, ...]


class WithdrawJob(msgspec.Struct, frozen=True, array_like=True, tag="pool_withdraw"):
    """Gives up a job whose caller has left, or whose caller's process shuts down.

    The submission gets its reply at once.

    Parameters
    ----------
    job_id : str
        The job.
    only_waiting : bool
        Whether to leave the job alone if a task of it was started.
    """

    job_id: str
    only_waiting: bool


class GetJobState(msgspec.Struct, frozen=True, array_like=True, tag="pool_ask"):
    """Asks for the state of a job."""

    job_id: str


class JobStateReply(msgspec.Struct, frozen=True, array_like=True, tag="pool_job"):
    """Reply to `CancelJob`, `WithdrawJob` and `GetJobState`.

    Parameters
    ----------
    state : str
        Name of the job's state, empty for an unknown job.
    is_scheduler : bool
        Whether the replying process schedules, so that the reply counts.
    """

    state: str
    is_scheduler: bool = True


class GetPendingCount(msgspec.Struct, frozen=True, array_like=True, tag="pool_count"):
    """Asks how many jobs of a queue have started no task."""

    queue: str


class PendingCountReply(msgspec.Struct, frozen=True, array_like=True, tag="pool_counted"):
    """Reply to `GetPendingCount`."""

    count: int
