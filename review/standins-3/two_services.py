"""The platform's stand-in with workers of two services, `press` and `press-new`, in turns of two.

The arguments are those of `standins.platform`.
"""

import sys

from standins import platform

SERVICES = ("press", "press-new")
_entry = platform._entry


def _entry_with_service(worker, address, zone):
    number = int(worker.worker_id.removeprefix("i-"), 16)
    return {**_entry(worker, address, zone), "service": SERVICES[number // 2 % 2]}


if __name__ == "__main__":
    platform._entry = _entry_with_service
    sys.exit(platform.main())
