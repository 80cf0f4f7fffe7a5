import importlib.util
import json
import subprocess
import sys

import yaml
from testtools import TestCase, skipUnless
from testtools.matchers import Contains, Equals

from burdocklug.kernel import ANSWERS, ErrorKind
from standins.fleet import OPERATOR_TOKEN
from tests.daemon.fleets import FleetTestCase

PLOTS = importlib.util.find_spec("matplotlib") is not None
LOAD = ("load", "press", "--team", "vat", "--rate", "20", "--duration-s", "1")
SHORT_TASKS = ("--run-s", "0.05", "0.1")
COMMANDS = (
    ("submit",),
    ("status",),
    ("cancel",),
    ("ticket", "apply"),
    ("ticket", "show"),
    ("ticket", "wait"),
    ("state",),
    ("endpoints",),
    ("drain",),
    ("check-settings",),
    ("load",),
)


def run(*args):
    command = [sys.executable, "-m", "burdocklug.cli", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


class HelpTest(TestCase):
    def test_each_command_has_an_example(self):
        for command in COMMANDS:
            done = run(*command, "--help")
            self.assertThat(done.returncode, Equals(0))
            self.assertThat(done.stdout, Contains("Example: burdocklug"))

    def test_a_wrong_call_is_one_line_and_exit_code_2(self):
        for args in (["submit"], ["state", "--colour", "red"], ["nothing"]):
            done = run(*args)
            self.assertThat(done.returncode, Equals(2))
            self.assertThat(done.stderr.count("\n"), Equals(1))
            self.assertThat(done.stdout, Equals(""))

    def test_an_address_without_a_process_is_one_line(self):
        done = run("state", "-o", "127.0.0.1:1", "--token", "x")
        expected = ANSWERS[ErrorKind.PEER_UNREACHABLE].exit_code
        self.assertThat(done.returncode, Equals(expected))
        self.assertThat(done.stderr.count("\n"), Equals(1))

    def test_exit_codes_are_distinct(self):
        codes = [answer.exit_code for answer in ANSWERS.values()]
        self.assertThat(sorted(set(codes)), Equals(sorted(codes)))


class FleetCommandsTest(FleetTestCase):
    def operator(self, *args):
        where = ["-o", self.fleet.operators("north-1"), "--token", OPERATOR_TOKEN]
        return run(*args, *where)

    def callers(self, *args):
        return run(*args, "-a", self.fleet.callers("north-1"))

    def test_a_ticket_is_applied_shown_and_awaited(self):
        path = self.fleet.directory / "2.yaml"
        path.write_text(yaml.safe_dump(self.fleet.ticket(2)), encoding="utf-8")
        self.assertThat(self.operator("ticket", "apply", str(path)).stdout, Contains("ticket 2"))
        waited = self.operator("ticket", "wait", "2", "--json")
        self.assertThat(json.loads(waited.stdout)["complete"], Equals(True))
        shown = json.loads(self.operator("ticket", "show", "--json").stdout)
        self.assertThat(shown["objects"]["team/vat"]["number"], Equals(2))
        again = self.operator("ticket", "apply", str(path))
        self.assertThat(again.returncode, Equals(0))

    def test_another_ticket_of_the_number_is_a_conflict(self):
        path = self.fleet.directory / "1.yaml"
        other = self.fleet.ticket(1, **{"team/vat": {"max_running": 1, "weight": 1}})
        path.write_text(yaml.safe_dump(other), encoding="utf-8")
        done = self.operator("ticket", "apply", str(path))
        self.assertThat(done.returncode, Equals(ANSWERS[ErrorKind.TICKET_CONFLICT].exit_code))

    def test_state_and_endpoints_are_tables_and_json(self):
        text = self.operator("state").stdout
        self.assertThat(text, Contains("tickets:"))
        header = next(line for line in text.splitlines() if "incarnation  " in line)
        self.assertThat(header.split()[:2], Equals(["incarnation", "name"]))
        state = json.loads(self.operator("state", "--json").stdout)
        self.assertThat(state["process"], Equals("north-1"))
        self.assertThat(self.operator("endpoints").stdout, Contains("north-worker-1"))
        self.assertThat(len(json.loads(self.operator("endpoints", "--json").stdout)), Equals(4))

    def test_a_job_is_submitted_and_its_status_is_queried(self):
        args = ["submit", "press", "--team", "vat", "--payload", '{"value": 7}', "--json"]
        answer = json.loads(self.callers(*args).stdout)
        self.assertThat(answer["results"][0]["value"], Equals(7))
        status = json.loads(self.callers("status", answer["job"]).stdout)
        self.assertThat(status["state"], Equals("complete"))

    def test_a_refusal_gives_the_exit_code_of_its_kind(self):
        done = self.callers("submit", "press", "--team", "nobody", "--payload", "1")
        self.assertThat(done.returncode, Equals(ANSWERS[ErrorKind.TEAM_UNKNOWN].exit_code))
        self.assertThat(done.stderr, Contains("team_unknown"))

    def test_load_reports_a_histogram(self):
        done = self.callers(*LOAD, *SHORT_TASKS)
        self.assertThat(done.returncode, Equals(0))
        self.assertThat(done.stdout, Contains("over ideal up to"))
        self.assertThat(done.stdout, Contains("complete: 20"))
        self.assertThat(done.stderr, Equals(""))

    @skipUnless(PLOTS, "matplotlib is not installed")
    def test_load_writes_a_picture(self):
        path = self.fleet.directory / "load.png"
        done = self.callers(*LOAD, *SHORT_TASKS, "--plot", str(path))
        self.assertThat((done.returncode, done.stderr), Equals((0, "")))
        self.assertThat(path.read_bytes()[:4], Equals(b"\x89PNG"))


class PlotTest(TestCase):
    def test_a_plot_that_cannot_be_written_is_an_error_before_any_load(self):
        done = run(*LOAD, "-a", "127.0.0.1:1", "--plot", "/no-such-folder/load.png")
        self.assertThat(done.returncode, Equals(ANSWERS[ErrorKind.BAD_REQUEST].exit_code))
        self.assertThat(done.stderr.count("\n"), Equals(1))
        self.assertThat(done.stderr, Contains("no folder" if PLOTS else "needs matplotlib"))
        self.assertThat(done.stdout, Equals(""))

    def test_without_the_library_the_extra_is_named(self):
        code = "import sys; sys.modules['matplotlib'] = None; import burdocklug.cli as c; "
        code += "sys.exit(c.main(sys.argv[1:]))"
        command = [sys.executable, "-c", code, *LOAD, "-a", "127.0.0.1:1", "--plot", "load.png"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        expected = "burdocklug: bad_request: --plot needs matplotlib: "
        expected += "pip install burdocklug[plots] (ran: no)\n"
        self.assertThat(done.returncode, Equals(ANSWERS[ErrorKind.BAD_REQUEST].exit_code))
        self.assertThat((done.stdout, done.stderr), Equals(("", expected)))
