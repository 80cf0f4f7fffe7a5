"""How the outcome of an attempt changes which endpoints are usable."""

from types import SimpleNamespace
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.endpoints import Attempt, AttemptResult
from burdocklug.endpoints._part import EndpointsPart
from burdocklug.retries import Finished, Unknown
from tests.fakes import FakeClock, FakeHub, FakePeers
from tests.scenarios import with_scenarios

ADDRESSES = [f"127.0.0.1:{9000 + n}" for n in range(6)]


class FakeProcess(dict):
    timers = FakeClock().timers


def make_part(process):
    endpoints = EndpointsPart(process)
    states = [SimpleNamespace(address=a, failure_domain="north") for a in ADDRESSES]
    endpoints.view.set_endpoints("press", states)
    return endpoints


@with_scenarios
class UnknownOutcomeTest(TestCase):
    """Only an endpoint that does not answer a query is ejected for an unknown outcome."""

    scenarios = [
        ("still running at the deadline", {"last": "ask_running", "usable": True}),
        ("restarted meanwhile", {"last": "ask_forgotten", "usable": True}),
        ("no answer to a question", {"last": "ask_silent", "usable": False}),
    ]

    def test_only_silence_ejects(self):
        process = FakeProcess(hosts=None, peers=FakePeers(FakeHub(), "p1"))
        endpoints = make_part(process)
        endpoints._record_outcome("press", ADDRESSES[0], Unknown("deadline", self.last), 0.1)
        usable = endpoints.view.usable("press", ADDRESSES[0], process.timers.now())
        self.assertThat(usable, Equals(self.usable))


class FailingJobTest(TestCase):
    """Tasks of one job that fail at every endpoint leave all endpoints usable for other jobs."""

    def test_failing_tasks_of_one_job_eject_nobody(self):
        process = FakeProcess(hosts=None, peers=FakePeers(FakeHub(), "p1"))
        endpoints = make_part(process)
        with mock.patch("burdocklug.endpoints._part.run_attempt", fail_attempt):
            for number, address in enumerate(ADDRESSES):
                attempt = Attempt(f"a{number}", f"k1.7/{number}", "press", None, 1.0)
                endpoints.run_attempt("press", address, attempt, expected_s=0.1)
        now_s = process.timers.now()
        usable = [endpoints.view.usable("press", address, now_s) for address in ADDRESSES]
        self.assertThat(usable, Equals([True] * len(ADDRESSES)))


def fail_attempt(_protocol, _address, attempt, *_args, **_options):
    return Finished(AttemptResult(attempt.attempt_id, attempt.task_id, False, "bad", 0.1, 1, False))
