"""The operator of test fleets follows the table of errors."""

import http.server
import json
import threading
import urllib.error

from testtools import TestCase
from testtools.matchers import Equals

from standins.fleet import Fleet
from tests.daemon.fleets import SMALL


class OperatorTest(TestCase):
    """A process that answers tickets with the given statuses in turn, the last one for good."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(SMALL)
        self.numbers = []
        self.statuses = []
        test = self

        class Answers(http.server.BaseHTTPRequestHandler):
            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                test.numbers.append(body["number"])
                left = len(test.statuses) > 1
                self.send_response(test.statuses.pop(0) if left else test.statuses[0])
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

            def log_message(self, *_):
                pass

        self.server = http.server.HTTPServer(("127.0.0.1", 0), Answers)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.patch(self.fleet, "operators", lambda _name: f"127.0.0.1:{self.server.server_port}")

    def test_an_unavailable_platform_has_the_same_ticket_applied_again(self):
        self.statuses = [503, 503, 200]
        self.assertThat(self.fleet.apply({"number": 7}), Equals({}))
        self.assertThat(self.numbers, Equals([7, 7, 7]))

    def test_a_ticket_that_is_refused_is_not_applied_again(self):
        self.statuses = [409, 200]
        refused = self.assertRaises(urllib.error.HTTPError, self.fleet.apply, {"number": 7})
        self.assertThat((refused.code, self.numbers), Equals((409, [7])))
