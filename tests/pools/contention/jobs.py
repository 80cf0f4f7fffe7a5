"""Jobs and rules for tests of contention."""

import msgspec

from burdocklug.pools.scheduling._jobs import make_job
from tests.pools.builders import RULE, spec, step

NOW_S = 100.0


def rule(name="checks", **changes):
    """Return the rule of a queue."""
    return msgspec.structs.replace(RULE, name=name, **changes)


def waiting_job(job_id, tasks=1, estimate_s=0.2, *, received_s=NOW_S, queue=None, **options):
    """Return a job that waits for its first start."""
    found = spec(job_id, step(tasks, estimate_s=estimate_s), rule=queue or rule())
    return make_job(found, received_s=received_s, wait_s=options.pop("wait_s", 1.5), **options)
