"""The side of the callers' processes: jobs on their way to the scheduler."""

from burdocklug.pools.submitting._congestion import CongestionControl
from burdocklug.pools.submitting._job_control import JobControl
from burdocklug.pools.submitting._submission import Submission
from burdocklug.pools.submitting._submitter import JobMoved, Submitter

__all__ = ["CongestionControl", "JobControl", "JobMoved", "Submission", "Submitter"]
