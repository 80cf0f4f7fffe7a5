"""Retries: what to do after each phase in which an attempt may fail."""

from burdocklug.retries._temporary import Finished, NotRun, Unknown, run_attempt

__all__ = ["Finished", "NotRun", "Unknown", "run_attempt"]
