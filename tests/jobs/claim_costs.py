"""Store writes per job for claims of caller keys: one value per key, or per bucket of keys.

``python -m tests.jobs.claim_costs`` counts both on the in-memory store in virtual time. A write
takes effect after half a round trip, so that writes of several processes to one bucket conflict.
"""

import random
from collections import Counter

import msgspec

from burdocklug.jobs._claims import Claim
from burdocklug.kernel import TimerService
from burdocklug.store import MAX_VALUE_BYTES, MemoryStore, VersionMismatch

__all__ = ["count_buckets", "count_single"]

ROUND_TRIP_S = 0.004
COMMIT_INTERVAL_S = 0.05  # time between two commits of all pending claims of a process
RUN_S = 10.0
CLAIM_TTL_S = 3840.0  # claim window, reuse time of the lease and margin for clock skew
OWNER = "127.0.0.1:7000~00000000000000ff0123abcd"
# Encoded claim and its key.
CLAIM_BYTES = len(msgspec.msgpack.encode(Claim(OWNER, b"d" * 16, b"n" * 8))) + 18


class _Fleet:
    def __init__(self, processes, jobs_per_s, buckets, seed=1):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.timers = TimerService(now=lambda: self.now_s)
        self.store = MemoryStore(now=lambda: self.now_s)
        self.buckets = buckets
        self.processes = processes
        self.jobs_per_s = jobs_per_s
        self.counts = Counter()
        self.pending = [{} for _ in range(processes)]
        self.versions = [{} for _ in range(processes)]
        self.value_bytes = min(MAX_VALUE_BYTES, jobs_per_s * CLAIM_TTL_S * CLAIM_BYTES / buckets)

    def run(self):
        for process in range(self.processes):
            self.timers.after(
                self.rng.random() * COMMIT_INTERVAL_S, lambda p=process: self.commit(p)
            )
        self.timers.after(0, self.add_job)
        while (due_s := self.timers.next_due_s()) is not None and due_s < RUN_S:
            self.now_s = due_s
            self.timers.run_due()
        return self.counts

    def add_job(self):
        self.counts["jobs"] += 1
        bucket = self.rng.randrange(self.buckets)
        pending = self.pending[self.rng.randrange(self.processes)]
        pending[bucket] = pending.get(bucket, 0) + 1
        self.timers.after(self.rng.expovariate(self.jobs_per_s), self.add_job)

    def commit(self, process):
        pending, self.pending[process] = self.pending[process], {}
        for bucket in pending:
            self.write(process, bucket)
        self.timers.after(COMMIT_INTERVAL_S, lambda: self.commit(process))

    def write(self, process, bucket):
        version = self.versions[process].get(bucket, 0)
        self.timers.after(ROUND_TRIP_S / 2, lambda: self.apply_write(process, bucket, version))

    def apply_write(self, process, bucket, version):
        self.counts["writes"] += 1
        self.counts["bytes"] += int(self.value_bytes)
        try:
            entry = self.store.put(f"claims/{bucket}", b"", expected_version=version, purpose="c")
        except VersionMismatch as exc:
            self.counts["conflicts"] += 1
            self.counts["bytes"] += int(self.value_bytes)  # the store's answer contains the value
            entry = exc.current
            self.timers.after(ROUND_TRIP_S / 2, lambda: self.write(process, bucket))
        self.versions[process][bucket] = entry.version


def count_buckets(processes, jobs_per_s, buckets):
    """Return writes per job, bytes per job and bytes per value, with one value per bucket."""
    fleet = _Fleet(processes, jobs_per_s, buckets)
    counts = fleet.run()
    jobs = counts["jobs"]
    return counts["writes"] / jobs, counts["bytes"] / jobs, fleet.value_bytes


def count_single(processes, jobs_per_s):
    """Return writes per job, bytes per job and bytes per value, with one value per key."""
    lease_grants_per_job = processes / 60.0 / jobs_per_s
    return 1.0 + lease_grants_per_job, CLAIM_BYTES, CLAIM_BYTES


def main():
    """Print the costs for several numbers of processes, job rates and numbers of buckets."""
    print("processes  jobs/s  buckets  writes/job  bytes/job  value bytes  control B/s a process")
    for processes in (7, 50):
        for jobs_per_s in (20, 200, 2000):
            rows = [("-", count_single(processes, jobs_per_s))]
            for buckets in (16, 256, 4096):
                rows.append((buckets, count_buckets(processes, jobs_per_s, buckets)))
            for buckets, (writes, sent, value) in rows:
                rate = sent * jobs_per_s / processes
                print(
                    f"{processes:9d} {jobs_per_s:7d} {buckets!s:>8} {writes:11.3f} {sent:10,.0f}"
                    f" {value:12,.0f} {rate:12,.0f}"
                )


if __name__ == "__main__":
    main()
