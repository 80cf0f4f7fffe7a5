"""The cases on the clock are listed and their lines worked out; CI starts none of their fleets."""

import contextlib
import io
import json
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

import bench.__main__
from bench._cases import Line, at_most, cases, clock_cases
from bench._cases_clock import Messages, _load_lines
from bench._clock_fleet import ClockJob, deployment_of
from burdocklug.kernel import Registry

NAMES = [
    "clock/amhara/80/even",
    "clock/amhara/80/uneven",
    "clock/amhara/leaving",
    "clock/amhara/tickets",
    "clock/muehlviertel/80/even",
    "clock/muehlviertel/80/uneven",
    "clock/muehlviertel/leaving",
    "clock/muehlviertel/tickets",
]


def single(response_s, *, arrival_s=10.0, **more):
    return ClockJob(arrival_s, 1, 0.1, response_s, **more)


class ClockCasesTest(TestCase):
    def test_the_cases_and_their_registry(self):
        self.assertThat(clock_cases.names(), Equals(NAMES))
        self.assertThat([name for name in cases.names() if name.startswith("clock/")], Equals([]))

    def test_the_command_runs_both_registries_and_a_pattern_selects(self):
        virtual, clock = Registry("virtual"), Registry("clock")
        virtual.register("routing/a")(lambda: [at_most("routing/a", 1.0, 2.0)])
        virtual.register("compare/a")(lambda: [at_most("compare/a", 1.0, None)])
        side_by_side = []

        def run(names):
            side_by_side.extend(names)
            return True

        clock.register("clock/a")(lambda: [at_most("clock/a", 1.0, 2.0)])
        with (
            mock.patch.object(bench.__main__, "cases", virtual),
            mock.patch.object(bench.__main__, "clock_cases", clock),
            mock.patch.object(bench.__main__, "run_side_by_side", run),
        ):
            found = {args: self.names(*args) for args in ((), ("--cases", "*/a"))}
        self.assertThat(side_by_side, Equals(["routing/a"]))
        self.assertThat(found[()], Equals(["clock/a"]))
        self.assertThat(found["--cases", "*/a"], Equals(["compare/a", "routing/a", "clock/a"]))

    def names(self, *args):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            self.assertThat(bench.__main__.main(list(args)), Equals(0))
        return [json.loads(line)["name"] for line in out.getvalue().splitlines()]

    def test_the_deployments_have_the_sizes_of_the_brief(self):
        for name in ("amhara", "muehlviertel"):
            deployment = deployment_of(name)
            sizes = sum(deployment.processes.values()), deployment.slots
            self.assertThat(sizes, Equals((7, 8)))
            self.assertThat(deployment.endpoints * len(deployment.processes), Equals(24))


class LoadLinesTest(TestCase):
    def lines(self, seen, *, starts=10, causes=None):
        causes = causes or {"start": 2.0}
        made = _load_lines("clock/amhara/80/even", seen, 0.0, starts, causes)
        return {line.name.rpartition("/")[2]: line for line in made}

    def test_ratios_are_those_of_answered_single_requests_after_the_warm_up(self):
        seen = [single(0.12), single(9.0, arrival_s=1.0), ClockJob(10.0, 4, 0.1, 9.0)]
        line = self.lines(seen)["single_p99"]
        self.assertThat((line.measured, line.bound, line.passed), Equals((1.2, 1.5, True)))

    def test_no_answered_single_request_fails(self):
        self.assertThat(self.lines([single(None)])["single_p99"].passed, Equals(False))

    def test_the_bound_on_messages_is_two_a_task_and_two_a_job_where_messages_weigh(self):
        causes = {"start": 2.0, "slot_request": 0.3}
        line = self.lines([single(0.1)] * 2, starts=10, causes=causes)["messages_per_task"]
        self.assertThat((line.measured, line.bound, line.passed), Equals((2.3, 2.4, True)))
        self.assertThat(line.details["beside_starts"], Equals({"slot_request": 0.3}))

    def test_a_failed_and_a_mixed_up_answer_are_counted(self):
        seen = [single(None, failure="queue_full"), single(0.1, whole=False), single(0.1)]
        line = self.lines(seen)["jobs_without_whole_answer"]
        self.assertThat(line, Equals(Line(line.name, 2, 0, False, {"kinds": ["queue_full"]})))


class FakeFleet:
    names = ["north-1"]

    def __init__(self, starts, status, grants):
        self.record = {"messages": {"start": starts, "status": status}, "starts": [0] * starts}
        self.grants = grants

    def records(self):
        return {"127.0.0.1:1": self.record}

    def state(self, _name):
        return {"peers": {"counters": {"messages_slot_grant": self.grants, "messages_hb": 70}}}


class MessagesTest(TestCase):
    def test_counts_are_those_since_the_older_ones_without_what_goes_by_time(self):
        before, after = Messages(FakeFleet(10, 5, 1)), Messages(FakeFleet(20, 50, 4))
        found = after.since(before)
        self.assertThat(found, Equals((10, {"start": 2.0, "slot_grant": 0.3})))
