"""Graceful shutdown under load, and the life cycle of the daemon."""

import subprocess
import sys
import tempfile
import time
from collections import Counter

import eventlet
from testtools import TestCase
from testtools.matchers import Contains, Equals

from burdocklug.client import Client, JobFailed
from tests.daemon.fleets import FleetTestCase

LOAD_S = 12.0
CALLERS = 8


class RollingRestartTest(FleetTestCase):
    """Every process in turn is stopped and replaced while callers submit jobs."""

    def test_no_job_is_lost_and_answers_are_still_found(self):
        self.stop_load = False
        self.outcomes, self.faults = [], []
        pool = eventlet.GreenPool()
        for number in range(CALLERS):
            pool.spawn_n(self.call, number)
        eventlet.sleep(1.0)
        codes = [self.replace(name) for name in self.fleet.names]
        self.stop_load = True
        pool.waitall()
        self.assertThat(codes, Equals([0] * len(codes)))
        self.assertThat(self.faults, Equals([]))
        self.assertTrue(len(self.outcomes) > 20, len(self.outcomes))
        twice = [t for t, n in Counter(s[0] for s in self.fleet.starts()).items() if n > 1]
        self.assertThat(twice, Equals([]))
        self.assert_answers_found()

    def replace(self, name):
        code = self.fleet.children[name].stop(timeout_s=30.0)
        self.fleet.start_process(name)
        self.wait_ready()
        return code

    def call(self, number):
        addresses = self.fleet.all_callers()
        start = number % len(addresses)
        client = Client(addresses[start:] + addresses[:start], team="vat", seed=number)
        while not self.stop_load:
            tasks = [{"payload": {"run_s": 0.2, "value": n}, "declared_s": 0.2} for n in range(3)]
            try:
                outcome = client.submit("press", tasks, deadline_s=20.0, refusals=20)
            except JobFailed as exc:
                self.faults.append(f"{exc.kind} {exc.ran} {exc.message}")
            else:
                self.assertThat([r["value"] for r in outcome.results], Equals([0, 1, 2]))
                self.outcomes.append(outcome)

    def assert_answers_found(self):
        """The answers of the last jobs are found at every process, unless acknowledged."""
        answers = Counter()
        for outcome in self.outcomes[-20:]:
            for name in self.fleet.names:
                answer = self.http("GET", name, f"/v1/jobs/{outcome.key}").json()
                if answer["state"] == "complete":
                    self.assertThat(answer["results"], Equals(outcome.results))
                answers[answer["state"] if "results" in answer else answer["error"]["kind"]] += 1
        self.assertThat(set(answers) - {"complete", "key_expired"}, Equals(set()))
        self.assertTrue(answers["complete"] > 0, answers)


class LifeCycleTest(FleetTestCase):
    def test_stop_signals_twice_end_it_gracefully(self):
        key = f"{self.open_session('north-1')}~1"
        self.submit("north-1", key, run_s=1.0, wait_s=0)
        child = self.fleet.children["north-1"]
        child.signal(15)
        time.sleep(0.2)
        code = child.stop()
        self.assertThat(code, Equals(0))
        self.assertThat(self.submit("south-1", key, run_s=1.0)["state"], Equals("complete"))
        self.assert_started_once(key)
        self.fleet.start_process("north-1")
        self.wait_ready()

    def test_a_request_that_waits_for_a_job_elsewhere_is_not_cut(self):
        key = f"{self.open_session('north-1')}~1"
        answers = []
        waiting = eventlet.spawn(
            lambda: answers.append(self.submit("south-1", key, run_s=15.0, wait_s=25.0))
        )
        self.wait_for(lambda: self.starts_of(key))
        self.assertThat(self.fleet.children["south-1"].stop(timeout_s=30.0), Equals(0))
        waiting.wait()
        self.assertThat(answers[0]["state"], Equals("running"))
        self.http("DELETE", "north-1", f"/v1/jobs/{key}")

    def test_a_draining_process_refuses_new_jobs_as_not_run(self):
        session = self.open_session("south-2")
        self.submit("south-2", f"{session}~1", run_s=1.5, wait_s=0)
        child = self.fleet.children["south-2"]
        child.signal(15)
        self.wait_for(lambda: self.http("GET", "south-2", "/v1/health").status == 503)
        answer = self.submit("south-2", f"{session}~2")
        self.assertThat(
            (answer["error"]["kind"], answer["error"]["ran"]), Equals(("shutting_down", "no"))
        )
        self.assertThat(child.stop(), Equals(0))
        again = self.submit("north-1", f"{session}~2")
        self.assertThat(again, Equals(answer))
        self.assertThat(self.starts_of(f"{session}~2"), Equals(Counter()))
        self.fleet.start_process("south-2")
        self.wait_ready()


class SettingsFaultTest(TestCase):
    def test_every_fault_is_printed_and_nothing_starts(self):
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("process: {name: X}\nlisten: 3\n")
            file.flush()
            command = [sys.executable, "-m", "burdocklug.daemon", file.name]
            done = subprocess.run(command, capture_output=True, text=True, timeout=20)
        self.assertThat(done.returncode, Equals(2))
        for path in ("$.process.name", "$.process.failure_domain", "$.listen", "$.operator_token"):
            self.assertThat(done.stderr, Contains(path))
