"""Client library for callers: sessions and resubmission are hidden inside."""

from burdocklug.client._client import Client, JobFailed, JobOutcome

__all__ = ["Client", "JobFailed", "JobOutcome"]
