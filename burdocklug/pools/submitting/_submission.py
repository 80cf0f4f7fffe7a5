"""A caller's job on its way to a scheduler."""

from dataclasses import dataclass, field

__all__ = ["Submission"]


@dataclass(slots=True)
class Submission:
    """A job to submit, and what is known of its runs under earlier schedulers.

    Parameters
    ----------
    spec : JobSpec
        The job.
    received_s, wait_s : float
        When the job was received, and the seconds from then for which its caller waits.
    earlier_reply_s : float or None
        Time of the last reply of a scheduler that may have started the job.
    progress : JobProgress or None
        Progress of the job there.
    plan_number : int
        Number of the plan of cells by which the cell was chosen that has the submission now.
    is_unplaceable : bool
        Whether that cell refused the job because none of its endpoints can hold it.
    caller : ConnectionWatch or None
        Connection of the caller, if it may end before the job does.
    asked : set of str
        Schedulers of that cell that may have the job, as far as this process knows.
    """

    spec: object
    received_s: float
    wait_s: float
    earlier_reply_s: float | None = None
    progress: object = None
    plan_number: int = 0
    is_unplaceable: bool = False
    caller: object = None
    asked: set = field(default_factory=set)

    @property
    def may_have_started(self):
        """Whether a scheduler that is lost may have started the job."""
        return self.earlier_reply_s is not None

    @property
    def has_caller_left(self):
        """Whether the caller's connection has ended."""
        return self.caller is not None and self.caller.has_ended
