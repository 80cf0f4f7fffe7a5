import signal
import time

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from standins.platform_fleet import CONFIG, GIVEN_UP, RESUBMIT_S, PlatformFleet

PROCESSES = {"north-1": "north", "north-2": "north", "south-1": "south"}
EVACUATION_BOUND_S = 5.0


class FleetTestCase(TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = PlatformFleet(PROCESSES)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def setUp(self):
        super().setUp()
        self.addOnException(lambda _exc_info: self.attach_logs())

    def attach_logs(self):
        from testtools.content import text_content

        for name, child in self.fleet.children.items():
            self.addDetail(f"log of {name}", text_content(child.stderr_text()[-20_000:]))

    def attempts_of(self, job_id):
        return sorted(task for _w, task, _a, _t in self.fleet.starts() if task.startswith(job_id))

    def assert_never_two_at_once(self, job_id, *, least_s):
        """Assert that starts of the same task are at least `least_s` seconds apart."""
        by_task = {}
        for _worker, task, _attempt, at_ms in self.fleet.starts():
            if task.startswith(job_id):
                by_task.setdefault(task, []).append(at_ms)
        for times in by_task.values():
            times.sort()
            gaps = [(b - a) / 1000 for a, b in zip(times, times[1:], strict=False)]
            self.assertTrue(all(gap >= least_s for gap in gaps), by_task)


class CalmFleetTest(FleetTestCase):
    def test_a_job_is_answered_by_every_process_and_each_task_runs_once(self):
        for number, name in enumerate(PROCESSES):
            job_id = f"{number:016x}"
            answer = self.fleet.submit(name, job_id, count=5)
            self.assertThat(answer, Equals((200, {"state": "completed"})))
            self.assertThat(
                self.attempts_of(job_id), Equals([f"{job_id}.0.0.{n}" for n in range(5)])
            )

    def test_the_same_id_at_all_processes_at_once_runs_once(self):
        job_id = "aaaaaaaaaaaaaaaa"
        threads = [
            eventlet.spawn(self.fleet.submit, name, job_id, count=3, spec="run 0.3")
            for name in PROCESSES
        ]
        answers = [thread.wait() for thread in threads]
        self.assertThat(answers, Equals([(200, {"state": "completed"})] * 3))
        self.assertThat(len(self.attempts_of(job_id)), Equals(3))

    def test_a_task_that_fails_everywhere_fails_the_job_after_its_attempts(self):
        job_id = "bbbbbbbbbbbbbbbb"
        answer = self.fleet.submit("north-1", job_id, count=1, spec="run 0.02 fail")
        self.assertThat(answer, Equals((200, {"state": "failed"})))
        self.assertThat(len(self.attempts_of(job_id)), Equals(2))

    def test_a_job_that_no_worker_can_hold_is_refused_at_once_and_not_failed(self):
        began_s = time.monotonic()
        phases = [{"count": 1, "cpu": 5000, "mem_mb": 64, "estimate_ms": 50}]
        status, answer = self.fleet.submit("north-1", "1" * 16, phases=phases)
        self.assertThat((status, answer["error"]["kind"]), Equals((503, "no_endpoint")))
        self.assertThat(answer["error"]["ran"], Equals("no"))
        self.assertTrue(time.monotonic() - began_s < 1.5)

    def test_a_cancelled_job_is_stopped_and_known(self):
        job_id = "cccccccccccccccc"
        thread = eventlet.spawn(self.fleet.submit, "north-1", job_id, spec="run 5")
        eventlet.sleep(0.4)
        self.assertThat(
            self.fleet.call("south-1", "GET", f"/checks/{job_id}"),
            Equals((200, {"state": "running"})),
        )
        began_s = time.monotonic()
        answer = self.fleet.call("south-1", "DELETE", f"/checks/{job_id}")
        self.assertThat(answer, Equals((200, {"state": "cancelled"})))
        self.assertThat(thread.wait()[1], Equals({"state": "cancelled"}))
        self.assertTrue(time.monotonic() - began_s < 2.0)

    def test_a_new_configuration_is_in_force_in_two_seconds_and_a_lower_version_never(self):
        route = {**CONFIG["routes"][0], "name": "r-new", "prefix": "/new/"}
        newer = {**CONFIG, "version": 7, "routes": [*CONFIG["routes"], route]}
        self.fleet.control("PUT", "/operator/op/config", newer)
        eventlet.sleep(2.0)
        for name in PROCESSES:
            self.assertThat(self.fleet.call(name, "GET", "/new/"), Equals((200, {"pending": 0})))
        self.fleet.control("PUT", "/operator/op/config", CONFIG)
        eventlet.sleep(1.0)
        for name in PROCESSES:
            self.assertThat(self.fleet.call(name, "GET", "/new/")[0], Equals(200))

    def test_nothing_starts_in_an_evacuated_failure_domain_until_it_is_taken_back(self):
        self.fleet.control("PUT", "/operator/op/evacuate/north", {})
        eventlet.sleep(EVACUATION_BOUND_S)
        job_ids = [f"e{number:015x}" for number in range(6)]
        for job_id in job_ids:
            self.fleet.submit("south-1", job_id, count=2)
        during = {row[0] for row in self.fleet.starts() if row[1].partition(".")[0] in job_ids}
        states = [self.fleet.state(name)[1]["pool"]["directory"] for name in PROCESSES]
        self.fleet.control("DELETE", "/operator/op/evacuate/north")
        eventlet.sleep(EVACUATION_BOUND_S)
        after = [self.fleet.state(name)[1]["pool"]["directory"] for name in PROCESSES]
        self.assertThat([list(s["evacuations"]) for s in states], Equals([["north"]] * 3))
        self.assertThat([list(s["evacuations"]) for s in after], Equals([[]] * 3))
        self.assertThat(len(during), GreaterThan(0))
        self.assertThat(during.difference({"i-0001", "i-0003"}), Equals(set()))  # not in the south

    def test_state_and_metrics_show_the_scheduler_and_the_latency_of_jobs(self):
        self.fleet.submit("north-1", "8" * 16)
        states = [self.fleet.state(name)[1]["pool"] for name in PROCESSES]
        self.assertThat(sum(state["following"]["leads"] for state in states), Equals(1))
        self.assertThat(len({state["following"]["scheduler"] for state in states}), Equals(1))
        pages = "".join(self.fleet.metrics(name) for name in PROCESSES)
        self.assertIn("latency_s.r-checks.completed.count", pages)
        self.assertThat(self.fleet.state("north-1", token="wrong")[0], Equals(401))

    def test_a_hangup_ends_no_request(self):
        thread = eventlet.spawn(self.fleet.submit, "north-2", "f" * 16, spec="run 0.6")
        eventlet.sleep(0.2)
        for name in PROCESSES:
            self.fleet.children[name].signal(signal.SIGHUP)
        self.assertThat(thread.wait(), Equals((200, {"state": "completed"})))
        self.assertThat(self.fleet.submit("north-1", "9" * 16)[0], Equals(200))
        self.assertIn("settings_reread", self.fleet.children["north-1"].stderr_text())

    def test_a_job_stops_when_its_caller_has_left_and_runs_when_it_comes_again(self):
        """Guards against runs that go on for a caller that is gone (review/6)."""
        for number, name in enumerate(PROCESSES):
            job_id = f"ab{number:014x}"
            connection = self.fleet.open_submission(name, job_id, spec="run 1.5")
            eventlet.sleep(0.4)
            connection.close()
            closed_ms = time.monotonic() * 1000
            eventlet.sleep(RESUBMIT_S)
            ends = [end for end in self.fleet.ends() if end[1].startswith(job_id)]
            self.assertThat([end[3] for end in ends], Equals(["stopped"] * 2))
            self.assertThat(max(end[4] for end in ends) - closed_ms, LessThan(RESUBMIT_S * 1000))
            answer = self.fleet.submit(name, job_id, spec="run 1.5")
            self.assertThat(answer, Equals((200, {"state": "completed"})))
            self.assertThat(len(self.attempts_of(job_id)), Equals(4))

    def test_an_unreadable_entry_changes_nothing(self):
        self.fleet.control("PUT", "/operator/servers/i-0000", {"service": 5})
        self.fleet.control("PUT", "/operator/servers/i-bad", ["what"])
        answer = self.fleet.submit("north-1", "dddddddddddddddd")
        self.assertThat(answer, Equals((200, {"state": "completed"})))


class BadRequestTest(FleetTestCase):
    def refused(self, *args, **options):
        before = len(self.fleet.starts())
        status, answer = self.fleet.call("north-1", *args, **options)
        self.assertThat(len(self.fleet.starts()), Equals(before))
        self.assertThat(answer["error"]["ran"], Equals("no"))
        return status, answer["error"]["kind"]

    def test_bad_input_is_named_and_runs_nothing(self):
        path = f"/checks/{'e' * 16}"
        step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 5}
        job = {"spec": "x", "phases": [step], "best_effort": True}
        cases = {
            "unknown host": (("POST", path, job), {"host": "nobody.example"}, 404, "not_found"),
            "unknown path": (("POST", "/other/1", job), {}, 404, "not_found"),
            "no id": (("POST", "/checks/xyz", job), {}, 400, "bad_request"),
            "no json": (("POST", path, b"{"), {}, 400, "bad_request"),
            "wrong type": (("POST", path, {**job, "spec": 5}), {}, 400, "bad_request"),
            "no phases": (("POST", path, {**job, "phases": []}), {}, 400, "bad_request"),
            "too large": (("POST", path, b"x" * 70_000), {}, 413, "body_too_large"),
            "method": (("PUT", path, job), {}, 405, "method_not_allowed"),
            "kept job": (
                ("POST", path, {**job, "best_effort": False}),
                {},
                422,
                "field_not_served",
            ),
            "gang": (
                ("POST", path, {**job, "phases": [{**step, "gang": True}]}),
                {},
                422,
                "field_not_served",
            ),
        }
        for name, (args, options, status, kind) in cases.items():
            self.assertThat((name, *self.refused(*args, **options)), Equals((name, status, kind)))


class FaultsTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(self.fleet.control, "POST", "/faults", self.no_faults())

    @staticmethod
    def no_faults():
        return {
            "store_down": False,
            "store_silent": False,
            "lost_writes": 0.0,
            "lost_orders": 0.0,
            "lost_answers": 0.0,
        }

    def submit_many(self, prefix, jobs, **job):
        names = list(PROCESSES)
        threads = [
            eventlet.spawn(self.fleet.submit, names[n % 3], f"{prefix}{n:012x}", **job)
            for n in range(jobs)
        ]
        return [thread.wait() for thread in threads]

    def test_jobs_complete_while_the_store_is_down_and_while_it_is_silent(self):
        for number, fault in enumerate(("store_down", "store_silent")):
            self.fleet.control("POST", "/faults", {fault: True})
            eventlet.sleep(2.0)
            answers = self.submit_many(f"1{number}00", 6)
            self.assertThat(answers, Equals([(200, {"state": "completed"})] * 6))
            self.fleet.control("POST", "/faults", self.no_faults())

    def test_lost_orders_and_answers_start_no_task_twice_at_once(self):
        self.fleet.control("POST", "/faults", {"lost_orders": 0.1, "lost_answers": 0.1})
        answers = self.submit_many("2000", 12, spec="run 0.3", count=2)
        self.assertThat([a for a in answers if a[0] not in (200, 429)], Equals([]))
        for number in range(12):
            self.assert_never_two_at_once(f"2000{number:012x}", least_s=0.0)

    def test_a_worker_that_crashed_loses_no_job(self):
        thread = eventlet.spawn(self.submit_many, "3000", 4, spec="run 0.6", count=2)
        eventlet.sleep(0.3)
        self.fleet.control("POST", "/worker/0/crash")
        answers = thread.wait()
        self.assertThat([a for a in answers if a != (200, {"state": "completed"})], Equals([]))

    def check_drain(self, number, prefix):
        self.fleet.control("POST", f"/worker/{number}/drain")
        eventlet.sleep(2.0)
        from_ms = int(time.monotonic() * 1000)
        self.submit_many(prefix, 8)
        late = [s for s in self.fleet.starts() if s[0] == f"i-000{number}" and s[3] > from_ms]
        self.assertThat(late, Equals([]))
        self.fleet.control("POST", f"/worker/{number}/crash")

    def test_a_draining_worker_gets_no_start_after_two_seconds(self):
        self.check_drain(1, "4000")

    def test_a_worker_draining_after_the_store_was_silent_gets_no_start(self):
        """A store call that hung during the fault delayed a scheduler's next calls for 20 s."""
        self.fleet.control("POST", "/faults", {"store_silent": True})
        eventlet.sleep(2.0)
        self.fleet.control("POST", "/faults", self.no_faults())
        self.check_drain(2, "5000")


