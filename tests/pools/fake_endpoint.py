"""Fake endpoint of a pool in virtual time, with faults that tests inject."""

from dataclasses import dataclass, field

from burdocklug.pools._models import ActiveRun, RunEnd, RunEndKind, RunReport
from burdocklug.pools.agents._orders import (
    EndpointOrders,
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    OtherIncarnation,
    RefusalReason,
)

MAX_LEASE_MS = 1000


@dataclass
class Run:
    task: str
    attempt: int
    began_s: float
    stalled: bool = False


@dataclass
class FakeEndpoint(EndpointOrders):
    """One endpoint; `clock` is a list that holds the time.

    `lost_calls` and `unanswered_calls` name calls ("start", "stop", "renew") that are not carried
    out, or whose answer is lost; `executed_starts` has every start that was carried out.
    """

    clock: list
    run_s: float = 0.1
    token: int = 0
    lease_ms: int = 0
    started_ms: int = 7
    runs: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    highest_attempts: dict = field(default_factory=dict)
    lost_calls: set = field(default_factory=set)
    unanswered_calls: set = field(default_factory=set)
    refusal: str = ""
    stall: bool = False
    is_other_incarnation: bool = False
    executed_starts: list = field(default_factory=list)
    delayed_starts: list = field(default_factory=list)
    end_count: int = 0
    retired: int = 0
    waits_s: list = field(default_factory=list)
    report_hold: object = None  # event for which reports wait; None if they do not

    @property
    def clock_ms(self):
        return int(self.clock[0] * 1000)

    def run_time_s(self, task):
        return self.run_s

    def advance(self):
        for run in list(self.runs.values()):
            if not run.stalled and self.clock[0] - run.began_s >= self.run_time_s(run.task):
                self.end(run, RunEndKind.DONE)
        if self.runs and self.clock_ms > self.lease_ms:
            for run in list(self.runs.values()):
                self.end(run, RunEndKind.LAPSED)

    def end(self, run, kind):
        del self.runs[run.task]
        self.end_count += 1
        self.highest_attempts[run.task] = max(run.attempt, self.highest_attempts.get(run.task, 0))
        self.ends.append(RunEnd(self.end_count, run.task, run.attempt, kind))

    def _enter(self, call, token):
        self.advance()
        if call in self.lost_calls:
            raise OrderUnanswered(f"{call} lost")
        if self.is_other_incarnation:
            raise OtherIncarnation("other")
        if token < self.token:
            raise OrderFenced(self.clock_ms)
        self.token = max(self.token, token)

    def _leave(self, call):
        if call in self.unanswered_calls:
            raise OrderUnanswered(f"answer to {call} lost")

    def _renew_lease(self, lease_ms):
        if lease_ms is not None:
            self.lease_ms = max(self.lease_ms, min(lease_ms, self.clock_ms + MAX_LEASE_MS))

    def start(self, entry, *, task, attempt, payload, lease_ms, token, timeout_s):
        if "start" in self.lost_calls:
            self.delayed_starts.append((task, attempt, lease_ms, token))
        self._enter("start", token)
        self._carry_out(task, attempt, lease_ms)
        self._leave("start")
        return self.clock_ms

    def _carry_out(self, task, attempt, lease_ms):
        if self.refusal:
            raise OrderRefused(self.refusal, self.clock_ms)
        if lease_ms < self.clock_ms:
            raise OrderRefused(RefusalReason.LATE, self.clock_ms)
        if attempt <= self.highest_attempts.get(task, 0):
            raise OrderRefused(RefusalReason.OLD_ATTEMPT, self.clock_ms)
        self._renew_lease(lease_ms)
        if task not in self.runs:
            self.runs[task] = Run(task, attempt, self.clock[0], self.stall)
            self.executed_starts.append((task, attempt, self.clock[0]))

    def deliver_late(self):
        """Deliver the delayed starts, and return how many were refused."""
        refused = 0
        self.advance()
        for task, attempt, lease_ms, token in self.delayed_starts:
            try:
                if token < self.token:
                    raise OrderFenced(self.clock_ms)
                self._carry_out(task, attempt, lease_ms)
            except (OrderRefused, OrderFenced):
                refused += 1
        self.delayed_starts.clear()
        return refused

    def stop(self, entry, *, task, attempt, token, timeout_s):
        self._enter("stop", token)
        self.highest_attempts[task] = max(attempt, self.highest_attempts.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            self.end(run, RunEndKind.STOPPED)
        self._leave("stop")

    def renew(self, entry, *, token, acknowledged, lease_ms, wait_s, timeout_s):
        self.waits_s.append(wait_s)
        if self.report_hold is not None:
            self.report_hold.wait()
        self._enter("renew", token)
        self._renew_lease(lease_ms)
        self.ends = [end for end in self.ends if end.number > acknowledged]
        self._leave("renew")
        return self.report()

    def report(self):
        lines = tuple(ActiveRun(r.task, r.attempt, self._percent(r)) for r in self.runs.values())
        return RunReport(self.clock_ms, self.started_ms, lines, tuple(self.ends))

    def _percent(self, run):
        if run.stalled:
            return 0
        return int(100 * (self.clock[0] - run.began_s) / self.run_time_s(run.task))

    def restart(self):
        """Restart with a new incarnation and without any earlier state."""
        self.runs.clear()
        self.ends.clear()
        self.highest_attempts.clear()
        self.token = self.end_count = 0
        self.started_ms += 1

    def retire(self, entry):
        self.retired += 1
