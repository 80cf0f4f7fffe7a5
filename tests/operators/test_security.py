"""Operators' requests need the token, and no secret appears in answers or logs."""

import json
import urllib.error
import urllib.request

from testtools.matchers import Equals

from standins.fleet import OPERATOR_TOKEN, SHARED_KEY
from tests.daemon.fleets import FleetTestCase
from tests.scenarios import with_scenarios


def fetch(url, *, method="GET", token=None):
    """Send a request and return the status and the body of the response."""
    request = urllib.request.Request(url, method=method)
    if token is not None:
        request.add_header("Authorization", token)
    try:
        with urllib.request.urlopen(request, timeout=10.0) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read().decode()


@with_scenarios
class OperatorTokenTest(FleetTestCase):
    scenarios = [
        ("none", {"token": None}),
        ("empty", {"token": "Bearer "}),
        ("prefix", {"token": f"Bearer {OPERATOR_TOKEN[:-1]}"}),
        ("longer", {"token": f"Bearer {OPERATOR_TOKEN}x"}),
        ("other scheme", {"token": f"Basic {OPERATOR_TOKEN}"}),
        ("other letters", {"token": "Bearer t\xf6ken"}),
    ]

    def test_every_call_is_refused(self):
        base = f"http://{self.fleet.operators('north-1')}"
        for method, path in (
            ("POST", "/v1/tickets"),
            ("GET", "/v1/tickets/1"),
            ("GET", "/v1/configuration"),
            ("GET", "/v1/state"),
            ("POST", "/v1/drain"),
        ):
            status, body = fetch(base + path, method=method, token=self.token)
            self.assertThat(status, Equals(401))
            self.assertThat(json.loads(body)["error"]["kind"], Equals("unauthorized"))
        self.assertThat(self.fleet.children["north-1"].returncode, Equals(None))


class SecretsTest(FleetTestCase):
    def test_operators_calls_are_not_served_to_callers(self):
        base = f"http://{self.fleet.callers('north-1')}"
        for path in ("/v1/state", "/v1/configuration", "/v1/tickets/1"):
            status, _ = fetch(base + path, token=f"Bearer {OPERATOR_TOKEN}")
            self.assertThat(status, Equals(404))

    def test_no_secret_is_in_a_dump_a_page_or_a_log(self):
        self.submit("north-1", f"{self.open_session('north-1')}~1")
        base = f"http://{self.fleet.callers('north-1')}"
        texts = [
            json.dumps(self.fleet.state("north-1")),
            fetch(base + "/metrics")[1],
            fetch(base + "/v1/health")[1],
            *(child.stderr_text() for child in self.fleet.children.values()),
        ]
        for secret in (OPERATOR_TOKEN, SHARED_KEY):
            self.assertThat([text for text in texts if secret in text], Equals([]))
