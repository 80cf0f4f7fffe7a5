"""Client library for callers; it handles sessions, idempotency keys and resubmission."""

from burdocklug.client._client import Client, JobFailed, JobOutcome

__all__ = ["Client", "JobFailed", "JobOutcome"]
