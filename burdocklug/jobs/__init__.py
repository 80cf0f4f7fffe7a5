"""Jobs: idempotency keys, the submission ledger, dispatch of tasks, and answers."""

from burdocklug.jobs._models import decoded_size_bytes

__all__ = ["decoded_size_bytes"]
