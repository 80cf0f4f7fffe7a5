"""``python -m soak --seed 1 --seeds 50``: seeded runs under faults; exits with 1 on a violation."""

import argparse
import sys
import time

import eventlet

eventlet.monkey_patch()

from soak import find_violations, run_seed  # noqa: E402
from standins.launch import LaunchError  # noqa: E402

__all__ = ["main"]


def main(argv=None):
    """Play the seeds one after the other and return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; from the clock if left out")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=20.0)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--callers", type=int, default=6)
    parser.add_argument("--kinds", nargs="*", help="kinds of faults to draw from")
    args = parser.parse_args(argv)
    first = int(time.time()) if args.seed is None else args.seed
    bad = 0
    for seed in range(first, first + args.seeds):
        print(f"seed {seed}", flush=True)
        try:
            evidence = run_seed(
                seed,
                duration_s=args.duration_s,
                processes=args.processes,
                workers=args.workers,
                callers=args.callers,
                kinds=args.kinds,
                say=lambda line: print(f"  {line}", flush=True),
            )
        except LaunchError as exc:
            bad += 1
            print(f"  NOT PLAYED, a program did not start: {str(exc)[-300:]}", flush=True)
            continue
        broken = list(find_violations(evidence))
        bad += bool(broken)
        told = [job.attempts[-1].status for job in evidence.jobs if job.attempts]
        print(f"  {len(told)} jobs, {told.count(200)} answered, {len(broken)} violations")
        for line in broken:
            print(f"  BROKEN {line}", flush=True)
    print(f"{args.seeds - bad} passed, {bad} failed")
    return int(bad > 0)


if __name__ == "__main__":
    sys.exit(main())
