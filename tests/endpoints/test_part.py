"""What the endpoints part learns from an attempt's outcome."""

from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.endpoints._part import EndpointsPart
from burdocklug.retries import Unknown
from tests.fakes import FakeClock, FakeHub, FakePeers
from tests.scenarios import with_scenarios

ADDRESSES = [f"127.0.0.1:{9000 + n}" for n in range(6)]


class FakeProcess(dict):
    timers = FakeClock().timers


@with_scenarios
class UnknownOutcomeTest(TestCase):
    """An endpoint that answers questions is not silent, however its attempt ended."""

    scenarios = [
        ("still running at the deadline", {"last": "ask_running", "usable": True}),
        ("restarted meanwhile", {"last": "ask_forgotten", "usable": True}),
        ("no answer to a question", {"last": "ask_silent", "usable": False}),
    ]

    def test_only_silence_ejects(self):
        process = FakeProcess(hosts=None, peers=FakePeers(FakeHub(), "p1"))
        endpoints = EndpointsPart(process)
        states = [SimpleNamespace(address=a, failure_domain="north") for a in ADDRESSES]
        endpoints.view.set_endpoints("press", states)
        endpoints._learn("press", ADDRESSES[0], Unknown("deadline", self.last), 0.1)
        usable = endpoints.view.usable("press", ADDRESSES[0], process.timers.now())
        self.assertThat(usable, Equals(self.usable))