class ProcessLossTest(FleetTestCase):
    """Loss of the scheduler; a single test, since the processes are ended one after another."""

    def test_jobs_complete_when_the_scheduler_is_frozen_killed_or_stopped(self):
        self.check_loss("5000", "pause", "resume")
        self.check_loss("6000", "kill", None)
        self.check_graceful_end("7000")

    def scheduler(self):
        """Return the process that most recently became the scheduler, as its log shows."""
        began = {}
        for name in PROCESSES:
            lines = self.fleet.children[name].stderr_text().splitlines()
            marks = [line for line in lines if '"scheduling_' in line]
            if marks and '"scheduling_ends"' not in marks[-1]:
                began[name] = marks[-1].rpartition('"timestamp": ')[2]
        return max(began, key=began.get)

    def resubmit(self, job_id, name):
        """Submit a job; after no answer, 429 or 503, resubmit it elsewhere 1.3 s later."""
        others = [other for other in PROCESSES if other != name]
        answer = self.fleet.submit(name, job_id, spec="run 0.8", count=2)
        for other in others * 3:
            if answer[0] not in (*GIVEN_UP, 429, 503):
                return answer
            eventlet.sleep(RESUBMIT_S)
            answer = self.fleet.submit(other, job_id, spec="run 0.8", count=2)
        return answer

    def check_loss(self, prefix, action, undo):
        victim = self.scheduler()
        others = [name for name in PROCESSES if name != victim]
        ids = [f"{prefix}{n:012x}" for n in range(4)]
        threads = [
            eventlet.spawn(self.resubmit, job_id, others[n % 2]) for n, job_id in enumerate(ids)
        ]
        eventlet.sleep(0.3)
        getattr(self.fleet.children[victim], action)()
        answers = [thread.wait() for thread in threads]
        if undo is not None:
            getattr(self.fleet.children[victim], undo)()
        else:
            self.fleet.start_process(victim)
            self.fleet.wait_ready(victim)
        eventlet.sleep(1.5)
        self.assertThat(answers, Equals([(200, {"state": "completed"})] * 4))
        for job_id in ids:
            self.assert_never_two_at_once(job_id, least_s=0.2)

    def check_graceful_end(self, prefix):
        victim = self.scheduler()
        ids = [f"{prefix}{n:012x}" for n in range(4)]
        threads = [
            eventlet.spawn(self.fleet.submit, victim, job_id, spec="run 0.8", count=2)
            for job_id in ids
        ]
        eventlet.sleep(0.3)
        child = self.fleet.children[victim]
        stopping = eventlet.spawn(child.stop)
        answers = [thread.wait() for thread in threads]
        self.assertThat(answers, Equals([(200, {"state": "completed"})] * 4))
        self.assertThat(stopping.wait(), Equals(0))
        for job_id in ids:
            self.assertThat(len(self.attempts_of(job_id)), Equals(2))
