"""Jobs: idempotency keys, the submission ledger, dispatch of tasks, and answers."""
