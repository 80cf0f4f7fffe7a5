"""Seeded runs of real processes against the platform's stand-in, under faults from outside."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from soak._checks import Evidence, find_violations  # noqa: E402
from soak._fleet import SoakFleet  # noqa: E402
from soak._plan import Entry, make_plan  # noqa: E402
from soak._run import run_seed  # noqa: E402

__all__ = ["Entry", "Evidence", "SoakFleet", "find_violations", "make_plan", "run_seed"]
