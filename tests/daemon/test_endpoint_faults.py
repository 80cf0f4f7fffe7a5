"""No task starts twice when endpoints fail, by the starts that the endpoints recorded."""

import time
from collections import Counter

import eventlet
from testtools.matchers import Equals

from standins.fleet import call_json
from tests.daemon.fleets import FleetTestCase
from tests.scenarios import with_scenarios

LEAVING_LIMIT_S = 3.0  # from the announcement until no start may reach the endpoint


class EndpointFaultTestCase(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.addresses = self.fleet.endpoint_addresses()
        self.addCleanup(self.clear_faults)

    def clear_faults(self):
        for address in self.addresses:
            host, _, port = address.rpartition(":")
            control = next(a for a in self.addresses if a.startswith(f"{host}:"))
            call_json("POST", f"http://{control}/faults?port={port}", {})

    def run_jobs(self, count, *, callers=8, **more):
        """Submit jobs to all processes concurrently and return the answers by key."""
        sessions = [self.open_session(name) for name in self.fleet.names]
        answers = {}

        def run(number):
            name = self.fleet.names[number % len(sessions)]
            key = f"{sessions[number % len(sessions)]}~{number + 1}"
            answers[key] = self.submit(name, key, **more)

        pool = eventlet.GreenPool(callers)
        for number in range(count):
            pool.spawn_n(run, number)
        pool.waitall()
        return answers

    def assert_no_start_twice(self):
        twice = [t for t, n in Counter(s[0] for s in self.fleet.starts()).items() if n > 1]
        self.assertThat(twice, Equals([]))


@with_scenarios
class FaultyAnswersTest(EndpointFaultTestCase):
    """Every endpoint runs each task but loses or corrupts its answer; every job still completes."""

    scenarios = [
        ("lost", {"fault": "lose_answers"}),
        ("lost at once", {"fault": "lose_answers_early"}),
        ("half", {"fault": "half_answer"}),
        ("garbage", {"fault": "garbage"}),
        ("crossed", {"fault": "crossed"}),
        ("twice", {"fault": "answer_twice"}),
        ("connections closed", {"fault": "close_after_answer"}),
    ]

    def test_every_caller_gets_its_own_whole_answer_and_nothing_starts_twice(self):
        for address in self.addresses:
            self.fleet.set_faults(address, **{self.fault: True})
        answers = self.run_jobs(12, value=self.fault, wait_s=20.0)
        self.assertThat({a["state"] for a in answers.values()}, Equals({"complete"}))
        values = {r["value"] for a in answers.values() for r in a["results"]}
        self.assertThat(values, Equals({self.fault}))
        digests = [r["digest"] for a in answers.values() for r in a["results"]]
        self.assertThat(len(set(digests)), Equals(24))
        for key in answers:
            self.assert_started_once(key)


class OneFaultyEndpointTest(EndpointFaultTestCase):
    def test_an_endpoint_that_fails_all_tasks_fails_a_bounded_number_and_is_ejected(self):
        self.fleet.set_faults(self.addresses[0], fail_all=True)
        before = len(self.fleet.records()[self.addresses[0]]["starts"])
        began_s = time.monotonic()
        answers = self.run_jobs(160, tasks=1)
        elapsed_s = time.monotonic() - began_s
        failed_starts = len(self.fleet.records()[self.addresses[0]]["starts"]) - before
        slots = self.deployment.slots
        self.assertTrue(failed_starts <= slots * (1 + elapsed_s), (failed_starts, elapsed_s))
        failed = sum(a["state"] == "failed" for a in answers.values())
        self.assertThat(failed, Equals(failed_starts))
        self.assert_no_start_twice()

    def test_one_that_refuses_costs_no_job(self):
        self.fleet.set_faults(self.addresses[0], refuse=True)
        answers = self.run_jobs(30)
        self.assertThat({a["state"] for a in answers.values()}, Equals({"complete"}))
        self.assert_no_start_twice()

    def test_a_leaving_endpoint_gets_no_start_after_the_limit(self):
        self.run_jobs(10)
        address = self.addresses[0]
        self.fleet.set_faults(address, leaving=True)
        leaving_s = time.time()
        answers = self.run_jobs(60, run_s=0.3)
        late = [s for s in self.fleet.records()[address]["starts"] if s[2] > leaving_s]
        self.assertThat({a["state"] for a in answers.values()}, Equals({"complete"}))
        self.assertThat([s for s in late if s[2] > leaving_s + LEAVING_LIMIT_S], Equals([]))

    def test_a_frozen_endpoint_that_wakes_has_started_nothing_twice(self):
        child = self.fleet.children["endpoints-north"]
        key = f"{self.open_session('north-1')}~1"
        self.submit("north-1", key, run_s=0.5, tasks=16, wait_s=0)
        time.sleep(0.2)
        child.pause()
        time.sleep(2.5)
        child.resume()

        def ended():
            return self.submit("north-1", key, run_s=0.5, tasks=16)["state"] != "running"

        self.wait_for(ended, timeout_s=30.0)
        self.assertThat(
            self.submit("north-1", key, run_s=0.5, tasks=16)["state"], Equals("complete")
        )
        self.assert_started_once(key, tasks=16)


class KilledEndpointsTest(EndpointFaultTestCase):
    def test_all_endpoints_of_a_failure_domain_killed_while_tasks_run(self):
        session = self.open_session("north-1")
        running = f"{session}~1"
        self.submit("north-1", running, run_s=2.0, tasks=24, wait_s=0)
        self.wait_for(lambda: len(self.starts_of(running)) > 16)
        before = self.starts_of(running)
        self.fleet.children["endpoints-north"].kill()
        answer = self.submit("north-1", running, run_s=2.0, tasks=24, wait_s=25.0)
        self.assertThat(answer["state"], Equals("failed"))
        ran_elsewhere = answer["error"]["ran"]
        self.assertThat(ran_elsewhere, Equals("yes"))
        self.assertNotIn("results", answer)
        self.fleet.start_endpoints("north")
        later = [self.submit("north-1", f"{session}~{n}") for n in range(2, 8)]
        self.assertThat({a["state"] for a in later}, Equals({"complete"}))
        self.assertTrue(max(before.values()) <= 1)
        self.assert_no_start_twice()


class CancellationWaveTest(EndpointFaultTestCase):
    JOBS = 200
    TASKS = 20

    def test_a_wave_leaves_nothing_queued_and_other_jobs_run(self):
        session = self.open_session("north-1")
        for number in range(1, self.JOBS + 1):
            key = f"{session}~{number}"
            self.submit("north-1", key, run_s=5.0, tasks=self.TASKS, wait_s=0)
        for number in range(1, self.JOBS + 1):
            self.http("DELETE", "north-1", f"/v1/jobs/{session}~{number}")
        began_s = time.monotonic()
        key = f"{self.open_session('south-1')}~1"
        self.assertThat(self.submit("south-1", key)["state"], Equals("complete"))
        self.assertTrue(time.monotonic() - began_s < 4.0)
        state = self.fleet.state("north-1")["jobs"]
        self.assertThat((state["running_jobs"], state["lanes"]["press"]["queued"]), Equals((0, 0)))
        messages = sum(r["messages"].get("cancel", 0) for r in self.fleet.records().values())
        started = len([s for s in self.fleet.starts() if s[0].startswith(session)])
        self.assertTrue(messages <= started, (messages, started))
        self.assert_no_start_twice()
