"""Messages between the processes of a pool."""

import msgspec

from burdocklug.pools._models import JobOutcome, JobSpec, PoolConfiguration

__all__ = [
    "AskJob",
    "CancelJob",
    "Claim",
    "ClaimNotice",
    "ConfigurationCopy",
    "ConfigurationQuestion",
    "CountPending",
    "Follow",
    "Followed",
    "JobAnswer",
    "JobCounted",
    "JobKnown",
    "JobProgress",
    "ReachAnswer",
    "ReachQuestion",
    "SubmitJob",
]


class Claim(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Who schedules; of two claims the greater one holds.

    Parameters
    ----------
    whole : bool
        Whether its process reaches most of the fleet.
    term : int
        Higher than that of every claim known when it was made.
    scheduler : str
        Incarnation of the process.
    domains : tuple of str
        Failure domains that it serves, unless it serves all.
    """

    whole: bool
    term: int
    scheduler: str
    domains: tuple[str, ...] = ()

    def serves(self, domain):
        """Return whether the endpoints of a failure domain are scheduled."""
        return self.whole or domain in self.domains


class ClaimNotice(msgspec.Struct, frozen=True, array_like=True, tag="claim_notice"):
    """Tells of a claim."""

    claim: Claim


class Follow(msgspec.Struct, frozen=True, array_like=True, tag="pool_follow"):
    """Sent to the scheduler: the sender is there and hands its jobs to it.

    `power` is what its host can carry, in cores.
    """

    sequence: int
    claim: Claim
    configuration_version: int = 0
    power: float = 1.0


class Followed(msgspec.Struct, frozen=True, array_like=True, tag="pool_followed"):
    """Answer to `Follow`: the claim that the receiver holds for the greatest one.

    `late_s` is by how much the receiver's loop was late lately, in seconds.
    """

    sequence: int
    claim: Claim | None
    configuration_version: int = 0
    late_s: float = 0.0


class ReachQuestion(msgspec.Struct, frozen=True, array_like=True, tag="pool_reach"):
    """Asks whether the receiver is reached, and which scheduler it follows."""


class ReachAnswer(msgspec.Struct, frozen=True, array_like=True, tag="pool_reached"):
    """Answer to `ReachQuestion`; `claim` is None where no scheduler is heard.

    `power` is what the sender's host can carry, in cores.
    """

    claim: Claim | None
    draining: bool = False
    power: float = 1.0


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """What an earlier scheduler has done of a job.

    Parameters
    ----------
    done : tuple of int
        Numbers of the tasks that are done, counted over all steps.
    attempts, failures : tuple of int
        Starts and failed runs of each task.
    """

    done: tuple[int, ...]
    attempts: tuple[int, ...]
    failures: tuple[int, ...]


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="pool_submit"):
    """Hands a job to the scheduler; the answer comes when it has ended.

    Parameters
    ----------
    spec : JobSpec
        The job.
    age_s : float
        Seconds since its caller's process received it.
    wait_s : float
        Seconds, from then, for which its caller waits.
    heard_sequence : int
        Last `Followed` that the sender has from the scheduler, which bounds the message's age.
    quiet_s : float or None
        Set where another scheduler may have begun it: seconds since that one was last heard.
    progress : JobProgress or None
        What that one has done of it, if it handed the job over.
    """

    spec: JobSpec
    age_s: float
    wait_s: float
    heard_sequence: int = 0
    quiet_s: float | None = None
    progress: JobProgress | None = None


class JobAnswer(msgspec.Struct, frozen=True, array_like=True, tag="pool_answer"):
    """Answer to `SubmitJob`.

    Parameters
    ----------
    outcome : JobOutcome or None
        How the job ended; None if it did not.
    moved : bool
        Whether the receiver schedules no more, or not yet.
    begun : bool
        Whether a moved job may have begun there.
    progress : JobProgress or None
        What was done of a moved job that was handed over.
    refused : str
        Why the job was refused; nothing of it ran.
    retry_after_s : float
        Seconds after which a refused job may come again.
    impossible : bool
        Whether it was refused since no endpoint could hold it, however little ran.
    """

    outcome: JobOutcome | None = None
    moved: bool = False
    begun: bool = False
    progress: JobProgress | None = None
    refused: str = ""
    retry_after_s: float = 0.0
    impossible: bool = False


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="pool_cancel"):
    """Cancels a job."""

    job_id: str


class AskJob(msgspec.Struct, frozen=True, array_like=True, tag="pool_ask"):
    """Asks for the state of a job."""

    job_id: str


class JobKnown(msgspec.Struct, frozen=True, array_like=True, tag="pool_job"):
    """Answer to `CancelJob` and `AskJob`: the state by name, empty for an unknown job."""

    state: str


class CountPending(msgspec.Struct, frozen=True, array_like=True, tag="pool_count"):
    """Asks how many jobs of a queue have begun nothing."""

    queue: str


class JobCounted(msgspec.Struct, frozen=True, array_like=True, tag="pool_counted"):
    """Answer to `CountPending`."""

    count: int


class ConfigurationQuestion(msgspec.Struct, frozen=True, array_like=True, tag="pool_config_ask"):
    """Asks a peer for its configuration."""


class ConfigurationCopy(msgspec.Struct, frozen=True, array_like=True, tag="pool_config"):
    """Answer to `ConfigurationQuestion`."""

    configuration: PoolConfiguration
