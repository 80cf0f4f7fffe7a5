"""Jobs: idempotency keys, the submission ledger, dispatching, answers."""
