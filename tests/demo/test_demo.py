import contextlib
import io
import os
import pty
import subprocess
import sys
from collections import Counter
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals

import demo.__main__ as program
from demo._deployments import AMHARA, MUEHLVIERTEL
from demo._report import message_cells, print_report
from demo._workload import JobRecord
from tests.scenarios import with_scenarios

TIMEOUT_S = 110.0
KEPT = "every promise was kept"


def job(state="complete", **more):
    return JobRecord("batch plan", state, 1, 0.2, 0.1, **more)


def records(*task_ids):
    starts = [(task_id, "attempt", 0.0, 1) for task_id in task_ids]
    return {"127.0.0.1:1": {"starts": starts, "messages": {"start": len(starts)}}}


@with_scenarios
class SummaryTest(TestCase):
    scenarios = [
        ("whole", {"jobs": [job()], "starts": ["a", "b"], "kept": True}),
        ("a failed job beside", {"jobs": [job(), job("failed")], "starts": ["a"], "kept": True}),
        ("a task started twice", {"jobs": [job()], "starts": ["a", "a"], "kept": False}),
        ("a partial answer", {"jobs": [job(), job(whole=False)], "starts": ["a"], "kept": False}),
        ("no job complete", {"jobs": [job("refused")], "starts": [], "kept": False}),
    ]

    def test_what_breaks_a_promise(self):
        _, kept = program.summarise(AMHARA, self.jobs, records(*self.starts), [])
        self.assertThat(kept, Equals(self.kept))


class ReportTest(TestCase):
    def test_messages_by_cause_are_a_line_a_deployment(self):
        cells = message_cells(Counter(start=4, fence=2), Counter(slot_grant=1), 2)
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            print_report([{"deployment": "amhara", **cells}])
        lines = out.getvalue().splitlines()
        self.assertThat(lines[1].split(), Equals(["amhara", "3.000", "0.500"]))
        self.assertThat(lines[2], Contains("fence 1.000, slot_grant 0.500"))


@with_scenarios
class ExitCodeTest(TestCase):
    scenarios = [
        ("both kept", {"kept": [MUEHLVIERTEL.name, AMHARA.name], "code": 0}),
        ("one broken", {"kept": [MUEHLVIERTEL.name], "code": 1}),
    ]

    def test_exit_code(self):
        def run(deployment, _seed):
            row = {"deployment": deployment.name, **message_cells(Counter(), Counter(), 0)}
            return row, deployment.name in self.kept

        out = io.StringIO()
        by_name = mock.patch.object(program, "run_deployment", run)
        with by_name, contextlib.redirect_stdout(out):
            self.assertThat(program.main(), Equals(self.code))
        self.assertThat(KEPT in out.getvalue(), Equals(self.code == 0))


@with_scenarios
class WholeDemoTest(TestCase):
    """The whole demo, once as in CI and once as at a terminal."""

    scenarios = [
        ("CI without a terminal", {"ci": True}),
        ("terminal", {"ci": False}),
    ]

    def output(self):
        env = {name: value for name, value in os.environ.items() if name != "CI"}
        command = [sys.executable, "-m", "demo"]
        if self.ci:
            env["CI"] = "true"
            done = subprocess.run(
                command, capture_output=True, stdin=subprocess.DEVNULL, env=env, timeout=TIMEOUT_S
            )
            return done.returncode, done.stdout.decode()
        ours, theirs = pty.openpty()
        self.addCleanup(os.close, ours)
        child = subprocess.Popen(command, stdin=theirs, stdout=theirs, env=env)
        os.close(theirs)
        code = child.wait(TIMEOUT_S)
        return code, os.read(ours, 65536).decode()

    def test_it_keeps_every_promise_and_says_so(self):
        code, output = self.output()
        self.assertThat(output, Contains(KEPT))
        self.assertThat(output, Contains("peer msgs/task"))
        self.assertThat(code, Equals(0))
